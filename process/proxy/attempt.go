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
	"shalewick/process/held"
	"shalewick/process/rollout"
	"shalewick/request"
)

// answer is a backend server's answer. Either whole has all of the body, or its beginning,
// and the rest is still to be read from the exchange.
type response struct {
	pick       *balance.Pick
	fromTarget bool // it was chosen among a roll-out's target
	notice     request.Notice
	rateLimit  float64 // the rate limit that it names, in requests a second; zero: none
	res        *http.Response
	buffered   []byte
	ex         *conn.Exchange // nil when whole has all
}

// close ends the exchange of an answer whose rest was still to be read.
func (a *response) close() {
	a.ex.Close()
	a.pick.Release()
}

// trial is the course of the attempts at one request.
type transaction struct {
	p     *Proxy
	c     *call
	query balance.Query
	// mayHaveRun is set once a byte has left for a backend server that has not said
	// that it did not run the request.
	mayHaveRun bool
	// rolled is the present attempt as roll-outs see it.
	rolloutAttempt rolloutAttempt
	attempted      bool // an attempt has begun
	// permit is as of when a permit for the present attempt holds; zero: it has none. SentAt is
	// when the attempt was sent at the earliest, by the proxy's clock.
	permitFrom, sentAt time.Duration
	// declined is set if a roll-out's target could not take the request.
	targetDeclined bool
}

// run makes attempts until one has an answer or no further one is safe.
func (p *Proxy) run(ctx context.Context, c *call) (*response, *request.Result) {
	part := p.Table.Split(c.route)
	c.service = c.route.Split[part].Service
	t := &transaction{p: p, c: c, query: balance.Query{Route: c.route, Part: part, Priority: c.priority(), Object: p.objectHash(c)}}
	p.RetryBudget.Request(c.service, p.Now())
	a, res := t.runAttempts(ctx)
	if a != nil {
		t.logResponse(a)
	}
	return a, res
}

// untilAnswered makes the attempts.
func (t *transaction) runAttempts(ctx context.Context) (*response, *request.Result) {
	a, res := t.attempt(ctx)
	if a != nil {
		return t.retryTargetFailure(ctx, a), nil
	}
	for t.shouldRetry(ctx, res) {
		t.logRetry(func(e *zerolog.Event) { e.Int("code", int(res.Code)).Str("result", res.Code.Info().Name) })
		a, ended := t.attempt(ctx)
		if a != nil {
			return a, nil
		}
		if ended.Code.NoCapacity() {
			return nil, res // the end of the attempt before tells more
		}
		res = ended
	}
	return nil, res
}

// triedAgain counts a further attempt and writes its line, with what ended the one
// before.
func (t *transaction) logRetry(ended func(*zerolog.Event)) {
	t.p.Metrics.Retry(t.c.service)
	t.p.Log.Info().Str("id", t.c.id).Str("service", t.c.service).Str("request", t.c.fingerprint.String()).Strs("tried", t.query.Tried).Func(ended).
		Dur("took", time.Since(t.c.startedAt)).Msg("tried-again")
}

// another reports whether a further attempt is safe, allowed and of use.
func (t *transaction) shouldRetry(ctx context.Context, res *request.Result) bool {
	if res.Code.NoCapacity() || res.Code == request.TooLarge || res.Code == request.CallerGone {
		return false
	}
	return t.retryAllowed(ctx)
}

// allowed reports whether a further attempt is safe, within what the route allows, and
// within the budget of retries, from which it is taken.
func (t *transaction) retryAllowed(ctx context.Context) bool {
	if ctx.Err() != nil || t.c.timeLeft() < minAttemptTime {
		return false
	}
	if t.mayHaveRun && !t.c.route.Repeatable || !t.c.body.replayable() {
		return false
	}
	if t.p.isQuarantined(t.c) {
		return false // it went into quarantine meanwhile
	}
	if len(t.query.Tried) >= maxBackendsTried || t.c.attempts >= t.c.route.Attempts {
		return false
	}
	return t.c.attempts == 0 || t.p.RetryBudget.Retry(t.c.service, t.p.Now())
}

const (
	// leastAttempt is the time below which no further attempt is made.
	minAttemptTime = 30 * time.Millisecond
	// maxTries bounds the backend servers that are tried, connections that could not
	// be opened included.
	maxBackendsTried = 4
	minRetryAfter    = 150 * time.Millisecond
)

// attempt makes one attempt.
func (t *transaction) attempt(ctx context.Context) (*response, *request.Result) {
	t.query.Left = t.c.timeLeft()
	t.query.Elapsed = time.Since(t.c.startedAt)
	t.beginAttempt()
	pick, refusal := t.pickWithPermit(ctx)
	if pick == nil {
		t.rolloutAttempt.Done(rollout.Outcome{Inconclusive: true})
		t.c.noBackendReason = &refusal.Why
		return nil, t.result(refusal.Code, refusal.Retry)
	}
	t.query.Tried = append(t.query.Tried, pick.Name)
	sent := time.Now()
	t.sentAt = t.p.Now()
	ex, err := pick.Pool.Dispatch(ctx, t.newRequest(ctx, pick), conn.Options{
		Deadline: time.Now().Add(t.query.Left), CloseImmediately: true,
		Allowed: func() bool { return t.c.timeLeft() > 0 && pick.Allowed() && t.permitValid(pick) }, Release: func(bool) {},
	})
	if err != nil {
		return nil, t.dispatchFailed(ctx, pick, err, sent)
	}
	t.c.attempts++
	return t.readResponse(ctx, ex, pick, sent)
}

// read takes in the answer to an attempt that was sent at a time.
func (t *transaction) readResponse(ctx context.Context, ex *conn.Exchange, pick *balance.Pick, sent time.Time) (*response, *request.Result) {
	names := &t.p.Names
	for range maxMismatchedResponses {
		if ex.Response.Header.Get(names.ID) == t.c.id {
			break
		}
		if err := ex.SkipResponse(t.c.r); err != nil {
			ex.Close()
			return nil, t.exchangeLost(ctx, pick, err, sent)
		}
	}
	h := ex.Response.Header
	if h.Get(names.ID) != t.c.id && ex.Response.StatusCode != http.StatusMisdirectedRequest {
		ex.Response.Close = true
		ex.Close()
		return nil, t.exchangeLost(ctx, pick, errors.New("answers to other requests"), sent)
	}
	notice := t.applyNotice(ex.Response, pick)
	limit := t.applyRateLimit(ex.Response, pick)
	if h.Get(names.NotRun) != "" || ex.Response.StatusCode == http.StatusMisdirectedRequest {
		return nil, t.backendRefused(ex, pick, notice, limit)
	}
	headTook := time.Since(sent)
	a, err := bufferResponse(ex, t.c.lease)
	if err != nil {
		return nil, t.exchangeLost(ctx, pick, err, sent)
	}
	a.pick, a.fromTarget, a.notice, a.rateLimit = pick, t.query.Target != "", notice, limit
	t.c.possibleRuns++
	took := time.Since(sent)
	if a.ex != nil {
		pick.Hold()
		took = headTook
	}
	pick.Done(balance.Answered, t.loadReport(h, pick))
	t.reportResponse(a, took)
	if t.p.Quarantine != nil {
		t.p.Quarantine.Answered(t.c.fingerprint)
	}
	if t.p.OnResponse != nil {
		t.p.OnResponse(pick.Name, h, time.Since(sent))
	}
	return a, nil
}

// logAnswer writes the line of an answer that is passed on.
func (t *transaction) logResponse(a *response) {
	names, pick := &t.p.Names, a.pick
	took := time.Since(t.c.startedAt)
	t.p.Log.Info().Str("id", t.c.id).Str("object", t.c.r.Header.Get(names.Affinity)).Str("service", t.c.service).
		Str("class", t.c.route.Class.String()).Str("workspace", t.c.workspaceName()).Bool("late", took > time.Duration(t.c.route.Objective)).
		Str("backend", pick.Name).Str("software", pick.Software).Bool("target", a.fromTarget).Bool("declined", t.targetDeclined).Int("rank", pick.Rank).Bool("lastResort", pick.LastResort).Bool("unseen", pick.Unseen).Dur("wait", pick.Wait).Str("load", a.res.Header.Get(names.Load)).
		Bool("leaving", a.notice.Leaving).Dur("retryAfter", a.notice.RetryAfter).Float64("limit", a.rateLimit).Int("status", a.res.StatusCode).Int64("version", t.c.version).Int("attempts", t.c.attempts).
		Dur("took", took).Msg("answered")
}

// maxForeign bounds the answers to other requests that are skipped.
const maxMismatchedResponses = 2

// notice takes up what an answer says of what its server wants from now on, before the answer
// is passed on. A misdirected request was answered by another server than the one that was
// chosen: that one's notices say nothing of the chosen one.
func (t *transaction) applyNotice(res *http.Response, pick *balance.Pick) request.Notice {
	if res.StatusCode == http.StatusMisdirectedRequest {
		return request.Notice{}
	}
	n := t.p.Names.Notice(res.StatusCode, res.Header)
	t.p.Metrics.Notice(t.c.service, n)
	t.c.notices.Leaving = t.c.notices.Leaving || n.Leaving
	t.c.notices.RetryAfter = max(t.c.notices.RetryAfter, n.RetryAfter)
	pick.Heed(n)
	return n
}

// refused notes that the backend server did not run the request.
func (t *transaction) backendRefused(ex *conn.Exchange, pick *balance.Pick, notice request.Notice, limit float64) *request.Result {
	misdirected := ex.Response.StatusCode == http.StatusMisdirectedRequest
	_, _ = io.CopyN(io.Discard, ex.Response.Body, maxBufferedResponse) // so that the connection can be kept
	report := t.loadReport(ex.Response.Header, pick)
	ex.Close()
	pick.Done(balance.Refused, report)
	t.reportOutcome(pick, rollout.Outcome{Failed: misdirected, Inconclusive: !misdirected})
	t.logLine(pick).Int("status", ex.Response.StatusCode).Bool("leaving", notice.Leaving).Dur("retryAfter", notice.RetryAfter).Float64("limit", limit).
		Str("load", ex.Response.Header.Get(t.p.Names.Load)).Msg("backend-refused")
	if misdirected {
		pick.Gone()
		pick.Pool.CloseIdle()
	}
	return t.result(request.BackendRefused, minRetryAfter)
}

// readAnswer takes in an answer, whole unless it is large or there is no room to hold it.
func bufferResponse(ex *conn.Exchange, lease *held.Lease) (*response, error) {
	a := &response{res: ex.Response, ex: ex}
	var err error
	whole := false
	a.buffered, whole, err = held.Read(lease, held.Responses, ex.Response.Body, ex.Response.ContentLength, maxBufferedResponse)
	if err != nil {
		ex.Close()
		return nil, err
	}
	if whole {
		a.ex = nil
		ex.Close()
	}
	return a, nil
}

// report reads a backend server's word on its load.
func (t *transaction) loadReport(h http.Header, pick *balance.Pick) *balance.Report {
	r, err := balance.ParseReport(h.Get(t.p.Names.Load))
	if err != nil {
		t.p.Metrics.BadReport(t.c.service)
		t.logLine(pick).Err(err).Msg("load-report-skipped")
	}
	return r
}
