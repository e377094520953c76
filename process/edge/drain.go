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
	// acceptQuiet is how long no connection must have come before a draining
	// listener closes. A connection that waits to be accepted is reset by the
	// close, though its client may have sent a request already.
	acceptIdleTime = 20 * time.Millisecond
	// acceptMost bounds how long a listener drains while connections keep coming.
	maxDrainTime = 300 * time.Millisecond
	// firstRequestTime is how long an open connection may take to its first
	// request and still holds a planned stop up.
	firstRequestTimeout = time.Second
)

// drainListener is a listener that can be closed without a loss: what waits to be
// accepted is accepted first.
type drainListener struct {
	*net.TCPListener
	until atomic.Pointer[time.Time] // when draining ends; nil: not draining
}

// Drain closes the listener once no connection waits to be accepted. It does not
// wait for that.
func (l *drainListener) Drain() {
	until := time.Now().Add(maxDrainTime)
	l.until.Store(&until)
	_ = l.SetDeadline(time.Now().Add(acceptIdleTime)) // an error means that it is closed
}

// Accept returns the next connection. Once the listener has been drained it
// closes it, and returns net.ErrClosed.
func (l *drainListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	until := l.until.Load()
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(conn.SocketBufferSize) // it works all the same where it can't be set
	}
	if until == nil {
		return c, err
	}
	if err != nil || time.Now().After(*until) {
		_ = l.Close() // it may be closed already
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, net.ErrClosed
	}
	_ = l.SetDeadline(time.Now().Add(acceptIdleTime)) // an error means that it is closed
	return c, err
}

// freshConnections are the open connections of a server on which no request has
// come yet. The zero value is ready.
type newConnections struct {
	mu     sync.Mutex
	opened map[net.Conn]time.Time
}

// note is the ConnState hook of an http.Server.
func (f *newConnections) onStateChange(c net.Conn, s http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s != http.StateNew {
		delete(f.opened, c)
		return
	}
	if f.opened == nil {
		f.opened = make(map[net.Conn]time.Time)
	}
	f.opened[c] = time.Now()
}

// count returns how many of them a planned stop waits for.
func (f *newConnections) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, at := range f.opened {
		if time.Since(at) < firstRequestTimeout {
			n++
		}
	}
	return n
}
