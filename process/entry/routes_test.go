// SPDX-License-Identifier: MIT

package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/conn"
	"shalewick/process/peer"
	"shalewick/request"
	"shalewick/standin/server"
	"shalewick/version"
)

// routeFixture is an entry without background loops whose version has two route resources for
// a.example: /bids/ to service s, and /mix/ to s and t by weight.
type routeFixture struct {
	t        *testing.T
	entry    *Entry
	front    *httptest.Server
	backends []*server.Server // two of s, one of t
	config   *version.Config
}

const routeDocuments = `kind: region
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

func newRouteFixture(t *testing.T) *routeFixture {
	t.Helper()
	f := &routeFixture{t: t, entry: newTestEntry(), config: &version.Config{}}
	docs := routeDocuments
	for i, service := range []string{"s", "s", "t"} {
		backend := &server.Server{Name: fmt.Sprintf("u%d", i), Names: request.OwnNames, Slots: 4, Work: time.Millisecond}
		assert.NilError(t, backend.Start())
		t.Cleanup(backend.Close)
		f.backends = append(f.backends, backend)
		docs += fmt.Sprintf("---\nkind: backend\nname: %s\nspec: {service: %s, hall: h, address: %q, slots: 4}\n", backend.Name, service, backend.Address())
	}
	f.apply(docs)
	f.entry.confirm(f.entry.now())
	f.front = httptest.NewServer(http.HandlerFunc(f.entry.serveCaller))
	t.Cleanup(f.front.Close)
	return f
}

func (f *routeFixture) apply(docs string) {
	f.t.Helper()
	rs, err := version.Parse([]byte(docs))
	assert.NilError(f.t, err)
	next, _, err := f.config.Propose(version.Change{Operation: fmt.Sprint(f.config.Seq), Puts: rs})
	assert.NilError(f.t, err)
	f.config = next
	assert.NilError(f.t, f.entry.store.AdoptSnapshot(next))
}

func (f *routeFixture) send(path, id string) (*http.Response, string) {
	f.t.Helper()
	req, err := http.NewRequest(http.MethodPost, f.front.URL+path, nil)
	assert.NilError(f.t, err)
	req.Host = "a.example"
	if id != "" {
		req.Header.Set(request.HeaderID, id)
	}
	res, err := http.DefaultClient.Do(req)
	assert.NilError(f.t, err)
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	assert.NilError(f.t, err)
	return res, string(b)
}

func (f *routeFixture) runCount(i int) int { return len(f.backends[i].Runs()) }

func TestRouteResources(t *testing.T) {
	f := newRouteFixture(t)
	for i := range 40 {
		id := fmt.Sprintf("x%d", i)
		res, body := f.send("/mix/1", id)
		assert.Equal(t, res.StatusCode, http.StatusOK)
		assert.Equal(t, body, server.ResponseBody(id))
	}
	assert.Equal(t, f.runCount(0)+f.runCount(1), 30, "three quarters go to s")
	assert.Equal(t, f.runCount(2), 10)
	res, body := f.send("/bids/1", "")
	assert.Equal(t, res.StatusCode, http.StatusOK, "a request without an id gets one")
	assert.Equal(t, body, server.ResponseBody(res.Header.Get(request.HeaderID)))
	res, _ = f.send("/none/1", "y")
	assert.Equal(t, res.StatusCode, http.StatusNotFound)
}

// TestRoutesRefuseStaleConfig checks that requests of route resources are refused
// if neither a peer nor the platform has confirmed the version recently.
func TestRoutesRefuseStaleConfig(t *testing.T) {
	f := newRouteFixture(t)
	f.entry.started = f.entry.started.Add(-time.Minute) // as if the process had been suspended
	res, _ := f.send("/bids/1", "x")
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, res.Header.Get(request.HeaderResult), request.Unconfirmed.String())
	assert.Equal(t, f.runCount(0)+f.runCount(1), 0)
}

// TestRoutesSkipDrainedAndLeavingBackends drains one backend server by a resource, and has
// another one report that it is leaving.
func TestRoutesSkipDrainedAndLeavingBackends(t *testing.T) {
	f := newRouteFixture(t)
	f.apply("kind: drain\nname: d\nspec: {backend: u0}\n")
	for i := range 10 {
		res, _ := f.send("/bids/1", fmt.Sprintf("x%d", i))
		assert.Equal(t, res.StatusCode, http.StatusOK)
	}
	assert.Equal(t, f.runCount(0), 0)
	f.entry.health.RecordResponse("u1", time.Millisecond, "leaving", "boot", f.entry.now())
	f.entry.routes.refresh()
	res, _ := f.send("/bids/1", "last")
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, f.runCount(1), 10)
}

// TestRoutesEnforceWorkspaceKeys applies a workspace and deletes it again.
func TestRoutesEnforceWorkspaceKeys(t *testing.T) {
	f := newRouteFixture(t)
	hash, err := version.HashKey("good").MarshalText()
	assert.NilError(t, err)
	f.apply(fmt.Sprintf("kind: workspace\nname: farm\nspec: {keys: [%s], rate: 40, burst: 40, homes: [r]}\n", hash))
	res, _ := f.send("/bids/1", "x")
	assert.Equal(t, res.StatusCode, http.StatusUnauthorized)
	assert.Equal(t, res.Header.Get(request.HeaderResult), request.KeyMissing.String())
	req, err := http.NewRequest(http.MethodPost, f.front.URL+"/bids/1", nil)
	assert.NilError(t, err)
	req.Host = "a.example"
	req.Header.Set("Authorization", "Bearer good")
	res, err = http.DefaultClient.Do(req)
	assert.NilError(t, err)
	res.Body.Close()
	assert.Equal(t, res.StatusCode, http.StatusOK)
	runs := append(f.backends[0].Runs(), f.backends[1].Runs()...)
	assert.Equal(t, len(runs), 1)
	assert.Equal(t, runs[0].Header.Get(request.OwnNames.Workspace), "farm")
	workspace := f.config.Resources[version.Key{Kind: version.KindWorkspace, Name: "farm"}]
	next, _, err := f.config.Propose(version.Change{Operation: "gone", Deletes: []version.Ref{{Key: workspace.Key, Version: workspace.Version}}})
	assert.NilError(t, err)
	assert.NilError(t, f.entry.store.AdoptSnapshot(next))
	res, _ = f.send("/bids/1", "y")
	assert.Equal(t, res.StatusCode, http.StatusOK, "there are no workspaces any more")
}

// TestEntryWithoutLinksForwardsRouteRequests guards against an entry that rejects the requests of route
// resources while it reaches no backend server, although another entry would serve them, and against
// callers that gain something by the mark of a forwarded request.
func TestEntryWithoutLinksForwardsRouteRequests(t *testing.T) {
	f, other := newRouteFixture(t), newRouteFixture(t)
	f.entry.routes.table.NewPool = func(a string) *conn.Pool {
		return &conn.Pool{Address: a, Dialer: &net.Dialer{Control: func(string, string, syscall.RawConn) error { return syscall.ECONNREFUSED }}}
	}
	now := f.entry.now()
	f.entry.members.Merge([]*peer.Member{{Id: "other", Instance: "other", Hall: "h", Front: other.front.Listener.Addr().String()}}, now)
	f.entry.members.RecordContact("other", now)
	for i := range 20 {
		id := fmt.Sprintf("x%d", i)
		res, body := f.send("/bids/1", id)
		assert.Equal(t, res.StatusCode, http.StatusOK)
		assert.Equal(t, body, server.ResponseBody(id))
	}
	assert.Equal(t, other.runCount(0)+other.runCount(1), 20)
	assert.Equal(t, f.runCount(0)+f.runCount(1), 0)
	for i := range 40 {
		req, err := http.NewRequest(http.MethodPost, other.front.URL+"/mix/1", nil)
		assert.NilError(t, err)
		req.Host = "a.example"
		req.Header.Set(request.HeaderID, fmt.Sprintf("y%d", i))
		req.Header.Set("Shalewick-Forwarded-By", "a caller")
		req.Header.Set("Shalewick-Forwarded-Service", "t")
		res, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		res.Body.Close()
		assert.Equal(t, res.StatusCode, http.StatusOK)
	}
	assert.Equal(t, other.runCount(2), 10, "a caller chose the part of the split")
}
