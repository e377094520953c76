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
	"shalewick/process/steer"
	"shalewick/request"
	"shalewick/retry"
)

const (
	// smallBody is the size up to which a body, either way, is held whole,
	// in bytes.
	smallBody = 64 << 10
	// maxAttempts bounds the attempts at one request.
	maxAttempts = 3
)

// source is a request's body.
type source struct {
	whole  []byte    // the beginning of it
	rest   io.Reader // nil when whole is all of it
	length int64     // -1 when not known
	used   bool      // rest was given to an attempt
}

// readSource reads up to smallBody of the caller's body.
func readSource(r *http.Request) (*source, error) {
	if r.ContentLength == 0 {
		return &source{}, nil
	}
	buf := make([]byte, 0, min(max(r.ContentLength, 512), smallBody+1))
	b := bytes.NewBuffer(buf)
	_, err := io.CopyN(b, r.Body, smallBody+1)
	if err == io.EOF {
		return &source{whole: b.Bytes(), length: int64(b.Len())}, nil
	}
	if err != nil {
		return nil, err
	}
	return &source{whole: b.Bytes(), rest: r.Body, length: r.ContentLength}, nil
}

// again reports whether the body can be sent once more.
func (s *source) again() bool { return s.rest == nil || !s.used }

// body returns the body for one attempt.
func (s *source) body() io.ReadCloser {
	if s.rest == nil && len(s.whole) == 0 {
		return http.NoBody
	}
	if s.rest == nil {
		return io.NopCloser(bytes.NewReader(s.whole))
	}
	s.used = true
	return io.NopCloser(io.MultiReader(bytes.NewReader(s.whole), s.rest))
}

// answer is a backend server's checked answer. Either whole has all of the body, or
// the rest is still to be read from the exchange.
type answer struct {
	backend string
	status  int
	header  http.Header
	whole   []byte
	ex      *conn.Exchange // nil when whole has all
}

// trial is the course of the attempts at one request.
type trial struct {
	f    *Front
	c    *call
	src  *source
	ask  steer.Request
	sent bool // a byte of some attempt may have left
}

// run makes attempts until one has an answer or no further one is safe.
func (f *Front) run(ctx context.Context, c *call) (*answer, *request.Result) {
	src, err := readSource(c.r)
	if err != nil {
		return nil, bodyResult(err, false)
	}
	t := &trial{f: f, c: c, src: src, ask: steer.Request{Service: c.service, Class: c.route.Class, Deadline: c.deadline}}
	bud := f.budget(c.service)
	bud.Deposit()
	a, res, again := t.attempt(ctx)
	for try := 1; again && try < maxAttempts && ctx.Err() == nil && bud.TryWithdraw(); try++ {
		f.Metrics.Retry(c.service)
		var further *request.Result
		a, further, again = t.attempt(ctx)
		if further != nil && !further.Code.NoCapacity() {
			res = further // else the end of the attempt before tells more
		}
		if a != nil {
			return a, nil
		}
	}
	return a, res
}

// bodyResult is the end of a request whose body could not be read.
func bodyResult(err error, sent bool) *request.Result {
	r := request.NotRun(request.CallerGone, 0)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		r.Code = request.TooLarge
	}
	if sent {
		r.Ran = request.RanUnknown
	}
	return &r
}

// attempt makes one attempt. Again is true when another one is safe.
func (t *trial) attempt(ctx context.Context) (a *answer, res *request.Result, again bool) {
	place, res := t.f.Steer.Place(ctx, &t.ask)
	if res != nil {
		if t.sent {
			res.Ran = request.RanUnknown // an earlier attempt may have run
		}
		return nil, res, false
	}
	name := place.Name()
	t.ask.Tried[0], t.ask.Tried[1] = name, t.ask.Tried[0]
	start := t.f.Now()
	ex, err := place.Dispatch(ctx, t.request(ctx, t.c.deadline), t.c.deadline)
	if err != nil {
		res, again := t.failed(ctx, name, err)
		return nil, res, again
	}
	wasSent := t.sent
	t.sent = true
	h := ex.Response.Header
	if h.Get(request.HeaderID) != t.c.id {
		ex.Response.Close = true
		ex.Close()
		t.f.Steer.Health.RecordFailure(name, t.f.Now())
		return nil, t.result(request.AnswerWrong), t.repeatable()
	}
	if h.Get(request.HeaderNotRun) == "true" {
		t.sent = wasSent
		_, _ = io.CopyN(io.Discard, ex.Response.Body, smallBody) // so that the connection can be kept
		ex.Close()
		retryAfter := request.OwnNames.Notice(ex.Response.StatusCode, h).RetryAfter
		t.f.Steer.Health.RecordRejection(name, retryAfter, h.Get(request.HeaderState), h.Get(request.HeaderBoot), t.f.Now()-start, t.f.Now())
		r := t.result(request.BackendRefused)
		r.Retry = time.Second
		return nil, r, t.src.again()
	}
	return t.read(ex, name, start)
}

// readAnswer takes in an answer, whole if it is small.
func readAnswer(ex *conn.Exchange) (*answer, error) {
	res := ex.Response
	a := &answer{status: res.StatusCode, header: res.Header, ex: ex}
	var b bytes.Buffer
	if n := res.ContentLength; n > 0 && n <= smallBody {
		b.Grow(int(n) + bytes.MinRead)
	}
	_, err := io.CopyN(&b, res.Body, smallBody+1)
	a.whole = b.Bytes()
	if err == io.EOF {
		a.ex = nil
		err = nil
		ex.Close()
	}
	if err != nil {
		ex.Close()
		return nil, err
	}
	return a, nil
}

// read takes in a backend server's answer and notes what it tells of the backend server.
func (t *trial) read(ex *conn.Exchange, name string, start time.Duration) (*answer, *request.Result, bool) {
	res := ex.Response
	a, err := readAnswer(ex)
	now := t.f.Now()
	if err != nil {
		t.f.Steer.Health.RecordFailure(name, now)
		return nil, t.result(lostCode(err, t.c.deadline)), t.repeatable()
	}
	t.f.Steer.Health.RecordResponse(name, now-start, res.Header.Get(request.HeaderState), res.Header.Get(request.HeaderBoot), now)
	a.backend = name
	return a, nil, false
}

// repeatable reports whether a request of which something was sent may be
// sent again.
func (t *trial) repeatable() bool { return !t.c.once && t.src.again() }

// result is a result with what is known of whether the request ran.
func (t *trial) result(c request.Code) *request.Result {
	r := request.NotRun(c, minRetry)
	if t.sent {
		r = request.Unknown(c)
	}
	return &r
}

// failed classifies a dispatch that got no answer.
func (t *trial) failed(ctx context.Context, name string, err error) (*request.Result, bool) {
	var d *conn.DispatchError
	sent := !errors.As(err, &d) || d.Sent
	t.sent = t.sent || sent
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return t.result(request.TooLarge), false
	}
	if t.c.r.Context().Err() != nil {
		return t.result(request.CallerGone), false
	}
	if errors.Is(err, conn.ErrNotAllowed) {
		return t.result(request.Unconfirmed), t.src.again()
	}
	if ctx.Err() != nil || !time.Now().Before(t.c.deadline) {
		t.f.Steer.Health.RecordFailure(name, t.f.Now())
		return t.result(request.DeadlinePassed), false
	}
	t.f.Steer.Health.RecordFailure(name, t.f.Now())
	if !sent {
		return t.result(request.ConnectFailed), t.src.again()
	}
	return t.result(lostCode(err, t.c.deadline)), t.repeatable()
}

// deadlineSlack is how shortly before its deadline a request that breaks off
// counts as one whose deadline has passed: the backend server is told the deadline in
// whole milliseconds, and gives up by itself.
const deadlineSlack = 25 * time.Millisecond

// lostCode is the code of an answer that broke off.
func lostCode(err error, deadline time.Time) request.Code {
	var n net.Error
	if errors.As(err, &n) && n.Timeout() || time.Until(deadline) < deadlineSlack {
		return request.DeadlinePassed
	}
	return request.AnswerLost
}

// request builds the request for one attempt.
func (t *trial) request(ctx context.Context, deadline time.Time) *http.Request {
	in := t.c.r
	out := &http.Request{
		Method: in.Method, URL: in.URL, Host: in.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: request.Forwardable(in.Header), Body: t.src.body(), ContentLength: t.src.length,
	}
	h := out.Header
	h.Del(request.HeaderTicket)
	h.Set(request.HeaderID, t.c.id)
	h.Set(request.HeaderRegion, t.f.Steer.RegionName())
	h.Set(request.HeaderDeadline, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	return out.WithContext(ctx)
}

// budget returns the retries of a service.
func (f *Front) budget(service string) *retry.Budget {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.budgets == nil {
		f.budgets = make(map[string]*retry.Budget)
	}
	b := f.budgets[service]
	if b == nil {
		b = &retry.Budget{}
		f.budgets[service] = b
	}
	return b
}
