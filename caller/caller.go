// SPDX-License-Identifier: MIT

package caller

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"shalewick/clock"
	"shalewick/conn"
	"shalewick/process/front"
	"shalewick/request"
	"shalewick/retry"
)

// Request describes a request to a service.
type Request struct {
	Service string
	Method  string
	Path    string // including the query
	Header  http.Header
	Body    []byte
	// AtMostOnce marks a request that must not be run more than once.
	AtMostOnce bool
	// Timeout limits the request including all retries; zero means DefaultTimeout.
	Timeout time.Duration
}

// DefaultTimeout applies to requests without a Timeout.
const DefaultTimeout = 10 * time.Second

// Response is the complete response of a backend server.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// RequestError is returned for a request without a complete response.
type RequestError struct {
	request.Result
	Err error // last failure, unless an instance returned a Result
}

// Error describes the last failure, and whether the request ran.
func (r *RequestError) Error() string {
	if r.Err != nil {
		return fmt.Sprintf("ran: %s: %v", r.Ran, r.Err)
	}
	return r.Result.Error()
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	// Seeds are the addresses of the instances used for the first lookup.
	Seeds []string
	// Address is the client's own address, sent with lookups; if it is "", the
	// instance uses the remote address of the connection.
	Address string
	HTTP    *http.Client
	// MaxBody is the maximum size of the body of a response in bytes; zero means DefaultMaxBody. A larger one counts as lost.
	MaxBody int

	lookupSlot    chan struct{} // semaphore that admits one lookup at a time
	earlyTimeouts retry.Budget  // budget of attempts cancelled before the deadline of their request
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

// New returns a client that finds instances through the seeds.
func New(seeds []string) *Client {
	t := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes}
	return &Client{Seeds: seeds, lookupSlot: make(chan struct{}, 1), HTTP: &http.Client{Transport: conn.Strict(t)}}
}

// DefaultMaxBody is the default of Client.MaxBody.
const DefaultMaxBody = 64 << 20

const (
	lookupTimeout  = 400 * time.Millisecond
	avoidDuration  = time.Second
	ticketBatch    = 16
	ticketMaxAge   = time.Minute
	maxLookupBytes = 64 << 10
	retryInterval  = 50 * time.Millisecond
	// maxHeadBytes is the maximum size of the head of a response: what an instance accepts from a backend server, and
	// as much again for what the instance adds.
	maxHeadBytes = 2 * conn.MaxHeadBytes
	// An attempt gets the remaining time of its request divided by
	// attemptDivisor, unless the body is larger than maxRetryBody, in bytes.
	attemptDivisor = 4
	maxRetryBody   = 64 << 10
)

// requestState is the state of one request across its attempts.
type requestState struct {
	c            *Client
	req          *Request
	ticket       string
	ticketIssuer string      // the instance that issued the ticket
	ran          request.Ran // whether an earlier attempt may have run
	failures     int
	lastErr      RequestError
}

// Do sends a request, and retries it until it gets a response, a final
// rejection, or runs out of time.
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
		res, delay, final := s.attempt(ctx)
		if res != nil {
			return res, nil
		}
		if final || !sleepBeforeDeadline(ctx, delay) {
			break
		}
	}
	s.lastErr.Ran = s.ran
	return nil, &s.lastErr
}

// sleepBeforeDeadline waits for d. It returns false at once if the context's
// deadline comes earlier.
func sleepBeforeDeadline(ctx context.Context, d time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < d {
		return false
	}
	return clock.Sleep(ctx, d)
}

// attempt sends the request once. Without a response it returns the delay
// before the next attempt, or that the rejection is final.
func (s *requestState) attempt(ctx context.Context) (res *Response, delay time.Duration, final bool) {
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
	attemptCtx, cancel := s.attemptContext(ctx)
	defer cancel()
	res, result, err := s.c.send(attemptCtx, entry, s.req, s.ticket)
	if err != nil {
		if attemptCtx.Err() != nil && ctx.Err() == nil {
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

// attemptContext limits one attempt, so that an unresponsive instance does not
// use up the whole time of the request. Large bodies are exempt, since sending
// them may take long. So are all requests once many attempts have timed out
// early: then all instances are slow, and retries would add to the overload.
func (s *requestState) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok || len(s.req.Body) > maxRetryBody || !s.c.earlyTimeouts.Available() {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, max(time.Until(deadline)/attemptDivisor, lookupTimeout))
}

// recordFailure records an attempt without any result. With a ticket, the next
// attempt queries the outcome through another instance; without one, the
// request is repeatable and is sent again.
func (s *requestState) recordFailure(entry string, err error) {
	s.c.markFailed(entry)
	s.lastErr = RequestError{Err: err}
	s.ran = request.RanUnknown
	s.failures++
}

// retryDelay returns the delay before the next attempt after a failure: zero
// after the first one, since the next attempt uses another instance.
func (s *requestState) retryDelay() time.Duration {
	if s.failures <= 1 {
		return 0
	}
	return retryInterval
}

// handleResult records a result, and returns when to retry and whether the
// result is final.
func (s *requestState) handleResult(entry string, r *request.Result) (*Response, time.Duration, bool) {
	s.lastErr = RequestError{Result: *r}
	if r.Code == request.Leaving {
		s.c.markFailed(entry)
	}
	if r.Ran != request.RanNo {
		s.ran = request.RanUnknown
		return nil, r.Retry, r.Retry == 0 || s.ticket == ""
	}
	// Not run: the ticket is used up, and the next attempt takes another. This
	// holds for earlier attempts with the same ticket too. Without a ticket, an
	// earlier attempt may still have run.
	if s.ticket != "" {
		s.ran = request.RanNo
		s.ticket, s.ticketIssuer = "", ""
	}
	return nil, r.Retry, r.Retry == 0
}

// send makes one attempt. Exactly one of the three return values is set.
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
	if deadline, ok := ctx.Deadline(); ok {
		hr.Header.Set(request.HeaderDeadline, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
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
	body, err := conn.ReadBody(res, cmp.Or(c.MaxBody, DefaultMaxBody))
	if err != nil {
		return nil, nil, errors.Annotatef(err, "read response of %s", entry)
	}
	if res.Header.Get(request.HeaderID) != id {
		return nil, nil, errors.Errorf("%s sent the response to another request", entry)
	}
	if res.Header.Get(front.HeaderEntry) != "" {
		c.expireLookup()
	}
	if r, ok := request.FromHeader(res.Header); ok {
		return nil, &r, nil
	}
	return &Response{Status: res.StatusCode, Header: res.Header, Body: body}, nil, nil
}
