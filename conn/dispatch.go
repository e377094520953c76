// SPDX-License-Identifier: MIT

package conn

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Options configure one dispatch.
type Options struct {
	// Deadline is when the request is abandoned.
	Deadline time.Time
	// Allowed is called right before the first byte is sent. If it returns false, the request is
	// not sent.
	Allowed func() bool
	// Release is called once, when the backend server has finished with the request. Unresponsive
	// is true if the backend server did not confirm that, and the request's deadline and
	// ReleaseMargin have passed. A running backend server has finished by then, but a frozen one
	// may still hold the request.
	Release func(unresponsive bool)
	// CloseImmediately closes the connection of an abandoned request, for backend servers that then
	// cancel it. Otherwise the connection is half-closed, and Release is called once the backend
	// server has closed its side.
	CloseImmediately bool
}

// aLongTimeAgo is a deadline that interrupts pending I/O immediately.
var aLongTimeAgo = time.Unix(1, 0)

// ReleaseMargin is how long after its deadline an abandoned request counts as occupying a slot of a
// backend server that did not close the connection. It covers network delay.
const ReleaseMargin = 500 * time.Millisecond

// DispatchError is the error of a dispatch that got no response.
type DispatchError struct {
	// Sent reports whether a byte of the request may have been sent.
	Sent bool
	Err  error
}

// Error implements the error interface.
func (e *DispatchError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *DispatchError) Unwrap() error { return e.Err }

// Exchange is a request whose response from the backend server has begun.
type Exchange struct {
	Response *http.Response

	pool       *Pool
	conn       *pooledConn
	opts       Options
	bodySent   chan error // receives the result of sending the body; nil once received
	stopCancel func() bool
	cancelled  chan struct{} // closed once the cancellation of the context has been handled
	once       sync.Once
	complete   bool
}

// Dispatch sends the request and reads the header of the response. It never sends a request twice.
// Cancelling ctx aborts the exchange. On error the exchange is closed and Release is called as by
// Close. The body of the request is closed once it is no longer used, also if nothing is sent.
func (p *Pool) Dispatch(ctx context.Context, req *http.Request, opts Options) (*Exchange, error) {
	dialCtx, cancel := context.WithDeadline(ctx, opts.Deadline)
	conn, err := p.getConn(dialCtx)
	cancel()
	if err != nil {
		closeBody(req)
		opts.Release(false)
		return nil, &DispatchError{Err: err}
	}
	conn.begin(opts.Allowed)
	ex := &Exchange{pool: p, conn: conn, opts: opts}
	if err := conn.SetDeadline(opts.Deadline); err != nil {
		closeBody(req)
		ex.Close()
		return nil, &DispatchError{Err: err}
	}
	ex.cancelled = make(chan struct{})
	ex.stopCancel = context.AfterFunc(ctx, func() {
		_ = conn.SetDeadline(aLongTimeAgo) // unblocks reads and writes
		close(ex.cancelled)
	})
	if err := ex.send(req); err != nil {
		sent := conn.bytesSent > 0
		ex.Close()
		return nil, &DispatchError{Sent: sent, Err: err}
	}
	if err := ex.awaitFirstWrite(); err != nil {
		ex.Close()
		return nil, &DispatchError{Sent: true, Err: errors.Annotate(err, "send request")}
	}
	res, err := conn.readResponse(req)
	if err != nil {
		// If the body was withheld, its sender has interrupted the read. No byte was sent, and none
		// will be, since the connection is closed.
		withheld := conn.withheld.Load()
		ex.Close()
		if withheld != nil {
			return nil, &DispatchError{Err: *withheld}
		}
		return nil, &DispatchError{Sent: true, Err: errors.Annotate(err, "read response")}
	}
	ex.setResponse(res)
	return ex, nil
}

// SkipResponse discards the current response, which belongs to another request, and reads the next
// one on the same connection. On error the exchange must be closed.
func (ex *Exchange) SkipResponse(req *http.Request) error {
	_, err := io.CopyN(io.Discard, ex.Response.Body, maxSkippedBytes)
	if err == nil {
		return errors.New("the response to another request is too long")
	}
	if err != io.EOF {
		return errors.Annotate(err, "read response to another request")
	}
	ex.complete = false
	if ex.Response.Close {
		return errors.New("the connection ends after the response to another request")
	}
	res, err := ex.conn.readResponse(req)
	if err != nil {
		return errors.Annotate(err, "read response after that to another request")
	}
	ex.setResponse(res)
	return nil
}

// setResponse makes res the response of the exchange. Its headers belong to the caller from then
// on.
func (ex *Exchange) setResponse(res *http.Response) {
	ex.conn.idleTimeout = keepAliveTimeout(ex.pool.idleTimeout(), res.Header.Get("Keep-Alive"))
	res.Body = &trackedBody{ReadCloser: res.Body, ex: ex}
	ex.Response = res
}

// DetachUntil detaches the exchange from its context, and allows the remainder of the response to be
// read until the given time. So a response that has begun can be delivered after the request's
// deadline. It fails if the context has already been cancelled.
func (ex *Exchange) DetachUntil(until time.Time) error {
	if ex.stopCancel != nil && !ex.stopCancel() {
		return errors.New("the exchange was cancelled")
	}
	ex.stopCancel = nil
	return errors.Trace(ex.conn.SetDeadline(until))
}

// maxSkippedBytes limits the size of a response to another request that is discarded, in bytes.
const maxSkippedBytes = 1 << 20

// send writes the request. A body is sent concurrently with reading the response, which may arrive
// before the body is complete.
func (ex *Exchange) send(req *http.Request) error {
	conn := ex.conn
	if req.Body == nil || req.Body == http.NoBody {
		if err := req.Write(conn.w); err != nil {
			return errors.Annotate(err, "write request")
		}
		return errors.Annotate(conn.w.Flush(), "write request")
	}
	if !conn.allowed() {
		closeBody(req)
		return ErrNotAllowed
	}
	ex.bodySent = make(chan error, 1)
	go func() {
		err := req.Write(conn.w)
		if err == nil {
			err = conn.w.Flush()
		}
		if err != nil && !conn.isPeerGone() {
			_ = conn.SetDeadline(aLongTimeAgo) // unblocks the reader of the response
		}
		ex.bodySent <- err
	}()
	return nil
}

// awaitFirstWrite waits until the first byte of a request with a body is about to be sent, or its sender has ended. What the
// connection receives before is no response to the request. On error the response must not be read, since the sender may
// still look at what has been received.
func (ex *Exchange) awaitFirstWrite() error {
	if ex.bodySent == nil {
		return nil
	}
	timer := time.NewTimer(time.Until(ex.opts.Deadline))
	defer timer.Stop()
	select {
	case <-ex.conn.started:
		return nil
	case err := <-ex.bodySent:
		ex.bodySent <- err // for Close
		return nil
	case <-ex.cancelled:
		return context.Canceled
	case <-timer.C:
		_ = ex.conn.SetDeadline(aLongTimeAgo) // fails the first write if it has not begun
		return os.ErrDeadlineExceeded
	}
}

// closeBody closes the body of a request that is not written.
func closeBody(req *http.Request) {
	if req.Body != nil {
		_ = req.Body.Close() // nothing was read from it
	}
}

// trackedBody records when the whole response has been read.
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

// Close ends the exchange. The connection is reused if both the request and the response are
// complete.
func (ex *Exchange) Close() {
	ex.once.Do(ex.close)
}

func (ex *Exchange) close() {
	notCancelled := ex.stopCancel == nil || ex.stopCancel()
	if !notCancelled {
		<-ex.cancelled
	}
	sent := ex.conn.withheld.Load() == nil && (ex.bodySent != nil || ex.conn.bytesSent > 0)
	if !sent {
		_ = ex.conn.Conn.Close() // nothing was sent on it
		ex.opts.Release(false)
		return
	}
	reusable := ex.complete && notCancelled && !ex.Response.Close
	if reusable && ex.bodySent == nil {
		ex.reuse()
		return
	}
	go ex.closeAsync(reusable)
}

// reuse returns the connection to the pool.
func (ex *Exchange) reuse() {
	if ex.conn.SetDeadline(time.Time{}) != nil {
		ex.abandon()
		return
	}
	ex.pool.putIdle(ex.conn)
	ex.opts.Release(false)
}

// closeAsync ends an exchange that was aborted, or whose body may still be being sent. The response
// may be complete shortly before the sender of the body reports that it is done, and a backend
// server may respond before the end of the body.
func (ex *Exchange) closeAsync(reusable bool) {
	if !reusable {
		ex.abandon()
		return
	}
	timer := time.NewTimer(ReleaseMargin)
	defer timer.Stop()
	select {
	case err := <-ex.bodySent:
		ex.bodySent = nil
		if err == nil {
			ex.reuse()
			return
		}
	case <-timer.C: // the response came before the end of the body
	}
	ex.abandon()
}

// abandon signals to the backend server that the request is abandoned by half-closing the connection,
// and waits until it closes its side. A late response is discarded.
func (ex *Exchange) abandon() {
	unresponsive := ex.awaitPeerClose()
	ex.opts.Release(unresponsive)
}

// awaitPeerClose closes the connection and reports whether the backend server was unresponsive.
func (ex *Exchange) awaitPeerClose() (unresponsive bool) {
	c := ex.conn.Conn
	defer c.Close()
	if ex.opts.CloseImmediately {
		_ = c.Close()
		return false
	}
	limit := ex.opts.Deadline.Add(ReleaseMargin)
	if ex.bodySent != nil {
		_ = c.SetWriteDeadline(aLongTimeAgo) // aborts a body that is still being sent
		<-ex.bodySent
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok || c.SetReadDeadline(limit) != nil {
		time.Sleep(time.Until(limit))
		return true
	}
	if tcp.CloseWrite() != nil {
		return false // the backend server has already closed or reset the connection
	}
	_, err := io.Copy(io.Discard, c)
	if !isTimeout(err) {
		return false
	}
	// Data that is still queued must not be sent any more. If that cannot be set, the backend
	// server's own deadline applies.
	_ = tcp.SetLinger(0)
	return true
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
