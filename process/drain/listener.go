// SPDX-License-Identifier: MIT

package drain

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
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
)

// Queue is a listener that can be closed without losing connections: those that are waiting to be accepted are
// accepted first.
type Queue struct {
	*net.TCPListener
	drainEnd    atomic.Pointer[time.Time] // nil: not draining
	lateAccepts int                       // after drainEnd
	closeOnce   sync.Once
	closed      chan struct{}
}

// NewQueue returns a queue that accepts the connections of l.
func NewQueue(l *net.TCPListener) *Queue {
	return &Queue{TCPListener: l, closed: make(chan struct{})}
}

// Drain makes the listener close once no connection is waiting to be accepted. It returns at once, and may be called again.
func (q *Queue) Drain() {
	end := time.Now().Add(maxDrainTime)
	if q.drainEnd.CompareAndSwap(nil, &end) {
		_ = q.SetDeadline(time.Now()) // wakes AcceptTCP; an error means that the listener is closed
	}
}

// IsClosed reports whether the listener is closed.
func (q *Queue) IsClosed() bool {
	select {
	case <-q.closed:
		return true
	default:
		return false
	}
}

// Close closes the listener at once.
func (q *Queue) Close() error {
	defer q.closeOnce.Do(func() { close(q.closed) })
	return q.TCPListener.Close()
}

// AcceptTCP returns the next connection. It closes the listener once it is drained, and then returns net.ErrClosed.
// It must not be called concurrently.
func (q *Queue) AcceptTCP() (*net.TCPConn, error) {
	for wait := acceptIdleTime; q.lateAccepts < maxLateAccepts; {
		start, end := time.Now(), q.drainEnd.Load()
		if end != nil {
			if start.After(*end) {
				wait = lastAcceptTime
				q.lateAccepts++
			}
			_ = q.SetDeadline(start.Add(wait)) // an error means that the listener is closed
		}
		c, err := q.TCPListener.AcceptTCP()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
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
	_ = q.Close() // it may be closed already
	return nil, net.ErrClosed
}

// TCPListener is a *net.TCPListener or a *Queue.
type TCPListener interface {
	net.Listener
	AcceptTCP() (*net.TCPConn, error)
}

// Listener accepts connections that are tracked.
type Listener struct {
	TCPListener
	Conns *Conns
}

// Accept returns the next connection.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return l.Conns.Track(c), nil
}
