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
	// lastAcceptTime is the deadline of the accepts before the close. One of them must have passed it by less than as much
	// again: an accept that returns late says nothing of the connections that arrived while the process was held, and did not
	// even ask the kernel if that was before it.
	lastAcceptTime = time.Millisecond
	// maxDrainTime is how long a listener waits for acceptIdleTime while connections keep arriving.
	maxDrainTime = 300 * time.Millisecond
	// maxLateAccepts bounds the accepts after maxDrainTime.
	maxLateAccepts = 128
	// requestReadTimeout is how long a planned stop waits for a request on a connection that was opened, or
	// on which a part of it has arrived.
	requestReadTimeout = time.Second
)

// drainListener is a listener that can be closed without losing connections: those that are waiting
// to be accepted are accepted first.
type drainListener struct {
	*net.TCPListener
	limiter     *acceptLimiter
	conns       *drain.Conns              // those that were accepted
	drainEnd    atomic.Pointer[time.Time] // nil: not draining
	lateAccepts int                       // after drainEnd
}

// Drain makes the listener close once no connection is waiting to be accepted. It returns at once.
func (l *drainListener) Drain() {
	end := time.Now().Add(maxDrainTime)
	l.drainEnd.Store(&end)
	_ = l.SetDeadline(time.Now()) // wakes Accept; an error means that the listener is closed
}

// Accept returns the next connection. It closes the listener once it is drained, and then returns
// net.ErrClosed.
func (l *drainListener) Accept() (net.Conn, error) {
	for wait := acceptIdleTime; l.lateAccepts < maxLateAccepts; {
		l.limiter.acquire()
		start, end := time.Now(), l.drainEnd.Load()
		if end != nil {
			if start.After(*end) {
				wait = lastAcceptTime
				l.lateAccepts++
			}
			_ = l.SetDeadline(start.Add(wait)) // an error means that the listener is closed
		}
		tcp, err := l.AcceptTCP()
		if err == nil {
			_ = tcp.SetWriteBuffer(conn.SocketBufferSize) // connections work without it too
			c := l.conns.Track(tcp)
			l.limiter.add(c)
			return c, nil
		}
		l.limiter.cancel()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		took := time.Since(start)
		if end == nil || took < wait {
			continue // Drain has woken it
		}
		if wait == lastAcceptTime && took < 2*lastAcceptTime {
			break
		}
		wait = lastAcceptTime
	}
	_ = l.Close() // it may be closed already
	return nil, net.ErrClosed
}
