// SPDX-License-Identifier: MIT

package edge

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"shalewick/conn"
	"shalewick/process/drain"
)

const (
	// acceptIdleTime is how long no connection must have arrived before a draining listener is
	// closed. Closing it resets the connections that have not been accepted yet, although their
	// clients may already have sent a request.
	acceptIdleTime = 20 * time.Millisecond
	// maxDrainTime bounds how long a listener drains while connections keep arriving.
	maxDrainTime = 300 * time.Millisecond
	// requestReadTimeout is how long a planned stop waits for a request on a connection that was opened, or
	// on which a part of it has arrived.
	requestReadTimeout = time.Second
)

// drainListener is a listener that can be closed without losing connections: those that are waiting
// to be accepted are accepted first.
type drainListener struct {
	*net.TCPListener
	limiter       *acceptLimiter
	conns         *drain.Conns              // those that were accepted
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
	c, err := l.accept()
	deadline := l.drainDeadline.Load()
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

// accept returns the next connection.
func (l *drainListener) accept() (net.Conn, error) {
	l.limiter.acquire()
	tcp, err := l.AcceptTCP()
	if err != nil {
		l.limiter.cancel()
		return nil, err
	}
	_ = tcp.SetWriteBuffer(conn.SocketBufferSize) // connections work without it too
	c := l.conns.Track(tcp)
	l.limiter.add(c)
	return c, nil
}
