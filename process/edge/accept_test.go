// SPDX-License-Identifier: MIT

package edge

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/standin/program"
)

// TestNewConnectionsAreLimited guards against callers that open a connection for each request and
// take the processors from the requests on established connections. It checks when a connection
// stops counting as new: once its first response is complete, or after newConnTime.
func TestNewConnectionsAreLimited(t *testing.T) {
	a := newAcceptLimiter()
	conns := make([]net.Conn, cap(a.slots))
	for i := range conns {
		conns[i], _ = net.Pipe()
		a.acquire()
		a.add(conns[i])
	}
	blocked := make(chan struct{})
	go func() {
		a.acquire()
		close(blocked)
	}()
	<-blocked // newConnTime has passed
	a.cancel()
	program.Eventually(t, time.Second, "no connection is new", func() bool { return len(a.slots) == 0 })
	a.mu.Lock()
	assert.Equal(t, len(a.expiry), 0)
	a.mu.Unlock()
	for _, end := range []http.ConnState{http.StateIdle, http.StateClosed, http.StateHijacked} {
		a.acquire()
		a.add(conns[0])
		a.onStateChange(conns[0], http.StateActive)
		a.onStateChange(conns[0], end)
		a.onStateChange(conns[0], end) // no effect
		assert.Equal(t, len(a.slots), 0, end)
	}
}
