// SPDX-License-Identifier: MIT

package edge

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stalled is a listener whose process does not get to accepting for a while.
type blockedListener struct {
	*drainListener
	unblock <-chan struct{}
}

func (s blockedListener) Accept() (net.Conn, error) {
	<-s.unblock
	return s.drainListener.Accept()
}

// TestConnectionsThatWaitAreServedBeforeTheListenerCloses lets clients connect and
// send while the process does not accept, and then stops it as planned: each of
// them must get its answer.
func TestDrainServesWaitingConnections(t *testing.T) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &drainListener{TCPListener: inner.(*net.TCPListener)}
	proceed := make(chan struct{})
	var open newConnections
	s := &http.Server{
		Handler:   http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") }),
		ConnState: open.onStateChange,
	}
	go func() { _ = s.Serve(blockedListener{l, proceed}) }()
	var clients sync.WaitGroup
	for range 8 {
		c, err := net.Dial("tcp4", l.Addr().String())
		assert.NilError(t, err)
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
		assert.NilError(t, err)
		clients.Go(func() {
			defer c.Close()
			answer, err := io.ReadAll(c)
			assert.Check(t, err == nil && len(answer) > 0, "%q %v", answer, err)
		})
	}
	l.Drain()
	close(proceed)
	clients.Wait()
	for range 20 {
		var c net.Conn
		if c, err = net.Dial("tcp4", l.Addr().String()); err != nil {
			break
		}
		assert.NilError(t, c.Close())
		time.Sleep(3 * acceptIdleTime)
	}
	assert.ErrorContains(t, err, "refused")
	for range 100 {
		if open.count() == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, open.count(), 0)
	assert.NilError(t, s.Close())
}

// TestDrainEndsWhileConnectionsKeepComing checks that a listener closes although
// clients go on connecting.
func TestDrainEndsUnderContinuousConnections(t *testing.T) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &drainListener{TCPListener: inner.(*net.TCPListener)}
	l.Drain()
	begun := time.Now()
	go func() {
		for {
			c, err := net.Dial("tcp4", l.Addr().String())
			if err != nil {
				return
			}
			_ = c.Close()
			time.Sleep(time.Millisecond)
		}
	}()
	for {
		c, err := l.Accept()
		if err != nil {
			break
		}
		_ = c.Close()
	}
	assert.Assert(t, time.Since(begun) < 2*maxDrainTime)
}

// TestSilentConnectionHoldsNoStopUp checks that a connection without a request
// counts for a bounded time only.
func TestConnectionWithoutRequestDelaysStopBriefly(t *testing.T) {
	var open newConnections
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	open.onStateChange(a, http.StateNew)
	assert.Equal(t, open.count(), 1)
	open.openedAt[a] = time.Now().Add(-firstRequestTimeout)
	assert.Equal(t, open.count(), 0)
	open.onStateChange(b, http.StateNew)
	open.onStateChange(b, http.StateActive)
	assert.Equal(t, open.count(), 0)
}
