// SPDX-License-Identifier: MIT

package drain

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"shalewick/conn"
)

// state is the state of a connection.
type state int32

const (
	stateNew state = iota // open, and nothing has been read
	// stateIdle: a response has been sent, and the server waits for the next request. It has read nothing of that, unless a
	// part came together with the request before.
	stateIdle
	stateReading     // a part of a request has been read
	stateServing     // the handler has the request
	stateServingNext // as stateServing, and the next request has been read in part
	stateAnswered    // a response has been sent; the next request may have been read together with the one before
	stateEnded       // ended by EndIdle, Refuse or a HeadBudget
)

// serving reports whether a request is served or its response is being sent.
func (s state) serving() bool {
	return s == stateServing || s == stateServingNext || s == stateAnswered
}

// Conns holds the open connections of an HTTP server. The zero value is ready for use.
type Conns struct {
	// Heads, if set before use, bounds the memory of the heads that are being read.
	Heads *HeadBudget

	mu    sync.Mutex
	conns map[*trackedConn]struct{}
}

// trackedConn is a connection with the state of what the server has read from it and written to it.
type trackedConn struct {
	*net.TCPConn
	opened   time.Time
	state    atomic.Int32            // a state
	requests atomic.Int32            // those that have begun to arrive
	request  atomic.Pointer[Request] // the one that is served, if the handler tracks it
	since    atomic.Int64            // when it was opened, or the request in stateReading began; Unix time in nanoseconds
	// refusing is held while Refuse ends the connection.
	refusing sync.Mutex

	heads        *HeadBudget // nil: unlimited
	caller       netip.Addr
	head         int64       // memory of the head in stateReading, in bytes; guarded by heads.mu
	headRejected atomic.Bool // the next Read in stateReading ends the connection; written with heads.mu held
}

// Track returns a connection that is to be used in place of c. The ConnState hook of its server must be
// OnStateChange.
func (s *Conns) Track(c *net.TCPConn) net.Conn {
	t := &trackedConn{TCPConn: c, opened: time.Now(), heads: s.Heads}
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		t.caller = a.AddrPort().Addr()
	}
	t.since.Store(t.opened.UnixNano())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = make(map[*trackedConn]struct{})
	}
	s.conns[t] = struct{}{}
	return t
}

// OnStateChange is the ConnState hook of the server.
func (s *Conns) OnStateChange(c net.Conn, to http.ConnState) {
	t, ok := c.(*trackedConn)
	if !ok {
		return
	}
	switch to {
	case http.StateActive: // the head is complete, or can't be read
		t.heads.release(t)
		if !t.move(stateReading, stateServing) && t.move(stateAnswered, stateServing) {
			t.requests.Add(1)
		}
	case http.StateIdle:
		t.request.Store(nil)
		t.since.Store(time.Now().UnixNano())
		if !t.move(stateServing, stateAnswered) && t.move(stateServingNext, stateReading) {
			t.requests.Add(1)
		}
	case http.StateClosed, http.StateHijacked:
		t.heads.release(t)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, t)
	}
}

// errEnded is the error of a read from a connection that has been ended. After it net/http writes no response, or 400 if it
// has read a part of a header line, which Write drops.
var errEnded = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// Read reads from the connection. What arrives at a connection that has been ended is dropped.
func (t *trackedConn) Read(p []byte) (int, error) {
	t.move(stateAnswered, stateIdle) // the server reads only if it has no request
	if t.headRejected.Load() {       // the server may have replaced the deadline that wakes it
		return 0, t.endHead()
	}
	n, err := t.TCPConn.Read(p)
	if n == 0 {
		if t.headRejected.Load() {
			return 0, t.endHead()
		}
		return n, err
	}
	switch state(t.state.Load()) {
	case stateServing:
		// net/http reads a single byte while the handler runs, once it has read all of the request.
		if len(p) == 1 {
			t.move(stateServing, stateServingNext)
		}
	case stateNew, stateIdle:
		t.since.Store(time.Now().UnixNano())
		if !t.move(stateNew, stateReading) && !t.move(stateIdle, stateReading) {
			return 0, errEnded
		}
		t.requests.Add(1)
		return t.readHead(p[:n], err)
	case stateReading:
		return t.readHead(p[:n], err)
	case stateEnded:
		return 0, errEnded
	}
	return n, err
}

// Write writes to the connection. What net/http writes to a connection that has been ended is dropped.
func (t *trackedConn) Write(p []byte) (int, error) {
	if state(t.state.Load()) == stateEnded {
		return 0, net.ErrClosed
	}
	return t.TCPConn.Write(p)
}

// Close closes the connection, once its refusal has been written.
func (t *trackedConn) Close() error {
	t.refusing.Lock()
	defer t.refusing.Unlock()
	return t.TCPConn.Close()
}

// move changes the state if it is from.
func (t *trackedConn) move(from, to state) bool {
	return t.state.CompareAndSwap(int32(from), int32(to))
}

// age returns how long ago the connection was opened, or the request in stateReading began.
func (t *trackedConn) age() time.Duration { return time.Since(time.Unix(0, t.since.Load())) }

// unread reports whether the first bytes of a request have arrived that the server has not read yet.
func (t *trackedConn) unread() bool {
	at := state(t.state.Load())
	return (at == stateNew || at == stateIdle) && conn.HasUnread(t.TCPConn)
}

// list returns the open connections.
func (s *Conns) list() []*trackedConn {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*trackedConn, 0, len(s.conns))
	for t := range s.conns {
		out = append(out, t)
	}
	return out
}

// EndIdle closes idle connections: those between two requests, and those that were opened at least minAge ago and
// have had no request. It returns their number. A connection on which a request has arrived that the server has not read yet
// is not idle.
func (s *Conns) EndIdle(minAge time.Duration) (ended int) {
	for _, t := range s.list() {
		if t.unread() {
			continue
		}
		if t.move(stateIdle, stateEnded) || t.age() >= minAge && t.move(stateNew, stateEnded) {
			_ = t.Close() // nothing was to be written
			ended++
		}
	}
	return ended
}

// Pending returns the number of connections on which a request is expected: those that were opened, or of which
// a part of a request was read, less than maxAge ago, and those on which one has arrived that the server has not read yet.
func (s *Conns) Pending(maxAge time.Duration) (pending int) {
	for _, t := range s.list() {
		at := state(t.state.Load())
		if (at == stateNew || at == stateReading) && t.age() < maxAge || t.unread() {
			pending++
		}
	}
	return pending
}

// Unread returns the number of connections on which a request has arrived that the server has not read yet.
func (s *Conns) Unread() (unread int) {
	for _, t := range s.list() {
		if t.unread() {
			unread++
		}
	}
	return unread
}

// Serving returns the number of connections on which a request is served or its response is being sent.
func (s *Conns) Serving() (serving int) {
	for _, t := range s.list() {
		if state(t.state.Load()).serving() {
			serving++
		}
	}
	return serving
}

// refuseTimeout limits the writing of a refusal, which fits into a send buffer.
const refuseTimeout = 20 * time.Millisecond

// Refuse sends a response on the connections of which only a part of a request has been read, or nothing of one that has
// arrived, and ends them. It returns their number. The server must be closed afterwards, and refuse requests whose reading ends meanwhile.
func (s *Conns) Refuse(response []byte) (refused int) {
	for _, t := range s.list() {
		if t.refuse(response) {
			refused++
		}
	}
	return refused
}

// refuse ends the connection with a response if a request has arrived that has not been read, or only in part.
func (t *trackedConn) refuse(response []byte) bool {
	t.refusing.Lock()
	defer t.refusing.Unlock()
	unread := t.unread()
	if !t.move(stateReading, stateEnded) && !(unread && (t.move(stateIdle, stateEnded) || t.move(stateNew, stateEnded))) {
		return false
	}
	_ = t.SetWriteDeadline(time.Now().Add(refuseTimeout))
	_, _ = t.TCPConn.Write(response) // the caller may have disconnected
	_ = t.CloseWrite()
	return true
}
