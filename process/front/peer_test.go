// SPDX-License-Identifier: MIT

package front

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/conn"
	"shalewick/process/forward"
	"shalewick/request"
)

// newForwardFixtures returns a front whose backend server can't be reached, and others that it forwards
// requests to.
func newForwardFixtures(t *testing.T, others int) (f *fixture, helpers []*fixture) {
	for range others {
		helpers = append(helpers, newFixture(t))
	}
	return newForwardFixtureTo(t, helpers...), helpers
}

// newForwardFixtureTo returns a front whose backend server can't be reached, and that forwards requests to others.
func newForwardFixtureTo(t *testing.T, helpers ...*fixture) *fixture {
	f := newFixture(t)
	f.breakLinks()
	f.front.Forward = &forward.Targets{
		Now: f.front.Now, Self: "m", Region: func() string { return "north" },
		List: func() (out []forward.Instance) {
			for _, h := range helpers {
				address := strings.TrimPrefix(h.url, "http://")
				out = append(out, forward.Instance{Name: address, Address: address, Region: "north"})
			}
			return out
		},
		NewPool: func(a string) *conn.Pool { return &conn.Pool{Address: a, ToInstance: true} },
	}
	return f
}

// breakLinks makes connections to the backend server fail.
func (f *fixture) breakLinks() {
	for _, p := range f.front.Steer.Active().Conns {
		p.Address = "127.0.0.1:1"
	}
}

// TestFrontWithoutLinksForwards guards against an entry that rejects the requests of a service while it
// reaches none of its backend servers, although another entry would serve them, before and after
// failures have closed these.
func TestFrontWithoutLinksForwards(t *testing.T) {
	f, helpers := newForwardFixtures(t, 1)
	for range 20 {
		r, res := f.call(t, http.MethodGet, "/lots/1", nil, request.HeaderID, "mine")
		assert.Equal(t, r.Code, request.OK)
		assert.Equal(t, res.StatusCode, http.StatusOK)
		assert.Equal(t, res.Header.Get(request.HeaderBackend), "c1")
		assert.Equal(t, res.Header.Get(request.HeaderID), "mine")
	}
	assert.Assert(t, f.front.Steer.AnyFailing("catalogue"))
	assert.Equal(t, len(helpers[0].backend.Records()), 20)
	r, _ := f.call(t, http.MethodGet, "/lots/1", nil, request.HeaderForwarded, "a caller")
	assert.Equal(t, r.Code, request.NoBackend, "a caller's mark keeps its request from being forwarded")
}

// TestFrontForwardsOnce guards against requests that go round between entries that reach no backend
// server: they are rejected as not run.
func TestFrontForwardsOnce(t *testing.T) {
	f, helpers := newForwardFixtures(t, 2)
	for _, h := range helpers {
		h.breakLinks()
		h.front.Forward = f.front.Forward
	}
	for range 10 {
		begun := time.Now()
		r, _ := f.call(t, http.MethodGet, "/lots/1", nil)
		assert.Assert(t, r.Code == request.ConnectFailed || r.Code == request.NoBackend, "%s", r.Code)
		assert.Equal(t, r.Ran, request.RanNo)
		assert.Assert(t, r.Retry > 0)
		assert.Assert(t, time.Since(begun) < 250*time.Millisecond)
	}
}

// TestFrontForwardsNoTickets checks that a request with a ticket is not forwarded: only the instance of
// the ticket may run it.
func TestFrontForwardsNoTickets(t *testing.T) {
	f, _ := newForwardFixtures(t, 1)
	_, res := f.call(t, http.MethodPost, "/bids/1", nil)
	r, _ := f.call(t, http.MethodPost, "/bids/1", nil, request.HeaderTicket, res.Header.Get(request.HeaderTicket))
	assert.Equal(t, r.Code, request.ConnectFailed)
	assert.Equal(t, r.Ran, request.RanNo)
}
