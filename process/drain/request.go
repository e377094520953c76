// SPDX-License-Identifier: MIT

package drain

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"shalewick/request"
)

// phase is how far a request has come.
type phase int32

const (
	phaseBegun     phase = iota
	phaseRunning         // its work can be aborted
	phaseEnded           // the stop has ended it
	phaseAnswering       // its response has begun
	phaseWritten         // its response has been written
)

// Aborter aborts the work for a request.
type Aborter interface {
	// Abort makes the handler respond at once. It may be called while the handler runs or ends.
	Abort()
}

// Request is a request in flight, as a planned stop ends it, or logs it if its connection is closed. The zero value is ready for use. The
// methods may be called while the stop reads it.
type Request struct {
	conn    *trackedConn // nil: the server has no ConnContext
	phase   atomic.Int32 // a phase
	aborter Aborter      // set before phaseRunning
	id      string
	started time.Time

	service  atomic.Pointer[string] // nil: not known yet
	class    atomic.Int32           // a request.Class
	attempts atomic.Int32           // those that have begun
	// sent and answered are the times of the last attempt that was sent, and of the response, in ns since started;
	// zero: there was none.
	sent, answered atomic.Int64
}

// connKey is the key of a server's connection in its contexts.
type connKey struct{}

// ConnContext is the ConnContext hook of the server.
func (s *Conns) ConnContext(ctx context.Context, c net.Conn) context.Context {
	if t, ok := c.(*trackedConn); ok {
		return context.WithValue(ctx, connKey{}, t)
	}
	return ctx
}

// Begin makes r the request of its connection until that is idle. The context is that of the HTTP request.
func (r *Request) Begin(ctx context.Context, id string, started time.Time) {
	r.id, r.started = id, started
	if r.conn, _ = ctx.Value(connKey{}).(*trackedConn); r.conn != nil {
		r.conn.request.Store(r)
	}
}

// SetService records the service and the class of the request. The string must not change.
func (r *Request) SetService(service *string, class request.Class) {
	r.class.Store(int32(class))
	r.service.Store(service)
}

// SetAborter sets how the work for the request is aborted. It returns false if the stop has ended the request.
func (r *Request) SetAborter(a Aborter) bool {
	r.aborter = a
	return r.move(phaseBegun, phaseRunning)
}

// Ended reports whether the stop has ended the request. No further attempt may begin then.
func (r *Request) Ended() bool { return phase(r.phase.Load()) == phaseEnded }

// BeginAnswer records that the response to the caller begins. It returns false if the stop has ended the request.
func (r *Request) BeginAnswer() bool {
	r.answered.Store(int64(time.Since(r.started)))
	return r.move(phaseRunning, phaseAnswering) || r.move(phaseBegun, phaseAnswering) || !r.Ended()
}

// SetWritten records that the response has been written.
func (r *Request) SetWritten() { r.phase.Store(int32(phaseWritten)) }

// end ends the request unless its response has begun.
func (r *Request) end() bool {
	if r.move(phaseRunning, phaseEnded) {
		r.aborter.Abort()
		return true
	}
	return r.move(phaseBegun, phaseEnded)
}

// move changes the phase if it is from.
func (r *Request) move(from, to phase) bool { return r.phase.CompareAndSwap(int32(from), int32(to)) }

// BeginAttempt records that an attempt begins.
func (r *Request) BeginAttempt() { r.attempts.Add(1) }

// SetSent records that the current attempt is being sent. It returns true, so that it may end a condition for that.
func (r *Request) SetSent() bool {
	r.sent.Store(int64(time.Since(r.started)))
	return true
}

// AddConn adds the state of the connection to a log line: its age, the requests that it has carried, and how long ago
// the first byte of this one was read.
func (r *Request) AddConn(e *zerolog.Event) {
	if r.conn != nil {
		e.Dur("connAge", time.Since(r.conn.opened)).Int32("connRequests", r.conn.requests.Load()).Dur("read", r.conn.age())
	}
}

// logEnd logs that a step of the stop ends the request, or its connection.
func (r *Request) logEnd(log *zerolog.Logger, step, event string) {
	service := ""
	if s := r.service.Load(); s != nil {
		service = *s
	}
	took, sent, answered := time.Since(r.started), time.Duration(r.sent.Load()), time.Duration(r.answered.Load())
	e := log.Info().Str("id", r.id).Str("service", service).Str("class", request.Class(r.class.Load()).String()).Str("step", step).
		Dur("took", took).Int32("attempts", r.attempts.Load()).Bool("sent", sent > 0)
	r.AddConn(e)
	if sent > 0 {
		e.Dur("sentAgo", took-sent)
	}
	if answered > 0 {
		e.Dur("answeredAgo", took-answered)
	}
	e.Msg(event)
}
