// SPDX-License-Identifier: MIT

package drain

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockedListener accepts no connections until unblock is closed.
type blockedListener struct {
	Listener
	unblock <-chan struct{}
}

func (s blockedListener) Accept() (net.Conn, error) {
	<-s.unblock
	return s.Listener.Accept()
}

// TestDrainServesWaitingConnections checks that clients that have connected and sent a request
// while the process was not accepting still get a response after a planned stop.
func TestDrainServesWaitingConnections(t *testing.T) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	var conns Conns
	l := NewQueue(inner.(*net.TCPListener))
	unblock := make(chan struct{})
	s := &http.Server{
		Handler:   http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") }),
		ConnState: conns.OnStateChange,
	}
	go func() { _ = s.Serve(blockedListener{Listener{l, &conns}, unblock}) }()
	var clients sync.WaitGroup
	for range 8 {
		c, err := net.Dial("tcp4", l.Addr().String())
		assert.NilError(t, err)
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
		assert.NilError(t, err)
		clients.Go(func() {
			defer c.Close()
			response, err := io.ReadAll(c)
			assert.Check(t, err == nil && len(response) > 0, "%q %v", response, err)
		})
	}
	l.Drain()
	close(unblock)
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
		if conns.Pending(time.Second) == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, conns.Pending(time.Second), 0)
	assert.NilError(t, s.Close())
}

// TestDrainAcceptsAllThatWaitBeyondItsDeadline guards against a close that resets waiting connections, since the process was held
// for longer than Accept's deadline before it asked the kernel.
func TestDrainAcceptsAllThatWaitBeyondItsDeadline(t *testing.T) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	l := NewQueue(inner.(*net.TCPListener))
	l.Drain()
	const waiting = 8
	for range waiting {
		c, err := net.Dial("tcp4", l.Addr().String())
		assert.NilError(t, err)
		defer c.Close()
	}
	time.Sleep(3 * acceptIdleTime)
	accepted := 0
	for ; err == nil; accepted++ {
		_, err = l.AcceptTCP()
	}
	assert.ErrorIs(t, err, net.ErrClosed)
	assert.Equal(t, accepted-1, waiting)
}

// TestDrainEndsUnderContinuousConnections checks that a listener closes although clients keep
// connecting.
func TestDrainEndsUnderContinuousConnections(t *testing.T) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	l := NewQueue(inner.(*net.TCPListener))
	l.Drain()
	start := time.Now()
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
		c, err := l.AcceptTCP()
		if err != nil {
			break
		}
		_ = c.Close()
	}
	assert.Assert(t, time.Since(start) < 2*maxDrainTime)
}
