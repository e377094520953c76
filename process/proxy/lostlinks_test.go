// SPDX-License-Identifier: MIT

package proxy

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/conn"
	"shalewick/process/balance"
	"shalewick/request"
	"shalewick/standin/server"
	"shalewick/version"
)

// ownSlots is the number of slots of the backend server that the instance loses.
const ownSlots = 16

// lostLinksFixture is an instance that loses its links while a backend server runs its requests.
type lostLinksFixture struct {
	*forwardFixture
}

// newLostLinksFixture returns a fixture whose only backend server is at an address.
func newLostLinksFixture(t *testing.T, address string) *lostLinksFixture {
	f := &lostLinksFixture{forwardFixture: newForwardFixture(t, 1)}
	delete(f.config.Resources, version.Key{Kind: version.KindBackend, Name: "u1"})
	f.fixture.backend("u0", address)
	f.config.Resources[version.Key{Kind: version.KindBackend, Name: "u0"}].Backend.Slots = ownSlots
	for _, name := range []string{"reads", "bids"} {
		f.config.Resources[version.Key{Kind: version.KindRoute, Name: name}].Route.Timeout = version.Duration(5 * time.Second)
	}
	f.install()
	f.table.Probe = func(*conn.Pool) error { return errors.New("unreachable") }
	f.table.OnLinks = func(lost bool) {
		if lost {
			f.proxy.ForwardInFlight()
		}
	}
	return f
}

// loseLinks makes the instance find out that it has lost its links.
func (f *lostLinksFixture) loseLinks() {
	f.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	go f.table.WatchLinks(ctx)
	time.Sleep(200 * time.Millisecond) // failures right after a response are no reason to probe
	pick, _ := f.table.Pick(&balance.Query{Route: f.table.Routing().Route("a.example", "/reads/1"), Left: time.Second})
	assert.Assert(f.t, pick != nil)
	pick.Done(balance.Unreachable, nil)
	for begun := time.Now(); f.table.Links() != balance.LinksDown; time.Sleep(time.Millisecond) {
		assert.Assert(f.t, time.Since(begun) < time.Second)
	}
}

// awaitRuns waits until a backend server has begun to run some requests.
func (f *lostLinksFixture) awaitRuns(s *server.Server, count int) {
	f.t.Helper()
	for begun := time.Now(); len(s.Runs()) < count; time.Sleep(time.Millisecond) {
		assert.Assert(f.t, time.Since(begun) < time.Second, "%d of %d requests run", len(s.Runs()), count)
	}
}

// TestRequestsInFlightAreForwarded guards against requests that wait for their deadline, since the links
// of their instance have failed while they ran. Those that may not be repeated wait for their responses.
func TestRequestsInFlightAreForwarded(t *testing.T) {
	own := &server.Server{Name: "u0", Names: request.OwnNames, Slots: ownSlots, Work: 1500 * time.Millisecond}
	assert.NilError(t, own.Start())
	t.Cleanup(own.Close)
	f := newLostLinksFixture(t, own.Address())
	const each = 4
	reads, bids := make(chan reply, each), make(chan reply, each)
	for i := range each {
		go func() { reads <- f.send(fmt.Sprintf("r%d", i), "/reads/1", "") }()
		go func() { bids <- f.send(fmt.Sprintf("b%d", i), "/bids/1", "an offer") }()
	}
	f.awaitRuns(own, 2*each)
	f.loseLinks()
	for range each {
		r := <-reads
		assert.Equal(t, r.status, http.StatusOK)
		assert.Assert(t, r.took < time.Second, "%s", r.took)
	}
	assert.Equal(t, len(f.helperRuns()), each)
	for range each {
		r := <-bids
		assert.Equal(t, r.status, http.StatusOK)
		assert.Assert(t, r.took >= own.Work, "%s", r.took)
	}
	assert.Equal(t, len(f.helperRuns()), each)
}

// TestRequestsInFlightKeepRetryBudget guards against an outage of links that multiplies requests: what the
// retry budget does not grant waits for its response.
func TestRequestsInFlightKeepRetryBudget(t *testing.T) {
	own := &server.Server{Name: "u0", Names: request.OwnNames, Slots: ownSlots, Work: 500 * time.Millisecond}
	assert.NilError(t, own.Start())
	t.Cleanup(own.Close)
	f := newLostLinksFixture(t, own.Address())
	f.proxy.RetryBudget.Ratio, f.proxy.RetryBudget.Fixed = 0, 3
	const sent = 8
	replies := make(chan reply, sent)
	for i := range sent {
		go func() { replies <- f.send(fmt.Sprintf("r%d", i), "/reads/1", "") }()
	}
	f.awaitRuns(own, sent)
	f.loseLinks()
	for range sent {
		assert.Equal(t, (<-replies).status, http.StatusOK)
	}
	assert.Equal(t, len(f.helperRuns()), 3)
}

// TestBegunResponsesAreNotGivenUp checks that a response that is being delivered is not broken off when
// the links fail.
func TestBegunResponsesAreNotGivenUp(t *testing.T) {
	const size = 3 << 20
	rest := make(chan struct{})
	sendRest := sync.OnceFunc(func() { close(rest) })
	own := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(request.OwnNames.ID, r.Header.Get(request.OwnNames.ID))
		w.Header().Set("Content-Length", fmt.Sprint(size))
		_, _ = w.Write(make([]byte, size/2)) // more than is buffered
		w.(http.Flusher).Flush()
		<-rest
		_, _ = w.Write(make([]byte, size-size/2))
	}))
	t.Cleanup(own.Close)
	t.Cleanup(sendRest) // unblocks the handler before Close waits for it
	f := newLostLinksFixture(t, strings.TrimPrefix(own.URL, "http://"))
	attempts := &recorder{}
	f.proxy.beginRollout = attempts.begin
	replies := make(chan reply, 1)
	go func() { replies <- f.send("r", "/reads/1", "") }()
	for attempts.count() == 0 {
		time.Sleep(time.Millisecond)
	}
	attempts.awaitOutcomes() // the beginning of the response has been buffered
	f.loseLinks()
	sendRest()
	r := <-replies
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusOK)
	assert.Equal(t, len(r.body), size)
	assert.Equal(t, len(f.helperRuns()), 0)
}
