// SPDX-License-Identifier: MIT

package proxy

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"shalewick/process/quota"
	"shalewick/request"
	"shalewick/standin/server"
	"shalewick/version"
)

// workspace adds a workspace with one key to the configuration.
func (f *fixture) workspace(name, key string, change func(*version.Workspace)) {
	w := &version.Workspace{Keys: []version.KeyHash{version.HashKey(key)}}
	if change != nil {
		change(w)
	}
	f.put(version.Resource{Key: version.Key{Kind: version.KindWorkspace, Name: name}, Workspace: w})
	f.install()
}

// sendAs sends a GET request with additional headers.
func (f *fixture) sendAs(id, path string, headers http.Header) reply {
	f.t.Helper()
	req, err := http.NewRequest(http.MethodGet, f.proxyServer.URL+path, nil)
	assert.NilError(f.t, err)
	req.Host = "a.example"
	if headers != nil {
		req.Header = headers.Clone()
	}
	req.Header.Set(request.OwnNames.ID, id)
	res, err := http.DefaultClient.Do(req)
	assert.NilError(f.t, err)
	defer res.Body.Close()
	return reply{status: res.StatusCode, header: res.Header}
}

func key(k string) http.Header { return http.Header{"Authorization": {"Bearer " + k}} }

// TestCallerAuthentication checks which callers are served, and with which result the others are
// refused.
func TestCallerAuthentication(t *testing.T) {
	f := newFixture(t, 1)
	f.route("open", "/open/", request.ClassRead, true)
	f.config.Resources[version.Key{Kind: version.KindRoute, Name: "open"}].Route.Anonymous = true
	assert.Equal(t, f.sendAs("a", "/reads/1", nil).status, http.StatusOK, "there are no workspaces yet")
	f.workspace("farm", "good", nil)
	for i, x := range []struct {
		path    string
		headers http.Header
		result  string // "" if the request is served
	}{
		{"/reads/1", key("good"), ""},
		{"/reads/1", http.Header{"Authorization": {"bearer good"}}, ""},
		{"/reads/1", nil, "17 KEY_MISSING"},
		{"/reads/1", key("bad"), "18 KEY_UNKNOWN"},
		{"/reads/1", key(""), "18 KEY_UNKNOWN"},
		{"/reads/1", http.Header{"Authorization": {"Basic good"}}, "18 KEY_UNKNOWN"},
		{"/reads/1", http.Header{"Authorization": {"Bearer good", "Bearer bad"}}, "18 KEY_UNKNOWN"},
		{"/reads/1", http.Header{"Authorization": {"good"}}, "18 KEY_UNKNOWN"},
		{"/open/1", nil, ""},
		{"/open/1", key("good"), ""},
		{"/open/1", key("bad"), "18 KEY_UNKNOWN"},
		{"/nowhere/1", nil, "12 UNKNOWN_ROUTE"},
	} {
		got := f.sendAs(fmt.Sprint("q", i), x.path, x.headers)
		assert.Equal(t, got.header.Get(request.HeaderResult), x.result, "%s %v", x.path, x.headers)
		if strings.Contains(x.result, "KEY") {
			assert.Equal(t, got.status, http.StatusUnauthorized)
			assert.Equal(t, got.header.Get(request.HeaderRan), "no")
		}
	}
}

// TestBackendReceivesWorkspaceNotKey checks the headers that backend servers receive.
func TestBackendReceivesWorkspaceNotKey(t *testing.T) {
	f := newFixture(t, 1)
	f.route("open", "/open/", request.ClassRead, true)
	f.config.Resources[version.Key{Kind: version.KindRoute, Name: "open"}].Route.Anonymous = true
	f.workspace("farm", "good", nil)
	forged := key("good")
	forged.Set(request.OwnNames.Workspace, "other")
	f.sendAs("a", "/reads/1", forged)
	forged.Del("Authorization")
	f.sendAs("b", "/open/1", forged)
	runs := f.runs()
	assert.Equal(t, len(runs), 2)
	assert.DeepEqual(t, runs[0].Header.Values(request.OwnNames.Workspace), []string{"farm"})
	assert.Equal(t, len(runs[1].Header.Values(request.OwnNames.Workspace)), 0)
	for _, r := range runs {
		assert.Equal(t, len(r.Header.Values("Authorization")), 0)
	}
}

// TestStaleInstanceRefusesUnknownKeyTemporarily checks that an instance whose configuration has not
// been confirmed recently answers an unknown key with Retry-After, since the key may belong to a
// workspace that it has not received yet, and that it serves keys that it knows.
func TestStaleInstanceRefusesUnknownKeyTemporarily(t *testing.T) {
	f := newFixture(t, 1)
	f.workspace("farm", "good", nil)
	age := time.Second
	f.proxy.ConfigAge = func() time.Duration { return age }
	assert.Equal(t, f.sendAs("a", "/reads/1", key("new")).status, http.StatusUnauthorized)
	age = staleKeyAge + 1
	got := f.sendAs("b", "/reads/1", key("new"))
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, f.sendAs("c", "/reads/1", key("good")).status, http.StatusOK)
}

// TestKeysAreNotLogged sends keys in all forms and checks that logs and metrics do not contain
// them.
func TestKeysAreNotLogged(t *testing.T) {
	f := newFixture(t, 1)
	f.workspace("farm", "secret-good", nil)
	var log, metrics bytes.Buffer
	f.proxy.Log = zerolog.New(&log)
	for _, headers := range []http.Header{key("secret-good"), key("secret-bad"), {"Authorization": {"secret-bare"}}} {
		f.sendAs("a", "/reads/1", headers)
	}
	f.backends[0].Close()
	f.sendAs("b", "/reads/2", key("secret-good"))
	assert.NilError(t, f.proxy.Metrics.Write(&metrics))
	assert.Assert(t, strings.Contains(log.String(), "KEY_UNKNOWN"))
	assert.Assert(t, !strings.Contains(log.String()+metrics.String(), "secret"))
}

// FuzzBearer checks that bearer returns no key that the header does not contain.
func FuzzBearer(f *testing.F) {
	for _, seed := range []string{"", "Bearer k", "bearer  k ", "Bearer", "Basic k", "Bearer a b"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value string) {
		k, given := bearer([]string{value})
		assert.Assert(t, given)
		assert.Assert(t, strings.HasSuffix(strings.TrimSpace(value), k))
		if k != "" {
			assert.Assert(t, strings.EqualFold(value[:len("Bearer ")], "Bearer "))
		}
	})
}

// TestOverQuotaIsRefusedImmediately checks the response to a request over quota, and that requests
// that do not run use up no quota.
func TestOverQuotaIsRefusedImmediately(t *testing.T) {
	f := newFixture(t, 1)
	f.workspace("farm", "good", func(w *version.Workspace) { w.Rate, w.Burst = 1, 3 })
	f.proxy.Quota = &quota.Quota{
		Now: f.proxy.Now, Instances: func() int { return 1 }, Send: func(string, []byte) {}, FirstStart: true,
		Owners: func() (out [quota.Shards]quota.Owner) {
			for i := range out {
				out[i].Name = "self"
			}
			return out
		},
	}
	f.proxy.Quota.Install(f.table.Routing().Workspaces)
	for i := range 5 {
		f.backends[0].InjectFaults(server.Shed, server.Shed)
		got := f.sendAs(fmt.Sprint("shed", i), "/reads/1", key("good"))
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
	}
	f.backends[0].InjectFaults()
	for i := range 3 {
		assert.Equal(t, f.sendAs(fmt.Sprint("in", i), "/reads/1", key("good")).status, http.StatusOK)
	}
	var refused reply
	for i := range 3 {
		refused = f.sendAs(fmt.Sprint("over", i), "/reads/1", key("good"))
	}
	assert.Equal(t, refused.status, http.StatusTooManyRequests)
	assert.Equal(t, refused.header.Get(request.HeaderResult), "23 OVER_QUOTA")
	assert.Equal(t, refused.header.Get(request.HeaderRan), "no")
	assert.Assert(t, refused.header.Get("Retry-After") != "")
	assert.Assert(t, len(f.runs()) <= 4)
}
