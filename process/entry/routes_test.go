// SPDX-License-Identifier: MIT

package entry

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/request"
	"shalewick/standin/server"
	"shalewick/version"
)

// routed is an entry without loops whose version has route resources: /bids/ of
// a.example to service s, and /mix/ to s and t by weight.
type routed struct {
	t        *testing.T
	entry    *Entry
	front    *httptest.Server
	backends []*server.Server // two of s, one of t
	config   *version.Config
}

const routedDocs = `kind: region
name: r
spec: {}
---
kind: hall
name: h
spec: {region: r}
---
kind: service
name: s
spec: {}
---
kind: service
name: t
spec: {}
---
kind: route
name: bids
spec: {host: a.example, prefix: /bids/, class: commit, repeatable: false, timeout: 1s, attempts: 2, split: [{service: s, weight: 1}]}
---
kind: route
name: mix
spec: {host: a.example, prefix: /mix/, class: read, repeatable: true, timeout: 1s, attempts: 2, split: [{service: s, weight: 3}, {service: t, weight: 1}]}
`

func newRouted(t *testing.T) *routed {
	t.Helper()
	x := &routed{t: t, entry: bare(), config: &version.Config{}}
	docs := routedDocs
	for i, service := range []string{"s", "s", "t"} {
		u := &server.Server{Name: fmt.Sprintf("u%d", i), Names: request.OwnNames, Slots: 4, Work: time.Millisecond}
		assert.NilError(t, u.Start())
		t.Cleanup(u.Close)
		x.backends = append(x.backends, u)
		docs += fmt.Sprintf("---\nkind: backend\nname: %s\nspec: {service: %s, hall: h, address: %q, slots: 4}\n", u.Name, service, u.Address())
	}
	x.apply(docs)
	x.entry.confirm(x.entry.now())
	x.front = httptest.NewServer(http.HandlerFunc(x.entry.serveCaller))
	t.Cleanup(x.front.Close)
	return x
}

func (x *routed) apply(docs string) {
	x.t.Helper()
	rs, err := version.Parse([]byte(docs))
	assert.NilError(x.t, err)
	next, _, err := x.config.Propose(version.Change{Operation: fmt.Sprint(x.config.Seq), Puts: rs})
	assert.NilError(x.t, err)
	x.config = next
	assert.NilError(x.t, x.entry.store.AdoptSnapshot(next))
}

func (x *routed) send(path, id string) (*http.Response, string) {
	x.t.Helper()
	req, err := http.NewRequest(http.MethodPost, x.front.URL+path, nil)
	assert.NilError(x.t, err)
	req.Host = "a.example"
	if id != "" {
		req.Header.Set(request.HeaderID, id)
	}
	res, err := http.DefaultClient.Do(req)
	assert.NilError(x.t, err)
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	assert.NilError(x.t, err)
	return res, string(b)
}

func (x *routed) runs(i int) int { return len(x.backends[i].Runs()) }

func TestEntryServesRouteResources(t *testing.T) {
	x := newRouted(t)
	for i := range 40 {
		id := fmt.Sprintf("x%d", i)
		res, body := x.send("/mix/1", id)
		assert.Equal(t, res.StatusCode, http.StatusOK)
		assert.Equal(t, body, server.Body(id))
	}
	assert.Equal(t, x.runs(0)+x.runs(1), 30, "three parts in four go to s")
	assert.Equal(t, x.runs(2), 10)
	res, body := x.send("/bids/1", "")
	assert.Equal(t, res.StatusCode, http.StatusOK, "a request without an id gets one")
	assert.Equal(t, body, server.Body(res.Header.Get(request.HeaderID)))
	res, _ = x.send("/none/1", "y")
	assert.Equal(t, res.StatusCode, http.StatusNotFound)
}

// TestEntryRefusesWhatNobodyConfirmed checks that a route resource is not acted
// on when neither a peer nor the platform has confirmed the version lately.
func TestEntryRefusesWhatNobodyConfirmed(t *testing.T) {
	x := newRouted(t)
	x.entry.started = x.entry.started.Add(-time.Minute) // the process stood still
	res, _ := x.send("/bids/1", "x")
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, res.Header.Get(request.HeaderResult), request.Unconfirmed.String())
	assert.Equal(t, x.runs(0)+x.runs(1), 0)
}

// TestDrainHoldsForRouteResources drains one backend server, as an operator would, and
// hears from another one that it is leaving.
func TestDrainHoldsForRouteResources(t *testing.T) {
	x := newRouted(t)
	x.apply("kind: drain\nname: d\nspec: {backend: u0}\n")
	for i := range 10 {
		res, _ := x.send("/bids/1", fmt.Sprintf("x%d", i))
		assert.Equal(t, res.StatusCode, http.StatusOK)
	}
	assert.Equal(t, x.runs(0), 0)
	x.entry.health.RecordResponse("u1", time.Millisecond, "leaving", "boot", x.entry.now())
	x.entry.routes.refresh()
	res, _ := x.send("/bids/1", "last")
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, x.runs(1), 10)
}

// TestWorkspaceResourcesBindRouteResources applies a workspace as an operator would, and
// takes it away again.
func TestWorkspaceResourcesBindRouteResources(t *testing.T) {
	x := newRouted(t)
	hash, err := version.HashKey("good").MarshalText()
	assert.NilError(t, err)
	x.apply(fmt.Sprintf("kind: workspace\nname: farm\nspec: {keys: [%s], rate: 40, burst: 40, homes: [r]}\n", hash))
	res, _ := x.send("/bids/1", "x")
	assert.Equal(t, res.StatusCode, http.StatusUnauthorized)
	assert.Equal(t, res.Header.Get(request.HeaderResult), request.KeyMissing.String())
	req, err := http.NewRequest(http.MethodPost, x.front.URL+"/bids/1", nil)
	assert.NilError(t, err)
	req.Host = "a.example"
	req.Header.Set("Authorization", "Bearer good")
	res, err = http.DefaultClient.Do(req)
	assert.NilError(t, err)
	res.Body.Close()
	assert.Equal(t, res.StatusCode, http.StatusOK)
	ran := append(x.backends[0].Runs(), x.backends[1].Runs()...)
	assert.Equal(t, len(ran), 1)
	assert.Equal(t, ran[0].Header.Get(request.OwnNames.Workspace), "farm")
	present := x.config.Resources[version.Key{Kind: version.KindWorkspace, Name: "farm"}]
	next, _, err := x.config.Propose(version.Change{Operation: "gone", Deletes: []version.Ref{{Key: present.Key, Version: present.Version}}})
	assert.NilError(t, err)
	assert.NilError(t, x.entry.store.AdoptSnapshot(next))
	res, _ = x.send("/bids/1", "y")
	assert.Equal(t, res.StatusCode, http.StatusOK, "there are no workspaces any more")
}
