// SPDX-License-Identifier: MIT

package edge

import (
	"net"
	"net/http"
	"runtime"
	"sync"
	"time"

	"shalewick/conn"
	"shalewick/process/drain"
)

const (
	// newConnsPerProcessor is how many new connections per processor are served at a time.
	newConnsPerProcessor = 2
	// newConnTime is how long a connection counts as new if its first response takes longer.
	newConnTime = 2 * time.Millisecond
)

// acceptLimiter limits how many new connections are served at a time. The others wait to be
// accepted. Without a limit, callers that ignore Retry-After and open a connection for each request
// take the processors from the requests on established connections.
type acceptLimiter struct {
	slots chan struct{} // one element for each new connection

	mu     sync.Mutex
	expiry map[net.Conn]*time.Timer // end of newConnTime, by new connection
}

func newAcceptLimiter() *acceptLimiter {
	return &acceptLimiter{
		slots:  make(chan struct{}, newConnsPerProcessor*runtime.GOMAXPROCS(0)),
		expiry: make(map[net.Conn]*time.Timer),
	}
}

// acquire waits until another connection may be accepted, at most for newConnTime.
func (a *acceptLimiter) acquire() { a.slots <- struct{}{} }

// cancel ends an acquire that was not followed by a connection.
func (a *acceptLimiter) cancel() { <-a.slots }

// add counts a connection that was accepted after acquire as new.
func (a *acceptLimiter) add(c net.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expiry[c] = time.AfterFunc(newConnTime, func() { a.release(c) })
}

// onStateChange is the ConnState hook of an http.Server.
func (a *acceptLimiter) onStateChange(c net.Conn, s http.ConnState) {
	if s == http.StateIdle || s == http.StateClosed || s == http.StateHijacked {
		a.release(c)
	}
}

// release ends counting a connection as new, if it does.
func (a *acceptLimiter) release(c net.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if timer := a.expiry[c]; timer != nil {
		timer.Stop()
		delete(a.expiry, c)
		<-a.slots
	}
}

// limitedListener accepts connections as its limiter allows.
type limitedListener struct {
	*drain.Queue
	limiter *acceptLimiter
	conns   *drain.Conns // those that were accepted
}

// Accept returns the next connection.
func (l *limitedListener) Accept() (net.Conn, error) {
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
