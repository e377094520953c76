// SPDX-License-Identifier: MIT

package front

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"shalewick/conn"
	"shalewick/process/metric"
	"shalewick/process/steer"
	"shalewick/process/upload"
	"shalewick/request"
	"shalewick/retry"
)

const (
	// maxBufferedBody is the size in bytes up to which a request or response
	// body is buffered. Larger bodies are streamed.
	maxBufferedBody = 64 << 10
	// maxAttempts limits the attempts per request.
	maxAttempts = 3
)

// readBody buffers up to maxBufferedBody bytes of the caller's body.
func (c *call) readBody() error {
	if c.r.ContentLength == 0 {
		c.body = upload.New(nil, nil, 0, nil)
		return nil
	}
	in := http.MaxBytesReader(nil, c.r.Body, c.route.MaxBody) // a writer would be accessed while it is in use
	buf := make([]byte, 0, min(max(c.r.ContentLength, 512), maxBufferedBody+1))
	b := bytes.NewBuffer(buf)
	_, err := io.CopyN(b, in, maxBufferedBody+1)
	if err == io.EOF {
		c.body = upload.New(b.Bytes(), nil, int64(b.Len()), nil)
		return nil
	}
	if err != nil {
		return err
	}
	c.body = upload.New(b.Bytes(), in, c.r.ContentLength, nil)
	return nil
}

// unread returns how many bytes of the body have not been read from the caller, or -1 if that is unknown.
func (c *call) unread() int64 {
	if c.body == nil {
		return c.r.ContentLength
	}
	return c.body.Unread()
}

// response is a backend server's response after its checks. Either body holds
// all of the body, or the remainder is still to be read from exchange.
type response struct {
	backend  string
	status   int
	header   http.Header
	body     []byte
	exchange *conn.Exchange // nil if body is complete
}

// forwarder makes the attempts at one request.
type forwarder struct {
	front     *Front
	call      *call
	placement steer.Request
	sent      bool // bytes of an attempt may have been sent
}

// forward makes attempts until one gets a response or a retry is not safe or
// not allowed by the retry budget.
func (f *Front) forward(ctx context.Context, c *call) (*response, *request.Result) {
	if err := c.readBody(); err != nil {
		return nil, bodyErrorResult(err, false)
	}
	fw := &forwarder{front: f, call: c, placement: steer.Request{Service: c.service, Class: c.route.Class, Deadline: c.deadline}}
	budget := f.retryBudget(c.service)
	budget.Deposit()
	resp, res, retryable := fw.attempt(ctx)
	for try := 1; retryable && try < maxAttempts && ctx.Err() == nil && budget.TryWithdraw(); try++ {
		f.Metrics.Retry(c.service)
		var retryRes *request.Result
		resp, retryRes, retryable = fw.attempt(ctx)
		if retryRes != nil && !retryRes.Code.NoCapacity() {
			res = retryRes // if no backend server has capacity for the retry, the previous result says more
		}
		if resp != nil {
			return resp, nil
		}
	}
	if resp == nil && ctx.Err() == nil && fw.mayForward(res) {
		if resp, forwarded := fw.forwardToOther(ctx); resp != nil || forwarded != nil {
			return resp, forwarded
		}
	}
	return resp, res
}

// bodyErrorResult returns the result of a request whose body could not be read.
func bodyErrorResult(err error, sent bool) *request.Result {
	r := request.NotRun(request.CallerGone, 0)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		r.Code = request.TooLarge
	}
	if sent {
		r.Ran = request.RanUnknown
	}
	return &r
}

// attempt makes one attempt. Retryable reports whether a retry is safe.
func (fw *forwarder) attempt(ctx context.Context) (resp *response, res *request.Result, retryable bool) {
	if fw.call.tracked.Ended() {
		return nil, fw.newResult(request.Leaving), false
	}
	start := fw.front.Now()
	place, res := fw.front.Steer.Place(ctx, &fw.placement)
	if res != nil {
		fw.front.Metrics.Stage(metric.StageRejection, fw.front.Now()-start)
		if fw.sent {
			res.Ran = request.RanUnknown // an earlier attempt may have run
		}
		return nil, res, false
	}
	fw.front.Metrics.Stage(metric.StagePlacement, fw.front.Now()-start)
	name := place.Name()
	fw.placement.Tried[0], fw.placement.Tried[1] = name, fw.placement.Tried[0]
	start = fw.front.Now()
	fw.call.tracked.BeginAttempt()
	fw.call.tracked.SetSent() // the log may call an attempt sent that still connects
	exchange, err := place.Dispatch(ctx, fw.newRequest(ctx, fw.call.deadline), fw.call.deadline)
	fw.front.Metrics.Stage(metric.StageDispatch, fw.front.Now()-start)
	if err != nil {
		res, retryable := fw.classifyDispatchError(ctx, name, err)
		return nil, res, retryable
	}
	wasSent := fw.sent
	fw.sent = true
	h := exchange.Response.Header
	if !fw.call.isOwnResponse(h) {
		exchange.Response.Close = true
		fw.call.body.CloseExchange(exchange)
		fw.front.Steer.Health.RecordFailure(name, fw.front.Now())
		return nil, fw.newResult(request.AnswerWrong), fw.repeatable()
	}
	fw.recordRateLimit(place, h, start)
	if h.Get(request.HeaderNotRun) == "true" {
		fw.sent = wasSent
		_, _ = io.CopyN(io.Discard, exchange.Response.Body, maxBufferedBody) // drained so that the connection can be reused
		fw.call.body.CloseExchange(exchange)
		retryAfter := request.OwnNames.Notice(exchange.Response.StatusCode, h).RetryAfter
		fw.front.Steer.Health.RecordRejection(name, retryAfter, h.Get(request.HeaderState), h.Get(request.HeaderBoot), fw.front.Now()-start, fw.front.Now())
		refused := fw.newResult(request.BackendRefused)
		refused.Retry = time.Second
		return nil, refused, fw.call.body.Reclaim()
	}
	return fw.receive(exchange, name, start)
}

// isOwnResponse reports whether a response belongs to the request: it has the id of the request, and no header that
// shows that it is made of two.
func (c *call) isOwnResponse(h http.Header) bool {
	return h.Get(request.HeaderID) == c.id &&
		conn.RepeatedHeader(h, request.HeaderID, request.HeaderNotRun, request.HeaderResult, request.HeaderRan) == ""
}

// recordRateLimit records the rate limit that a response names, or that it names none.
func (fw *forwarder) recordRateLimit(place *steer.Placement, h http.Header, sentAt time.Duration) {
	limit, err := request.OwnNames.RateLimit(h)
	if err != nil {
		fw.front.Metrics.InvalidRateLimit(fw.call.service)
		fw.front.Log.Info().Str("id", fw.call.id).Str("backend", place.Name()).Err(err).Msg("rate-limit-skipped")
		return
	}
	if limit > 0 {
		fw.front.Metrics.RateLimit(fw.call.service)
	}
	place.RecordRateLimit(limit, sentAt)
}

// readResponse reads up to maxBufferedBody of a response. If that is all of
// it, the exchange is closed.
func (c *call) readResponse(exchange *conn.Exchange) (*response, error) {
	httpResp := exchange.Response
	resp := &response{status: httpResp.StatusCode, header: httpResp.Header, exchange: exchange}
	var buf bytes.Buffer
	if n := httpResp.ContentLength; n > 0 && n <= maxBufferedBody {
		buf.Grow(int(n) + bytes.MinRead)
	}
	_, err := io.CopyN(&buf, httpResp.Body, maxBufferedBody+1)
	resp.body = buf.Bytes()
	if err == io.EOF {
		resp.exchange = nil
		err = nil
		c.body.CloseExchange(exchange)
	}
	if err != nil {
		c.body.CloseExchange(exchange)
		return nil, err
	}
	return resp, nil
}

// receive reads a backend server's response and reports its outcome to the
// health table.
func (fw *forwarder) receive(exchange *conn.Exchange, name string, start time.Duration) (*response, *request.Result, bool) {
	httpResp := exchange.Response
	begun := fw.front.Now()
	resp, err := fw.call.readResponse(exchange)
	now := fw.front.Now()
	fw.front.Metrics.Stage(metric.StageResponse, now-begun)
	if err != nil && fw.call.tracked.Ended() { // no fault of the backend server
		return nil, fw.newResult(request.Leaving), false
	}
	if err != nil {
		fw.front.recordBadHead(fw.call, name, err)
		fw.front.Steer.Health.RecordFailure(name, now)
		return nil, fw.newResult(lostResponseCode(err, fw.call.deadline)), fw.repeatable()
	}
	fw.front.Steer.Health.RecordResponse(name, now-start, httpResp.Header.Get(request.HeaderState), httpResp.Header.Get(request.HeaderBoot), now)
	resp.backend = name
	return resp, nil, false
}

// repeatable reports whether a request that was sent at least in part may be
// retried.
func (fw *forwarder) repeatable() bool { return !fw.call.nonRepeatable && fw.call.body.Reclaim() }

// newResult returns a result that says whether the request may have run.
func (fw *forwarder) newResult(c request.Code) *request.Result {
	r := request.NotRun(c, minRetryAfter)
	if fw.sent {
		r = request.Unknown(c)
	}
	return &r
}

// classifyDispatchError returns the result of a dispatch without a response,
// and whether a retry is safe.
func (fw *forwarder) classifyDispatchError(ctx context.Context, name string, err error) (*request.Result, bool) {
	var dispatchErr *conn.DispatchError
	sent := !errors.As(err, &dispatchErr) || dispatchErr.Sent
	fw.sent = fw.sent || sent
	if fw.call.tracked.Ended() {
		return fw.newResult(request.Leaving), false
	}
	if fw.call.r.Context().Err() != nil {
		return fw.newResult(request.CallerGone), false
	}
	if bodyErr := fw.call.body.Err(); bodyErr != nil { // no fault of the backend server
		return bodyErrorResult(bodyErr, fw.sent), false
	}
	if errors.Is(err, conn.ErrNotAllowed) {
		return fw.newResult(request.Unconfirmed), fw.call.body.Reclaim()
	}
	if ctx.Err() != nil || !time.Now().Before(fw.call.deadline) {
		fw.front.Steer.Health.RecordFailure(name, fw.front.Now())
		return fw.newResult(request.DeadlinePassed), false
	}
	if errors.Is(err, conn.ErrNotIdle) { // the backend server may accept new connections
		fw.front.Steer.Health.RecordFailure(name, fw.front.Now())
		return fw.newResult(request.ConnectFailed), fw.call.body.Reclaim()
	}
	if !sent {
		fw.front.Steer.Health.RecordUnreachable(name, fw.front.Now())
		return fw.newResult(request.ConnectFailed), fw.call.body.Reclaim()
	}
	fw.front.recordBadHead(fw.call, name, err)
	fw.front.Steer.Health.RecordFailure(name, fw.front.Now())
	return fw.newResult(lostResponseCode(err, fw.call.deadline)), fw.repeatable()
}

// recordBadHead counts and logs a response that was given up for its head or trailer, if err says so. Name is that of the
// backend server or instance that sent it.
func (f *Front) recordBadHead(c *call, name string, err error) {
	bad := f.Metrics.BadHead(c.service, err)
	if bad == (metric.BadHead{}) {
		return
	}
	f.Log.Info().Str("id", c.id).Str("service", c.service).Str("backend", name).EmbedObject(bad).Err(err).Msg("answer-lost")
}

// deadlineSlack is how long before its deadline a lost response counts as a
// passed deadline: the deadline is sent to the backend server in whole
// milliseconds, and the server aborts the request by itself.
const deadlineSlack = 25 * time.Millisecond

// lostResponseCode returns the code of a response that was lost or truncated.
func lostResponseCode(err error, deadline time.Time) request.Code {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() || time.Until(deadline) < deadlineSlack {
		return request.DeadlinePassed
	}
	return request.AnswerLost
}

// newRequest returns the request for one attempt.
func (fw *forwarder) newRequest(ctx context.Context, deadline time.Time) *http.Request {
	in := fw.call.r
	out := &http.Request{
		Method: in.Method, URL: in.URL, Host: in.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: request.Forwardable(in.Header), Body: fw.call.body.Open(), ContentLength: fw.call.body.Length(),
	}
	h := out.Header
	h.Del(request.HeaderTicket)
	h.Del(request.HeaderForwarded)
	h.Set(request.HeaderID, fw.call.id)
	h.Set(request.HeaderRegion, fw.front.Steer.RegionName())
	h.Set(request.HeaderDeadline, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	return out.WithContext(ctx)
}

// retryBudget returns the retry budget of a service.
func (f *Front) retryBudget(service string) *retry.Budget {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.retryBudgets == nil {
		f.retryBudgets = make(map[string]*retry.Budget)
	}
	b := f.retryBudgets[service]
	if b == nil {
		b = &retry.Budget{}
		f.retryBudgets[service] = b
	}
	return b
}
