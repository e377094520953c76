// SPDX-License-Identifier: MIT

package proxy

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/process/quota"
	"shalewick/request"
	"shalewick/standin/link"
	"shalewick/standin/server"
	"shalewick/version"
)

// maxCancelDelay is the time within which work for a disconnected caller must end.
const maxCancelDelay = 500 * time.Millisecond

// sendRaw opens a connection to the proxy and writes text to it.
func (f *fixture) sendRaw(text string) net.Conn {
	f.t.Helper()
	c, err := net.Dial("tcp", f.proxyServer.Listener.Addr().String())
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { c.Close() })
	_, err = fmt.Fprint(c, text)
	assert.NilError(f.t, err)
	return c
}

func rawRequestHead(method, path, id, extraHeaders string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a.example\r\n%s: %s\r\n%s\r\n", method, path, request.OwnNames.ID, id, extraHeaders)
}

// awaitIdle waits until no request is in flight.
func (f *fixture) awaitIdle() {
	f.t.Helper()
	for start := time.Now(); f.proxy.InFlight() > 0; time.Sleep(5 * time.Millisecond) {
		assert.Assert(f.t, time.Since(start) < maxCancelDelay, "a request is still in flight")
	}
}

// TestDisconnectDuringBufferedBodyRunsNothing covers a caller that disconnects in the middle of a
// body that is buffered whole.
func TestDisconnectDuringBufferedBodyRunsNothing(t *testing.T) {
	f := newFixture(t, 1)
	c := f.sendRaw(rawRequestHead("POST", "/reads/1", "x", "Content-Length: 100\r\n") + "half")
	time.Sleep(30 * time.Millisecond)
	c.Close()
	f.awaitIdle()
	assert.Equal(t, len(f.runs()), 0)
}

// TestDisconnectDuringStreamedBodyCancelsRequest covers a caller that disconnects while its body is
// being streamed to the backend server.
func TestDisconnectDuringStreamedBodyCancelsRequest(t *testing.T) {
	f := newFixture(t, 1)
	c := f.sendRaw(rawRequestHead("POST", "/bids/1", "x", fmt.Sprintf("Content-Length: %d\r\n", maxBufferedBody+1000)) + strings.Repeat("v", maxBufferedBody+10))
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, f.proxy.InFlight(), int64(1))
	c.Close()
	f.awaitIdle()
	assert.Equal(t, len(f.runs()), 0)
}

// TestDisconnectBetweenAttemptsStopsRetries covers a caller that disconnects while the first
// backend server delays its refusal.
func TestDisconnectBetweenAttemptsStopsRetries(t *testing.T) {
	f := newFixture(t, 2)
	for _, s := range f.backends {
		s.InjectFaults(server.ShedSlowly, server.ShedSlowly)
	}
	c := f.sendRaw(rawRequestHead("GET", "/reads/1", "x", ""))
	time.Sleep(50 * time.Millisecond)
	c.Close()
	f.awaitIdle()
	time.Sleep(2 * maxCancelDelay / 5)
	assert.Equal(t, len(f.runs()), 0)
	assert.Equal(t, f.backends[0].Connections()+f.backends[1].Connections(), 1)
}

// TestDisconnectDuringQuotaRequestRunsNothing covers a caller that disconnects before the owner of
// its workspace's limit has replied.
func TestDisconnectDuringQuotaRequestRunsNothing(t *testing.T) {
	f := newFixture(t, 1)
	f.workspace("farm", "good", func(w *version.Workspace) { w.Rate, w.Burst = 1, 1 })
	f.proxy.Quota = &quota.Quota{
		Now: f.proxy.Now, Instances: func() int { return 1000 }, Send: func(string, []byte) {},
		Owners: func() (out [quota.Shards]quota.Owner) {
			for i := range out {
				out[i] = quota.Owner{Name: "far", Address: "far"}
			}
			return out
		},
	}
	f.proxy.Quota.Install(f.table.Routing().Workspaces)
	c := f.sendRaw(rawRequestHead("GET", "/reads/1", "x", "Authorization: Bearer good\r\n"))
	time.Sleep(20 * time.Millisecond)
	c.Close()
	f.awaitIdle()
	assert.Equal(t, len(f.runs()), 0)
}

// TestUnresponsiveConnectionsAreReplaced checks that when all open connections to a backend server
// become unresponsive without a reset, no more than one request times out, and the next ones are
// served on new connections.
func TestUnresponsiveConnectionsAreReplaced(t *testing.T) {
	f := newFixture(t, 0)
	s := &server.Server{Name: "u", Names: request.OwnNames, Slots: 8, Work: 20 * time.Millisecond}
	assert.NilError(t, s.Start())
	t.Cleanup(s.Close)
	k, err := link.Start("127.0.0.1:0", s.Address())
	assert.NilError(t, err)
	t.Cleanup(k.Close)
	f.put(version.Resource{Key: version.Key{Kind: version.KindBackend, Name: "u"}, Backend: &version.Backend{
		Service: "s", Hall: "n1", Address: netip.MustParseAddrPort(k.Address()), Slots: 8,
	}})
	f.install()
	done := make(chan reply, 4)
	for i := range 4 { // opens up to four connections, which are kept
		go func() { done <- f.send(fmt.Sprint("first", i), "/reads/1", "") }()
	}
	for range 4 {
		assert.Equal(t, (<-done).status, http.StatusOK)
	}
	assert.Assert(t, s.Connections() >= 2)
	k.Blackhole()
	lost := f.send("lost", "/bids/1", "offer")
	assert.Equal(t, lost.status, http.StatusGatewayTimeout)
	assert.Equal(t, lost.header.Get(request.HeaderRan), "unknown")
	for i := range 4 {
		got := f.send(fmt.Sprint("next", i), "/bids/1", "offer")
		assert.Equal(t, got.status, http.StatusOK)
		assert.Assert(t, got.took < 300*time.Millisecond, "%s", got.took)
	}
}
