// SPDX-License-Identifier: MIT

package caller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"shalewick/clock"
	"shalewick/process/front"
	"shalewick/request"
	"shalewick/retry"
)

// Request is one request.
type Request struct {
	Service string
	Method  string
	Path    string // with the query
	Header  http.Header
	Body    []byte
	// Once marks a request that may not be repeated.
	Once bool
	// Timeout bounds the whole of it; zero means DefaultTimeout.
	Timeout time.Duration
}

// DefaultTimeout is the timeout of a request that names none.
const DefaultTimeout = 10 * time.Second

// Response is a whole answer of a backend server.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Refusal is the end of a request that got no whole answer.
type Refusal struct {
	request.Result
	Err error // the last failure, if it was not a result
}

// Error describes the refusal.
func (r *Refusal) Error() string {
	if r.Err != nil {
		return fmt.Sprintf("ran: %s: %v", r.Ran, r.Err)
	}
	return r.Result.Error()
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	// Known are addresses of instances to start from.
	Known []string
	// Address is the client's own, for the look-up; "" lets the instance see.
	Address string
	// HTTP carries the calls.
	HTTP *http.Client

	lookups chan struct{} // holds one look-up at a time
	early   retry.Budget  // calls that were given up before the request's time
	mu      sync.Mutex
	entries []string
	until   time.Time
	avoid   map[string]time.Time
	tickets map[string][]ticket
}

type ticket struct {
	text  string
	taken time.Time
}

// New returns a client that starts from known instances.
func New(known []string) *Client {
	t := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	return &Client{Known: known, lookups: make(chan struct{}, 1), HTTP: &http.Client{Transport: t}}
}

const (
	lookupTimeout = 400 * time.Millisecond
	avoidTime     = time.Second
	ticketBatch   = 16
	ticketKeep    = time.Minute
	maxLookup     = 64 << 10
	pause         = 50 * time.Millisecond
	// tryParts is the part of a request's time after which another instance
	// is asked, and tryBody the largest body, in bytes, that is sent again.
	tryParts = 4
	tryBody  = 64 << 10
)

// sending is the course of one request.
type sending struct {
	c      *Client
	req    *Request
	ticket string
	at     string      // the instance that the ticket is of
	ran    request.Ran // what is known so far
	breaks int
	last   Refusal
}

// Do sends a request until it has an answer, a final refusal, or no time left.
func (c *Client) Do(ctx context.Context, req *Request) (*Response, error) {
	timeout := req.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.early.Deposit()
	s := &sending{c: c, req: req, ran: request.RanNo}
	for ctx.Err() == nil {
		res, retry, final := s.try(ctx)
		if res != nil {
			return res, nil
		}
		if final || !sleepWithin(ctx, retry) {
			break
		}
	}
	s.last.Ran = s.ran
	return nil, &s.last
}

// sleepWithin waits, unless the context would end before.
func sleepWithin(ctx context.Context, d time.Duration) bool {
	if limit, ok := ctx.Deadline(); ok && time.Until(limit) < d {
		return false
	}
	return clock.Sleep(ctx, d)
}

// try sends once. Without an answer it says when to try again, or that the
// refusal is final.
func (s *sending) try(ctx context.Context) (res *Response, retry time.Duration, final bool) {
	entry := s.at
	if entry == "" || s.c.avoided(entry) {
		var err error
		if entry, err = s.c.pick(ctx); err != nil {
			s.last.Err = err
			return nil, pause, false
		}
	}
	if s.req.Once && s.ticket == "" {
		t, err := s.c.takeTicket(ctx, entry)
		if err != nil {
			s.c.failed(entry)
			s.last.Err = err
			return nil, pause, false
		}
		s.ticket, s.at = t, entry
	}
	tryCtx, cancel := s.tryContext(ctx)
	defer cancel()
	res, result, err := s.c.send(tryCtx, entry, s.req, s.ticket)
	if err != nil {
		if tryCtx.Err() != nil && ctx.Err() == nil {
			s.c.early.TryWithdraw()
		}
		s.broken(entry, err)
		return nil, s.pause(), false
	}
	if result == nil {
		return res, 0, false
	}
	return s.refused(entry, result)
}

// tryContext bounds one call, so that an instance that is silent does not use
// up all the time. A large body may need the time that it takes; and when many
// calls were given up early, all instances are slow, and asking more of them
// would make it worse.
func (s *sending) tryContext(ctx context.Context) (context.Context, context.CancelFunc) {
	limit, ok := ctx.Deadline()
	if !ok || len(s.req.Body) > tryBody || !s.c.early.Available() {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, max(time.Until(limit)/tryParts, lookupTimeout))
}

// broken takes note of a call that brought nothing. With a ticket the outcome
// can be asked for by way of another instance; without one the request is
// repeatable and is sent again.
func (s *sending) broken(entry string, err error) {
	s.c.failed(entry)
	s.last = Refusal{Err: err}
	s.ran = request.RanUnknown
	s.breaks++
}

// pause is the time before the next try after a broken call: none the first
// time, since another instance is asked.
func (s *sending) pause() time.Duration {
	if s.breaks <= 1 {
		return 0
	}
	return pause
}

// refused takes note of a result.
func (s *sending) refused(entry string, r *request.Result) (*Response, time.Duration, bool) {
	s.last = Refusal{Result: *r}
	if r.Code == request.Leaving {
		s.c.failed(entry)
	}
	if r.Ran != request.RanNo {
		s.ran = request.RanUnknown
		return nil, r.Retry, r.Retry == 0 || s.ticket == ""
	}
	// Not run: the ticket is used up, the next try takes another. But if an
	// earlier call with it may have run, this is not known of that one.
	if s.ticket != "" {
		s.ran = request.RanNo
		s.ticket, s.at = "", ""
	}
	return nil, r.Retry, r.Retry == 0
}

// send makes one call. Exactly one of the three is set.
func (c *Client) send(ctx context.Context, entry string, req *Request, ticket string) (*Response, *request.Result, error) {
	hr, err := http.NewRequestWithContext(ctx, req.Method, "http://"+entry+req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	for k, vs := range req.Header {
		hr.Header[k] = vs
	}
	id := strconv.FormatUint(rand.Uint64(), 36)
	hr.Header.Set(request.HeaderID, id)
	hr.Header.Set(request.HeaderService, req.Service)
	if limit, ok := ctx.Deadline(); ok {
		hr.Header.Set(request.HeaderDeadline, strconv.FormatInt(max(1, time.Until(limit).Milliseconds()), 10))
	}
	if ticket != "" {
		hr.Header.Set(request.HeaderTicket, ticket)
		hr.Header.Set(request.HeaderOnce, "true")
	}
	res, err := c.HTTP.Do(hr)
	if err != nil {
		return nil, nil, errors.Annotatef(err, "send to %s", entry)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, nil, errors.Annotatef(err, "answer of %s", entry)
	}
	if res.Header.Get(request.HeaderID) != id {
		return nil, nil, errors.Errorf("answer of %s is to another request", entry)
	}
	if res.Header.Get(front.HeaderEntry) != "" {
		c.forget()
	}
	if r, ok := request.FromHeader(res.Header); ok {
		return nil, &r, nil
	}
	return &Response{Status: res.StatusCode, Header: res.Header, Body: body}, nil, nil
}
