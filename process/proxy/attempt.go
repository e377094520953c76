// SPDX-License-Identifier: MIT

package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"shalewick/conn"
	"shalewick/process/balance"
	"shalewick/process/forward"
	"shalewick/process/held"
	"shalewick/process/rollout"
	"shalewick/request"
)

// response is a backend server's response. It is either fully buffered, or its beginning is
// buffered and the remainder is still to be read from the exchange.
type response struct {
	pick       *balance.Pick // nil if the request was forwarded
	forwarded  *forward.Pick // nil if it was not
	fromTarget bool          // the backend server runs the target version of a rollout
	notice     request.Notice
	rateLimit  float64 // the rate limit that the backend server reports, in requests a second; zero if it reports none
	res        *http.Response
	buffered   []byte
	ex         *conn.Exchange // nil if the whole response is buffered
}

// close ends a response that was not fully buffered. Its exchange has been closed.
func (r *response) close() {
	if r.forwarded != nil {
		r.forwarded.Done(forward.Served)
		return
	}
	r.pick.Release()
}

// sender returns the name of the backend server, or of the instance that the request was forwarded to.
func (r *response) sender() string {
	if r.forwarded != nil {
		return r.forwarded.Name
	}
	return r.pick.Name
}

// transaction runs the attempts of one request.
type transaction struct {
	p     *Proxy
	c     *call
	query balance.Query
	// mayHaveRun is set once a byte was sent to a backend server that did not reply that it has not
	// run the request.
	mayHaveRun bool
	// rolloutAttempt is the current attempt as the rollout controller tracks it.
	rolloutAttempt rolloutAttempt
	attempted      bool // at least one attempt has begun
	// permitFrom is the time from which the permit of the current attempt is valid; zero if it has
	// none. SentAt is the earliest time at which the attempt was sent. Both are readings of the
	// proxy's clock.
	permitFrom, sentAt time.Duration
	// givenUp is set if the last attempt was given up since the links of this instance had failed. The
	// retry budget has granted another one.
	givenUp bool
	// targetDeclined is set if the target of a rollout could not take the request.
	targetDeclined bool
}

// run makes attempts until one gets a response or no further one is safe.
func (p *Proxy) run(ctx context.Context, c *call) (*response, *request.Result) {
	t := &transaction{p: p, c: c, query: *p.newQuery(c)}
	if c.forwarded == nil {
		p.RetryBudget.RecordRequest(c.service, p.Now())
	}
	resp, res := t.runAttempts(ctx)
	if resp != nil && resp.pick != nil {
		t.logResponse(resp)
	}
	return resp, res
}

// runAttempts makes the attempts.
func (t *transaction) runAttempts(ctx context.Context) (*response, *request.Result) {
	resp, res := t.attempt(ctx)
	if resp != nil {
		return t.retryTargetFailure(ctx, resp), nil
	}
	for t.shouldRetry(ctx, res) {
		t.logRetry(func(e *zerolog.Event) { e.Int("code", int(res.Code)).Str("result", res.Code.Info().Name) })
		resp, next := t.attempt(ctx)
		if resp != nil {
			return resp, nil
		}
		if next.Code.NoCapacity() {
			return nil, res // the result of the previous attempt is more specific
		}
		res = next
	}
	if res.Code == request.ConnectFailed && !t.mayHaveRun && ctx.Err() == nil {
		if resp, forwarded := t.forward(ctx, reasonSuspended); resp != nil || forwarded != nil {
			return resp, forwarded
		}
	}
	return nil, res
}

// logRetry counts and logs a retry. The cause adds fields on what ended the previous attempt.
func (t *transaction) logRetry(cause func(*zerolog.Event)) {
	t.p.Metrics.Retry(t.c.service)
	t.p.Log.Info().Str("id", t.c.id).Str("service", t.c.service).Str("request", t.c.fingerprint.String()).Strs("tried", t.query.Tried).Func(cause).
		Dur("took", time.Since(t.c.startedAt)).Msg("tried-again")
}

// shouldRetry reports whether a further attempt is safe, permitted, and may succeed.
func (t *transaction) shouldRetry(ctx context.Context, res *request.Result) bool {
	if res.Code.NoCapacity() || res.Code == request.TooLarge || res.Code == request.CallerGone {
		return false
	}
	return t.retryAllowed(ctx)
}

// retryAllowed reports whether a further attempt is safe and within the limits of the route. It
// takes the attempt from the retry budget.
func (t *transaction) retryAllowed(ctx context.Context) bool {
	if ctx.Err() != nil || t.c.timeLeft() < minAttemptTime {
		return false
	}
	if t.mayHaveRun && !t.c.route.Repeatable || !t.c.body.Reclaim() {
		return false
	}
	if t.p.isQuarantined(t.c) {
		return false // the request was quarantined in the meantime
	}
	if len(t.query.Tried) >= maxBackendsTried || t.c.attempts >= t.c.maxAttempts() {
		return false
	}
	if t.givenUp {
		t.givenUp = false
		return true
	}
	return t.c.attempts == 0 || t.p.RetryBudget.TryRetry(t.c.service, t.p.Now())
}

const (
	// minAttemptTime is the minimum remaining time for which another attempt is made.
	minAttemptTime = 30 * time.Millisecond
	// maxBackendsTried bounds the backend servers that are tried for one request, including those
	// to which no connection could be opened.
	maxBackendsTried = 4
	// minRetryAfter is the Retry-After time of requests that a backend server refused or could not be
	// reached for, and of requests to an instance whose configuration is not confirmed.
	minRetryAfter = 150 * time.Millisecond
)

// attempt makes one attempt, at another instance if this one reaches no backend server.
func (t *transaction) attempt(ctx context.Context) (*response, *request.Result) {
	if t.c.tracked.Ended() {
		return nil, t.result(request.Leaving, minRetryAfter)
	}
	if links := t.p.Table.Links(); links != balance.LinksUp {
		if resp, res := t.forward(ctx, reasonLinks); resp != nil || res != nil {
			return resp, res
		}
		if links == balance.LinksDown {
			refusal := t.p.Table.RefuseUnreachable()
			t.c.noBackendReason = &refusal.Explanation
			return nil, t.result(refusal.Code, refusal.RetryAfter)
		}
	}
	t.query.Left = t.c.timeLeft()
	t.query.Elapsed = time.Since(t.c.startedAt)
	t.beginAttempt()
	pick, refusal := t.pickWithPermit(ctx)
	if pick == nil {
		t.rolloutAttempt.Done(rollout.Outcome{Inconclusive: true})
		if reachesNone(&refusal) {
			if resp, res := t.forward(ctx, reasonSuspended); resp != nil || res != nil {
				return resp, res
			}
		}
		t.c.noBackendReason = &refusal.Explanation
		return nil, t.result(refusal.Code, refusal.RetryAfter)
	}
	t.query.Tried = append(t.query.Tried, pick.Name)
	sent := time.Now()
	t.sentAt = t.p.Now()
	t.c.tracked.BeginAttempt()
	awaitCtx := t.awaitResponse(ctx)
	ex, err := pick.Pool.Dispatch(awaitCtx, t.newRequest(awaitCtx, pick), conn.Options{
		Deadline: time.Now().Add(t.query.Left), CloseImmediately: true,
		Allowed: func() bool {
			return t.c.timeLeft() > 0 && pick.Allowed() && t.permitValid(pick) && !t.c.tracked.Ended() && t.c.tracked.SetSent()
		}, Release: func(bool) {},
	})
	if err != nil {
		return nil, t.dispatchFailed(ctx, pick, err, sent)
	}
	t.c.attempts++
	return t.readResponse(ctx, ex, pick, sent)
}

// readResponse reads the response to an attempt that was sent at the given time.
func (t *transaction) readResponse(ctx context.Context, ex *conn.Exchange, pick *balance.Pick, sent time.Time) (*response, *request.Result) {
	names := &t.p.Names
	if err := t.awaitOwnResponse(ex); err != nil {
		ex.Response.Close = true
		t.c.body.CloseExchange(ex)
		return nil, t.exchangeLost(ctx, pick, err, sent)
	}
	header := ex.Response.Header
	notice := t.applyNotice(ex.Response, pick)
	limit := t.applyRateLimit(ex.Response, pick)
	if header.Get(names.NotRun) != "" || ex.Response.StatusCode == http.StatusMisdirectedRequest {
		return nil, t.backendRefused(ex, pick, notice, limit)
	}
	headerTime := time.Since(sent)
	resp, err := t.c.bufferResponse(ex)
	if err == nil && t.endAwait() && resp.ex != nil {
		t.c.body.CloseExchange(ex) // the remainder can't be read any more
		err = errGivenUp
	}
	if err != nil {
		return nil, t.exchangeLost(ctx, pick, err, sent)
	}
	resp.pick, resp.fromTarget, resp.notice, resp.rateLimit = pick, t.query.Target != "", notice, limit
	t.c.possibleRuns++
	took := time.Since(sent)
	if resp.ex != nil {
		pick.Hold()
		took = headerTime
	}
	pick.Done(balance.Answered, t.loadReport(header, pick))
	t.reportResponse(resp, took)
	if t.p.Quarantine != nil {
		t.p.Quarantine.RecordResponse(t.c.fingerprint)
	}
	if t.p.OnResponse != nil {
		t.p.OnResponse(pick.Name, header, time.Since(sent))
	}
	return resp, nil
}

// awaitOwnResponse skips responses that belong to other requests. On error the connection can't be used any more, and
// whether the request has run is not known, whatever the skipped responses say.
func (t *transaction) awaitOwnResponse(ex *conn.Exchange) error {
	names := &t.p.Names
	for skipped := 0; ; skipped++ {
		header := ex.Response.Header
		if name := conn.RepeatedHeader(header, names.ID, names.Seal, names.NotRun, names.Load); name != "" {
			return errors.Annotatef(conn.ErrMerged, "header %s is repeated", name)
		}
		switch header.Get(names.ID) {
		case t.c.id:
			return nil
		case "": // not a surplus response of a backend server, so that no other follows
			return errors.New("a response without a request id")
		}
		if skipped == maxMismatchedResponses {
			return errors.New("responses to other requests")
		}
		if err := ex.SkipResponse(t.c.r); err != nil {
			return err
		}
	}
}

// logResponse logs a response that is relayed to the caller.
func (t *transaction) logResponse(resp *response) {
	names, pick := &t.p.Names, resp.pick
	took := time.Since(t.c.startedAt)
	t.p.Log.Info().Str("id", t.c.id).Str("object", t.c.r.Header.Get(names.Affinity)).Str("service", t.c.service).
		Str("class", t.c.route.Class.String()).Str("workspace", t.c.workspaceName()).Bool("late", took > time.Duration(t.c.route.Objective)).
		Str("backend", pick.Name).Str("software", pick.Software).Bool("target", resp.fromTarget).Bool("declined", t.targetDeclined).Int("rank", pick.Rank).Bool("lastResort", pick.LastResort).Bool("unseen", pick.Unseen).Dur("wait", pick.Wait).Str("load", resp.res.Header.Get(names.Load)).
		Bool("leaving", resp.notice.Leaving).Dur("retryAfter", resp.notice.RetryAfter).Float64("limit", resp.rateLimit).Int("status", resp.res.StatusCode).Int64("version", t.c.version).Int("attempts", t.c.attempts).
		Func(t.c.addForwardedBy).Dur("took", took).Msg("answered")
}

// maxMismatchedResponses bounds how many responses that carry another request's id are skipped.
const maxMismatchedResponses = 2

// applyNotice applies what a response says about its backend server, before the response is
// relayed. A misdirected request (421) was answered by a different server than the one that was
// picked, so its notice is ignored.
func (t *transaction) applyNotice(res *http.Response, pick *balance.Pick) request.Notice {
	if res.StatusCode == http.StatusMisdirectedRequest {
		return request.Notice{}
	}
	n := t.p.Names.Notice(res.StatusCode, res.Header)
	t.p.Metrics.Notice(t.c.service, n)
	t.c.notices.Leaving = t.c.notices.Leaving || n.Leaving
	t.c.notices.RetryAfter = max(t.c.notices.RetryAfter, n.RetryAfter)
	pick.ApplyNotice(n)
	return n
}

// backendRefused handles a response that says that the backend server did not run the request.
func (t *transaction) backendRefused(ex *conn.Exchange, pick *balance.Pick, notice request.Notice, limit float64) *request.Result {
	t.endAwait()
	misdirected := ex.Response.StatusCode == http.StatusMisdirectedRequest
	_, _ = io.CopyN(io.Discard, ex.Response.Body, maxBufferedResponse) // lets the connection be reused
	report := t.loadReport(ex.Response.Header, pick)
	t.c.body.CloseExchange(ex)
	pick.Done(balance.Refused, report)
	t.reportOutcome(pick, rollout.Outcome{Failed: misdirected, Inconclusive: !misdirected})
	t.logLine(pick).Int("status", ex.Response.StatusCode).Bool("leaving", notice.Leaving).Dur("retryAfter", notice.RetryAfter).Float64("limit", limit).
		Str("load", ex.Response.Header.Get(t.p.Names.Load)).Msg("backend-refused")
	if misdirected {
		pick.RecordMisdirected()
		pick.Pool.CloseIdle()
	}
	return t.result(request.BackendRefused, minRetryAfter)
}

// bufferResponse buffers a response, in full unless it is large or memory is short.
func (c *call) bufferResponse(ex *conn.Exchange) (*response, error) {
	resp := &response{res: ex.Response, ex: ex}
	var err error
	whole := false
	resp.buffered, whole, err = held.Read(c.lease, held.Responses, ex.Response.Body, ex.Response.ContentLength, maxBufferedResponse)
	if err != nil {
		c.body.CloseExchange(ex)
		return nil, err
	}
	if whole {
		resp.ex = nil
		c.body.CloseExchange(ex)
	}
	return resp, nil
}

// loadReport parses the load report in a response's headers.
func (t *transaction) loadReport(h http.Header, pick *balance.Pick) *balance.Report {
	r, err := balance.ParseReport(h.Get(t.p.Names.Load))
	if err != nil {
		t.p.Metrics.InvalidLoadReport(t.c.service)
		t.logLine(pick).Err(err).Msg("load-report-skipped")
	}
	return r
}
