// SPDX-License-Identifier: MIT

package proxy

import (
	"bufio"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/request"
)

// TestRequestThatMayBeCutIsRejected guards against requests that begin shortly before a stopping process exits, and may last
// longer. What counts is their deadline, not how long they usually take, once callers have learned of the stop.
func TestRequestThatMayBeCutIsRejected(t *testing.T) {
	const timeout = 600 * time.Millisecond // of the route
	for _, x := range []struct {
		name      string
		end, from time.Duration // from now
		deadline  string        // of the caller
		rejected  bool
	}{
		{"ends too late", timeout / 2, 0, "", true},
		{"ends in time", 2 * timeout, 0, "", false},
		{"deadline of the caller", timeout / 2, 0, "200", false},
		{"before callers know", timeout / 2, time.Minute, "", false},
		{"all", -time.Hour, -time.Hour, "200", true},
	} {
		t.Run(x.name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.proxy.DisableKeepAlives()
			f.proxy.StopAt(time.Now().Add(x.end), time.Now().Add(x.from))
			header := ""
			if x.deadline != "" {
				header = request.OwnNames.Deadline + ": " + x.deadline + "\r\n"
			}
			c := f.sendRaw(rawRequestHead("GET", "/reads/1", "x", header))
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.NilError(t, err)
			assert.Assert(t, res.Close)
			if !x.rejected {
				assert.Equal(t, res.StatusCode, http.StatusOK)
				return
			}
			assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
			assert.Equal(t, res.Header.Get(request.HeaderResult), request.Leaving.String())
			assert.Equal(t, res.Header.Get(request.HeaderRan), string(request.RanNo))
			assert.Assert(t, res.Header.Get("Retry-After") != "")
			assert.Equal(t, len(f.runs()), 0)
		})
	}
}

// TestLeavingHelperEndsConnections guards against forwarded requests that are sent on an idle connection while the other
// instance exits: whether they have run would be unknown.
func TestLeavingHelperEndsConnections(t *testing.T) {
	f := newForwardFixture(t, 1)
	f.helpers[0].proxy.DisableKeepAlives()
	req, err := http.NewRequest(http.MethodGet, "http://"+f.addresses[0]+"/reads/1", nil)
	assert.NilError(t, err)
	req.Header.Set(headerForwardedBy, "other")
	res, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer res.Body.Close()
	assert.Equal(t, res.Header.Get(headerForwardedEnd), string(request.RanNo))
	assert.Assert(t, res.Close)
}
