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
	AtMostOnce bool
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
type RequestError struct {
	request.Result
	Err error // the last failure, if it was not a result
}

// Error describes the refusal.
func (r *RequestError) Error() string {
	if r.Err != nil {
		return fmt.Sprintf("ran: %s: %v", r.Ran, r.Err)
	}
	return r.Result.Error()
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	// Known are addresses of instances to start from.
	Seeds []string
	// Address is the client's own, for the look-up; "" lets the instance see.
	Address string
	// HTTP carries the calls.
	HTTP *http.Client

	lookupSlot    chan struct{} // holds one look-up at a time
	earlyTimeouts retry.Budget  // calls that were given up before the request's time
	mu            sync.Mutex
	entries       []string
	entriesExpire time.Time
	avoidUntil    map[string]time.Time
	tickets       map[string][]ticket
}

type ticket struct {
	text      string
	fetchedAt time.Time
}

// New returns a client that starts from known instances.
func New(known []string) *Client {
	t := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	return &Client{Seeds: known, lookupSlot: make(chan struct{}, 1), HTTP: &http.Client{Transport: t}}
}

const (
	lookupTimeout  = 400 * time.Millisecond
	avoidDuration  = time.Second
	ticketBatch    = 16
	ticketMaxAge   = time.Minute
	maxLookupBytes = 64 << 10
	retryInterval  = 50 * time.Millisecond
	// tryParts is the part of a request's time after which another instance
	// is asked, and tryBody the largest body, in bytes, that is sent again.
	attemptDivisor = 4
	maxRetryBody   = 64 << 10
)

// sending is the course of one request.
type requestState struct {
	c            *Client
	req          *Request
	ticket       string
	ticketIssuer string      // the instance that the ticket is of
	ran          request.Ran // what is known so far
	failures     int
	lastErr      RequestError
}

// Do sends a request until it has an answer, a final refusal, or no time left.
func (c *Client) Do(ctx context.Context, req *Request) (*Response, error) {
	timeout := req.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.earlyTimeouts.Deposit()
	s := &requestState{c: c, req: req, ran: request.RanNo}
	for ctx.Err() == nil {
		res, retry, final := s.attempt(ctx)
		if res != nil {
			return res, nil
		}
		if final || !sleepBeforeDeadline(ctx, retry) {
			break
		}
	}
	s.lastErr.Ran = s.ran
	return nil, &s.lastErr
}

// sleepWithin waits, unless the context would end before.
func sleepBeforeDeadline(ctx context.Context, d time.Duration) bool {
	if limit, ok := ctx.Deadline(); ok && time.Until(limit) < d {
		return false
	}
	return clock.Sleep(ctx, d)
}

// try sends once. Without an answer it says when to try again, or that the
// refusal is final.
func (s *requestState) attempt(ctx context.Context) (res *Response, retry time.Duration, final bool) {
	entry := s.ticketIssuer
	if entry == "" || s.c.isAvoided(entry) {
		var err error
		if entry, err = s.c.pickInstance(ctx); err != nil {
			s.lastErr.Err = err
			return nil, retryInterval, false
		}
	}
	if s.req.AtMostOnce && s.ticket == "" {
		t, err := s.c.takeTicket(ctx, entry)
		if err != nil {
			s.c.markFailed(entry)
			s.lastErr.Err = err
			return nil, retryInterval, false
		}
		s.ticket, s.ticketIssuer = t, entry
	}
	tryCtx, cancel := s.attemptContext(ctx)
	defer cancel()
	res, result, err := s.c.send(tryCtx, entry, s.req, s.ticket)
	if err != nil {
		if tryCtx.Err() != nil && ctx.Err() == nil {
			s.c.earlyTimeouts.TryWithdraw()
		}
		s.recordFailure(entry, err)
		return nil, s.retryDelay(), false
	}
	if result == nil {
		return res, 0, false
	}
	return s.handleResult(entry, result)
}

// tryContext bounds one call, so that an instance that is silent does not use
// up all the time. A large body may need the time that it takes; and when many
// calls were given up early, all instances are slow, and asking more of them
// would make it worse.
func (s *requestState) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	limit, ok := ctx.Deadline()
	if !ok || len(s.req.Body) > maxRetryBody || !s.c.earlyTimeouts.Available() {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, max(time.Until(limit)/attemptDivisor, lookupTimeout))
}

// broken takes note of a call that brought nothing. With a ticket the outcome
// can be asked for by way of another instance; without one the request is
// repeatable and is sent again.
func (s *requestState) recordFailure(entry string, err error) {
	s.c.markFailed(entry)
	s.lastErr = RequestError{Err: err}
	s.ran = request.RanUnknown
	s.failures++
}

// pause is the time before the next try after a broken call: none the first
// time, since another instance is asked.
func (s *requestState) retryDelay() time.Duration {
	if s.failures <= 1 {
		return 0
	}
	return retryInterval
}

// refused takes note of a result.
func (s *requestState) handleResult(entry string, r *request.Result) (*Response, time.Duration, bool) {
	s.lastErr = RequestError{Result: *r}
	if r.Code == request.Leaving {
		s.c.markFailed(entry)
	}
	if r.Ran != request.RanNo {
		s.ran = request.RanUnknown
		return nil, r.Retry, r.Retry == 0 || s.ticket == ""
	}
	// Not run: the ticket is used up, the next try takes another. But if an
	// earlier call with it may have run, this is not known of that one.
	if s.ticket != "" {
		s.ran = request.RanNo
		s.ticket, s.ticketIssuer = "", ""
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
		c.expireLookup()
	}
	if r, ok := request.FromHeader(res.Header); ok {
		return nil, &r, nil
	}
	return &Response{Status: res.StatusCode, Header: res.Header, Body: body}, nil, nil
}
