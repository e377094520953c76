// SPDX-License-Identifier: MIT

package edge

import (
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"shalewick/conn"
)

const (
	// acceptIdleTime is how long no connection must have arrived before a draining listener is
	// closed. Closing it resets the connections that have not been accepted yet, although their
	// clients may already have sent a request.
	acceptIdleTime = 20 * time.Millisecond
	// maxDrainTime bounds how long a listener drains while connections keep arriving.
	maxDrainTime = 300 * time.Millisecond
	// firstRequestTimeout is how long a planned stop waits for the first request on an open
	// connection.
	firstRequestTimeout = time.Second
)

// drainListener is a listener that can be closed without losing connections: those that are waiting
// to be accepted are accepted first.
type drainListener struct {
	*net.TCPListener
	limiter       *acceptLimiter
	drainDeadline atomic.Pointer[time.Time] // nil: not draining
}

// Drain makes the listener close once no connection is waiting to be accepted. It returns at once.
func (l *drainListener) Drain() {
	deadline := time.Now().Add(maxDrainTime)
	l.drainDeadline.Store(&deadline)
	_ = l.SetDeadline(time.Now().Add(acceptIdleTime)) // an error means that it is closed
}

// Accept returns the next connection. It closes the listener once it is drained, and then returns
// net.ErrClosed.
func (l *drainListener) Accept() (net.Conn, error) {
	l.limiter.acquire()
	c, err := l.TCPListener.Accept()
	if err == nil {
		l.limiter.add(c)
	} else {
		l.limiter.cancel()
	}
	deadline := l.drainDeadline.Load()
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(conn.SocketBufferSize) // connections work without it too
	}
	if deadline == nil {
		return c, err
	}
	if err != nil || time.Now().After(*deadline) {
		_ = l.Close() // it may be closed already
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, net.ErrClosed
	}
	_ = l.SetDeadline(time.Now().Add(acceptIdleTime)) // an error means that it is closed
	return c, err
}

// newConnections holds the open connections of a server on which no request has arrived yet. The
// zero value is ready for use.
type newConnections struct {
	mu       sync.Mutex
	openedAt map[net.Conn]time.Time
}

// onStateChange is the ConnState hook of an http.Server.
func (f *newConnections) onStateChange(c net.Conn, s http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s != http.StateNew {
		delete(f.openedAt, c)
		return
	}
	if f.openedAt == nil {
		f.openedAt = make(map[net.Conn]time.Time)
	}
	f.openedAt[c] = time.Now()
}

// count returns how many of them a planned stop waits for.
func (f *newConnections) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, opened := range f.openedAt {
		if time.Since(opened) < firstRequestTimeout {
			n++
		}
	}
	return n
}
