// SPDX-License-Identifier: MIT

package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"shalewick/conn"
	"shalewick/process/balance"
	"shalewick/process/forward"
	"shalewick/process/metric"
	"shalewick/request"
)

// Headers of forwarded requests and of the responses to them. They are removed from callers' requests.
const (
	// headerForwardedBy names the instance that forwards a request.
	headerForwardedBy = "Shalewick-Forwarded-By"
	// headerForwardedService names the service that it chose among those of the route.
	headerForwardedService = "Shalewick-Forwarded-Service"
	// headerForwardedAttempts is in a request the number of attempts that may be made, and in a
	// response that of the attempts that were made.
	headerForwardedAttempts = "Shalewick-Forwarded-Attempts"
	// headerForwardedEnd says how a forwarded request ended: forwardedAnswered, or the value of Ran
	// in a result.
	headerForwardedEnd = "Shalewick-Forwarded-End"

	forwardedAnswered = "answered"
)

// IsForwarded reports whether a request was forwarded by another instance. Only requests at the
// address for other instances can have been.
func IsForwarded(r *http.Request) bool { return r.Header.Get(headerForwardedBy) != "" }

// forwardedCall is what the forwarding instance decided about a request.
type forwardedCall struct {
	by       string
	service  string
	attempts int  // that may be made
	trusted  bool // it was forwarded by an instance
}

func parseForwarded(h http.Header) *forwardedCall {
	attempts, err := strconv.Atoi(h.Get(headerForwardedAttempts))
	if err != nil {
		attempts = 1
	}
	return &forwardedCall{by: h.Get(headerForwardedBy), service: h.Get(headerForwardedService), attempts: attempts}
}

// removeForwardedHeaders removes the headers that only instances set.
func removeForwardedHeaders(h http.Header) {
	for _, name := range []string{headerForwardedBy, headerForwardedService, headerForwardedAttempts, headerForwardedEnd} {
		h.Del(name)
	}
}

// ServeForwarded serves a request that another instance forwards.
func (p *Proxy) ServeForwarded(w http.ResponseWriter, r *http.Request) {
	c := &call{w: w, r: r, forwarded: parseForwarded(r.Header)}
	c.forwarded.trusted = !p.CallersReachPeers
	switch {
	case p.keepAlivesDisabled.Load():
		p.rejectForwarded(c, request.Leaving)
	case p.Table.Links() != balance.LinksUp, p.Table.ForwardsAll():
		p.rejectForwarded(c, request.NoBackend)
	default:
		p.serveAndDrain(c)
	}
}

// rejectForwarded rejects a forwarded request that this instance can't serve, like all others.
func (p *Proxy) rejectForwarded(c *call, code request.Code) {
	c.id, c.service, c.startedAt = c.r.Header.Get(p.Names.ID), c.forwarded.service, time.Now()
	c.w.Header().Set(p.Names.ID, c.id)
	if p.keepAlivesDisabled.Load() {
		c.w.Header().Set("Connection", "close")
	}
	p.writeResult(c, notRun(code, minRetryAfter))
}

// setForwardedHeaders tells the instance that forwarded the request how it ended.
func (c *call) setForwardedHeaders(end string) {
	if c.forwarded == nil {
		return
	}
	c.w.Header().Set(headerForwardedEnd, end)
	c.w.Header().Set(headerForwardedAttempts, strconv.Itoa(c.attempts))
}

// addForwardedBy adds the instance that forwarded the request to a log line.
func (c *call) addForwardedBy(e *zerolog.Event) {
	if c.forwarded != nil {
		e.Str("from", c.forwarded.by)
	}
}

// maxAttempts returns how many attempts may be made.
func (c *call) maxAttempts() int {
	if c.forwarded != nil {
		return min(c.route.Attempts, c.forwarded.attempts)
	}
	return c.route.Attempts
}

// choosePart returns the index of the part of the route's split that the request goes to. It was
// chosen before if the request was forwarded, unless the configurations differ.
func (p *Proxy) choosePart(c *call) int {
	if c.forwarded != nil && c.forwarded.trusted {
		for i := range c.route.Split {
			if c.route.Split[i].Service == c.forwarded.service {
				return i
			}
		}
	}
	return p.Table.Split(c.route)
}

// Reasons why a request is forwarded.
const (
	reasonLinks     = "links"     // this instance reaches no backend server
	reasonSuspended = "suspended" // it reaches none that may get the request
)

// hopMargin is how much earlier than the request's deadline the other instance must respond: a round
// trip between regions. One that does not is unresponsive.
const hopMargin = 80 * time.Millisecond

// maxForwardTries bounds the instances that a request is forwarded to, one after the other.
const maxForwardTries = 3

// forwardQuery returns the query for the instance that a request is forwarded to.
func (c *call) forwardQuery() *forward.Query {
	q := &forward.Query{Service: c.service, Tried: c.forwardedTo}
	if c.route.Home != nil {
		q.Allowed = c.inHomes
	}
	return q
}

// inHomes reports whether a region is among the home regions of the request.
func (c *call) inHomes(region string) bool {
	i := c.routing.Region(region)
	return i >= 0 && int(i) < len(c.route.Home) && c.route.Home[i]
}

// canForward reports whether the request may be forwarded, and there is an instance to forward it to.
func (p *Proxy) canForward(c *call) bool {
	return p.Forward != nil && c.forwarded == nil && len(c.forwardedTo) < maxForwardTries && p.Forward.Available(c.forwardQuery())
}

// reachesNone reports whether failures are the reason why there is no backend server for a request.
func reachesNone(r *balance.Refusal) bool {
	return r.Code == request.NoBackend && (r.Explanation.Suspended > 0 || r.Explanation.LinksDown)
}

// forward forwards the request to another instance, and to a further one if that can't serve it. It
// returns neither a response nor a result if there is none that can.
func (t *transaction) forward(ctx context.Context, reason string) (*response, *request.Result) {
	for !t.c.tracked.Ended() && t.c.body.Reclaim() && t.p.canForward(t.c) {
		target := t.p.Forward.Pick(t.c.forwardQuery())
		if target == nil {
			break // another request has taken the trial of a target
		}
		t.c.forwardedTo = append(t.c.forwardedTo, target.Name)
		resp, res, declined := t.forwardTo(ctx, target, reason)
		if !declined || !t.c.body.Reclaim() {
			return resp, res
		}
	}
	return nil, nil
}

// forwardTo forwards the request to an instance. Declined reports whether it has not run, and another
// instance may serve it.
func (t *transaction) forwardTo(ctx context.Context, target *forward.Pick, reason string) (resp *response, res *request.Result, declined bool) {
	sent := time.Now()
	granted := max(1, t.c.maxAttempts()-t.c.attempts-1)
	t.c.tracked.BeginAttempt()
	ex, err := target.Pool.Dispatch(ctx, t.newForwardedRequest(ctx, granted), conn.Options{
		Deadline: time.Now().Add(t.c.timeLeft()), CloseImmediately: true,
		Allowed: func() bool { return t.c.timeLeft() > 0 && !t.c.tracked.Ended() && t.c.tracked.SetSent() }, Release: func(bool) {},
	})
	if err == nil {
		resp, res, declined, err = t.readForwarded(ex, target, granted)
	}
	if err != nil {
		res, declined = t.forwardFailed(ctx, target, err, granted)
	}
	t.logForwarded(target, reason, resp, res, err, time.Since(sent))
	return resp, res, declined
}

// newForwardedRequest builds the request to another instance. Unlike a backend server, that gets the
// caller's key.
func (t *transaction) newForwardedRequest(ctx context.Context, attempts int) *http.Request {
	out := t.newOutgoing(ctx)
	h := out.Header
	h.Del(t.p.Names.Target)
	h.Set(headerForwardedBy, t.p.Forward.Self)
	h.Set(headerForwardedService, t.c.service)
	h.Set(headerForwardedAttempts, strconv.Itoa(attempts))
	left := t.c.timeLeft()
	h.Set(t.p.Names.Deadline, strconv.FormatInt(max(1, (left-min(hopMargin, left/2)).Milliseconds()), 10))
	return out
}

// readForwarded reads the response of another instance. An error means that the connection broke.
func (t *transaction) readForwarded(ex *conn.Exchange, target *forward.Pick, granted int) (resp *response, res *request.Result, declined bool, err error) {
	h := ex.Response.Header
	end := h.Get(headerForwardedEnd)
	if end == "" && h.Get(t.p.Names.ID) == "" && ex.Response.StatusCode == http.StatusNotFound {
		t.c.body.CloseExchange(ex)
		target.Done(forward.Declined) // it runs an earlier release
		return nil, t.result(request.ConnectFailed, minRetryAfter), true, nil
	}
	if h.Get(t.p.Names.ID) != t.c.id || end == "" || conn.RepeatedHeader(h, t.p.Names.ID, headerForwardedEnd, request.HeaderResult) != "" {
		ex.Response.Close = true
		t.c.body.CloseExchange(ex)
		return nil, nil, false, errors.New("the response is not to this request")
	}
	used, err := strconv.Atoi(h.Get(headerForwardedAttempts))
	if err != nil {
		used = granted
	}
	if end == forwardedAnswered {
		resp, err = t.c.bufferResponse(ex)
		if err != nil {
			return nil, nil, false, err
		}
		removeForwardedHeaders(h)
		resp.forwarded = target
		t.c.attempts += used
		t.c.possibleRuns++
		if resp.ex == nil {
			target.Done(forward.Served)
		}
		return resp, nil, false, nil
	}
	result, known := request.FromHeader(h)
	retryAfter := t.p.Names.Notice(ex.Response.StatusCode, h).RetryAfter
	_, _ = io.CopyN(io.Discard, ex.Response.Body, maxBufferedResponse) // lets the connection be reused
	t.c.body.CloseExchange(ex)
	if !known {
		return nil, nil, false, errors.New("the result can't be read")
	}
	t.c.attempts += used
	if end != string(request.RanNo) {
		t.mayHaveRun = true
		t.c.possibleRuns++
		target.Done(forward.Served)
		return nil, t.result(result.Code, 0), false, nil
	}
	if declinedBy(result.Code) {
		target.Done(forward.Declined)
		return nil, t.result(result.Code, max(retryAfter, minRetryAfter)), true, nil
	}
	target.Done(forward.Served)
	return nil, t.result(result.Code, retryAfter), false, nil
}

// declinedBy reports whether another instance may serve a request that one rejects with the code.
func declinedBy(code request.Code) bool {
	switch code {
	case request.NoBackend, request.ConnectFailed, request.MemoryFull, request.NoVersion, request.Unconfirmed, request.Leaving,
		request.UnknownRoute, request.KeyMissing, request.KeyUnknown, request.KeyUnconfirmed:
		return true
	}
	return false
}

// forwardFailed handles a request to another instance that got no complete response.
func (t *transaction) forwardFailed(ctx context.Context, target *forward.Pick, err error, granted int) (res *request.Result, declined bool) {
	var dispatchErr *conn.DispatchError
	sent := !errors.As(err, &dispatchErr) || dispatchErr.Sent
	if sent {
		t.c.attempts += granted
		t.mayHaveRun = true
		t.c.possibleRuns++
	}
	if code, abandoned := t.c.abandoned(); abandoned {
		target.Done(forward.Abandoned)
		return t.result(code, 0), false
	}
	if errors.Is(err, conn.ErrNotAllowed) {
		target.Done(forward.Abandoned)
		return t.result(request.DeadlinePassed, 0), false
	}
	if !sent {
		target.Done(forward.Unreachable)
		return t.result(request.ConnectFailed, minRetryAfter), true
	}
	target.Done(forward.Unreachable)
	var netErr net.Error
	if ctx.Err() != nil || errors.As(err, &netErr) && netErr.Timeout() {
		return t.result(request.DeadlinePassed, 0), false
	}
	return t.result(request.AnswerLost, 0), false
}

// logForwarded counts and logs a request that was forwarded.
func (t *transaction) logForwarded(target *forward.Pick, reason string, resp *response, res *request.Result, err error, took time.Duration) {
	e := t.p.Log.Info().Str("id", t.c.id).Str("service", t.c.service).Str("to", target.Name).Str("reason", reason).
		Int("attempts", t.c.attempts).Dur("took", took)
	end := metric.ForwardedServed
	if resp != nil {
		e.Int("status", resp.res.StatusCode)
	} else {
		e.Int("code", int(res.Code)).Str("result", res.Code.Info().Name).Str("ran", string(res.Ran))
		end = metric.ForwardedFailed
		if res.Ran == request.RanNo {
			end = metric.ForwardedRejected
		}
	}
	if err != nil {
		e.Err(err).EmbedObject(t.p.Metrics.BadHead(t.c.service, err))
	}
	e.Msg("forwarded")
	t.p.Metrics.Forwarded(t.c.service, reason, end, took)
}
