// SPDX-License-Identifier: MIT

package conn

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Options of one dispatch.
type Options struct {
	// Deadline is when the request is given up.
	Deadline time.Time
	// Allowed is asked right before the first byte leaves.
	Allowed func() bool
	// Release is called once, when the backend server has let go of the request.
	// Silent is true when it did not say so, and only the request's deadline
	// and Margin have passed: a backend server that runs has let go by then, but
	// one that is frozen may still hold it.
	Release func(silent bool)
	// CloseAtOnce closes the connection of a request that is given up, for an
	// backend server that drops a request then. Otherwise the backend server is asked by a
	// half close, and its answer waited for.
	CloseImmediately bool
}

// past is a deadline that ends all waiting.
var aLongTimeAgo = time.Unix(1, 0)

// Margin is how long after its deadline a request is held to occupy a slot of
// a backend server that did not say it let go. It covers the time on the way.
const ReleaseMargin = 500 * time.Millisecond

// DispatchError is a dispatch that got no answer.
type DispatchError struct {
	// Sent reports whether a byte of the request may have left.
	Sent bool
	Err  error
}

// Error describes the failure.
func (e *DispatchError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *DispatchError) Unwrap() error { return e.Err }

// Exchange is a request at a backend server whose answer has begun.
type Exchange struct {
	Response *http.Response

	pool       *Pool
	conn       *pooledConn
	opts       Options
	bodySent   chan error // result of sending the body; nil once received
	stopCancel func() bool
	cancelled  chan struct{} // closed once the context's end was carried out
	once       sync.Once
	complete   bool
}

// Dispatch sends the request and reads the head of the answer. It never sends
// twice. The context's end breaks the exchange off. On error the exchange is
// closed and Release is called as Close does.
func (p *Pool) Dispatch(ctx context.Context, req *http.Request, o Options) (*Exchange, error) {
	dialCtx, cancel := context.WithDeadline(ctx, o.Deadline)
	l, err := p.getConn(dialCtx)
	cancel()
	if err != nil {
		o.Release(false)
		return nil, &DispatchError{Err: err}
	}
	l.bytesSent = 0
	l.allowed = o.Allowed
	ex := &Exchange{pool: p, conn: l, opts: o}
	if err := l.SetDeadline(o.Deadline); err != nil {
		ex.Close()
		return nil, &DispatchError{Err: err}
	}
	ex.cancelled = make(chan struct{})
	ex.stopCancel = context.AfterFunc(ctx, func() {
		_ = l.SetDeadline(aLongTimeAgo) // wakes whoever reads or writes
		close(ex.cancelled)
	})
	if err := ex.send(req); err != nil {
		sent := l.bytesSent > 0
		ex.Close()
		return nil, &DispatchError{Sent: sent, Err: err}
	}
	res, err := http.ReadResponse(l.r, req)
	for err == nil && res.StatusCode/100 == 1 {
		res, err = http.ReadResponse(l.r, req)
	}
	if err != nil {
		// The sender of a body that was withheld ends the reading. No byte left then, and
		// none will: the connection is closed.
		withheld := l.withheld.Load()
		ex.Close()
		if withheld {
			return nil, &DispatchError{Err: ErrNotAllowed}
		}
		return nil, &DispatchError{Sent: true, Err: errors.Annotate(err, "read answer")}
	}
	ex.setResponse(res)
	return ex, nil
}

// Skip drops the present answer, which belongs to another request, and reads
// the next one on the same connection. On error the exchange has to be closed.
func (ex *Exchange) SkipResponse(req *http.Request) error {
	if _, err := io.CopyN(io.Discard, ex.Response.Body, maxSkippedBytes); err != io.EOF {
		return errors.New("an answer to another request is too long")
	}
	ex.complete = false
	if ex.Response.Close {
		return errors.New("the connection ends with an answer to another request")
	}
	res, err := http.ReadResponse(ex.conn.r, req)
	if err != nil {
		return errors.Annotate(err, "read answer after one to another request")
	}
	ex.setResponse(res)
	return nil
}

// take makes res the answer. Its headers are the caller's from then on.
func (ex *Exchange) setResponse(res *http.Response) {
	ex.conn.idleTimeout = keepAliveTimeout(ex.pool.idleTimeout(), res.Header.Get("Keep-Alive"))
	res.Body = &trackedBody{ReadCloser: res.Body, ex: ex}
	ex.Response = res
}

// Deliver lets the rest of an answer be read until a time, though the context ends: an answer
// that has begun is delivered, also late. The error says that the context had ended before.
func (ex *Exchange) DetachUntil(until time.Time) error {
	if ex.stopCancel != nil && !ex.stopCancel() {
		return errors.New("the exchange was broken off")
	}
	ex.stopCancel = nil
	return errors.Trace(ex.conn.SetDeadline(until))
}

// maxSkipped bounds an answer to another request that is dropped, in bytes.
const maxSkippedBytes = 1 << 20

// send writes the request. One without a body is written at once; a body is
// sent beside the reading of the answer, which may come before its end.
func (ex *Exchange) send(req *http.Request) error {
	l := ex.conn
	if req.Body == nil || req.Body == http.NoBody {
		if err := req.Write(l.w); err != nil {
			return errors.Annotate(err, "write request")
		}
		return errors.Annotate(l.w.Flush(), "write request")
	}
	if !l.allowed() {
		return ErrNotAllowed
	}
	ex.bodySent = make(chan error, 1)
	go func() {
		err := req.Write(l.w)
		if err == nil {
			err = l.w.Flush()
		}
		if err != nil {
			_ = l.SetDeadline(aLongTimeAgo) // wakes the reader of the answer
		}
		ex.bodySent <- err
	}()
	return nil
}

// body notes when the whole answer was read.
type trackedBody struct {
	io.ReadCloser
	ex *Exchange
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.ex.complete = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept for the next request when
// request and answer are both whole.
func (ex *Exchange) Close() {
	ex.once.Do(ex.close)
}

func (ex *Exchange) close() {
	undisturbed := ex.stopCancel == nil || ex.stopCancel()
	if !undisturbed {
		<-ex.cancelled
	}
	sent := ex.bodySent != nil || ex.conn.bytesSent > 0
	if !sent {
		_ = ex.conn.Conn.Close() // nothing left on it
		ex.opts.Release(false)
		return
	}
	keep := ex.complete && undisturbed && !ex.Response.Close
	if keep && ex.bodySent == nil {
		ex.reuse()
		return
	}
	go ex.closeAsync(keep)
}

// keep gives the connection back for the next request.
func (ex *Exchange) reuse() {
	if ex.conn.SetDeadline(time.Time{}) != nil {
		ex.abandon()
		return
	}
	ex.pool.putIdle(ex.conn)
	ex.opts.Release(false)
}

// settle ends an exchange whose body may still be on its way, or that was
// broken off. The answer can be whole a moment before the sender of the body
// has said that it is done; a backend server can also answer before the body's end.
func (ex *Exchange) closeAsync(keep bool) {
	if !keep {
		ex.abandon()
		return
	}
	t := time.NewTimer(ReleaseMargin)
	defer t.Stop()
	select {
	case err := <-ex.bodySent:
		ex.bodySent = nil
		if err == nil {
			ex.reuse()
			return
		}
	case <-t.C: // answered before the body's end
	}
	ex.abandon()
}

// letGo tells the backend server that the request is given up, by closing the
// sending side, and waits until the backend server closes its own. A late answer is
// read and dropped.
func (ex *Exchange) abandon() {
	silent := ex.awaitPeerClose()
	ex.opts.Release(silent)
}

// awaitEnd ends the connection and reports whether the backend server was silent.
func (ex *Exchange) awaitPeerClose() (silent bool) {
	c := ex.conn.Conn
	defer c.Close()
	if ex.opts.CloseImmediately {
		_ = c.Close()
		return false
	}
	limit := ex.opts.Deadline.Add(ReleaseMargin)
	if ex.bodySent != nil {
		_ = c.SetWriteDeadline(aLongTimeAgo) // stops a body still being sent
		<-ex.bodySent
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok || c.SetReadDeadline(limit) != nil {
		time.Sleep(time.Until(limit))
		return true
	}
	if tcp.CloseWrite() != nil {
		return false // the backend server has closed or reset it
	}
	_, err := io.Copy(io.Discard, c)
	if !isTimeout(err) {
		return false
	}
	// What still waits to be sent must never arrive. An error leaves it to
	// the backend server's own deadline.
	_ = tcp.SetLinger(0)
	return true
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}
