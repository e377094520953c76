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
type answer struct {
	pick   *balance.Pick
	target bool // it was chosen among a roll-out's target
	notice request.Notice
	limit  float64 // the rate limit that it names, in requests a second; zero: none
	res    *http.Response
	whole  []byte
	ex     *conn.Exchange // nil when whole has all
}

// close ends the exchange of an answer whose rest was still to be read.
func (a *answer) close() {
	a.ex.Close()
	a.pick.Release()
}

// trial is the course of the attempts at one request.
type trial struct {
	p     *Proxy
	c     *call
	query balance.Query
	// mayHaveRun is set once a byte has left for a backend server that has not said
	// that it did not run the request.
	mayHaveRun bool
	// rolled is the present attempt as roll-outs see it.
	rolled rolled
	begun  bool // an attempt has begun
	// permit is as of when a permit for the present attempt holds; zero: it has none. SentAt is
	// when the attempt was sent at the earliest, by the proxy's clock.
	permit, sentAt time.Duration
	// declined is set if a roll-out's target could not take the request.
	declined bool
}

// run makes attempts until one has an answer or no further one is safe.
func (p *Proxy) run(ctx context.Context, c *call) (*answer, *request.Result) {
	part := p.Table.Split(c.route)
	c.service = c.route.Split[part].Service
	t := &trial{p: p, c: c, query: balance.Query{Route: c.route, Part: part, Priority: c.priority(), Object: p.object(c)}}
	p.Retries.Request(c.service, p.Now())
	a, res := t.untilAnswered(ctx)
	if a != nil {
		t.logAnswer(a)
	}
	return a, res
}

// untilAnswered makes the attempts.
func (t *trial) untilAnswered(ctx context.Context) (*answer, *request.Result) {
	a, res := t.attempt(ctx)
	if a != nil {
		return t.instead(ctx, a), nil
	}
	for t.another(ctx, res) {
		t.triedAgain(func(e *zerolog.Event) { e.Int("code", int(res.Code)).Str("result", res.Code.Info().Name) })
		a, ended := t.attempt(ctx)
		if a != nil {
			return a, nil
		}
		if ended.Code.NoPlace() {
			return nil, res // the end of the attempt before tells more
		}
		res = ended
	}
	return nil, res
}

// triedAgain counts a further attempt and writes its line, with what ended the one
// before.
func (t *trial) triedAgain(ended func(*zerolog.Event)) {
	t.p.Metrics.Retry(t.c.service)
	t.p.Log.Info().Str("id", t.c.id).Str("service", t.c.service).Str("request", t.c.print.String()).Strs("tried", t.query.Tried).Func(ended).
		Dur("took", time.Since(t.c.began)).Msg("tried-again")
}

// another reports whether a further attempt is safe, allowed and of use.
func (t *trial) another(ctx context.Context, res *request.Result) bool {
	if res.Code.NoPlace() || res.Code == request.TooLarge || res.Code == request.CallerGone {
		return false
	}
	return t.allowed(ctx)
}

// allowed reports whether a further attempt is safe, within what the route allows, and
// within the budget of retries, from which it is taken.
func (t *trial) allowed(ctx context.Context) bool {
	if ctx.Err() != nil || t.c.left() < leastAttempt {
		return false
	}
	if t.mayHaveRun && !t.c.route.Repeatable || !t.c.body.again() {
		return false
	}
	if t.p.refuses(t.c) {
		return false // it went into quarantine meanwhile
	}
	if len(t.query.Tried) >= maxTries || t.c.attempts >= t.c.route.Attempts {
		return false
	}
	return t.c.attempts == 0 || t.p.Retries.Retry(t.c.service, t.p.Now())
}

const (
	// leastAttempt is the time below which no further attempt is made.
	leastAttempt = 30 * time.Millisecond
	// maxTries bounds the backend servers that are tried, connections that could not
	// be opened included.
	maxTries = 4
	minRetry = 150 * time.Millisecond
)

// attempt makes one attempt.
func (t *trial) attempt(ctx context.Context) (*answer, *request.Result) {
	t.query.Left = t.c.left()
	t.query.Elapsed = time.Since(t.c.began)
	t.begin()
	pick, refusal := t.pickPermitted(ctx)
	if pick == nil {
		t.rolled.Done(rollout.Outcome{Inconclusive: true})
		t.c.why = &refusal.Why
		return nil, t.result(refusal.Code, refusal.Retry)
	}
	t.query.Tried = append(t.query.Tried, pick.Name)
	sent := time.Now()
	t.sentAt = t.p.Now()
	ex, err := pick.Pool.Dispatch(ctx, t.request(ctx, pick), conn.Options{
		Deadline: time.Now().Add(t.query.Left), CloseAtOnce: true,
		Allowed: func() bool { return t.c.left() > 0 && pick.Allowed() && t.withinLimit(pick) }, Release: func(bool) {},
	})
	if err != nil {
		return nil, t.failed(ctx, pick, err, sent)
	}
	t.c.attempts++
	return t.read(ctx, ex, pick, sent)
}

// read takes in the answer to an attempt that was sent at a time.
func (t *trial) read(ctx context.Context, ex *conn.Exchange, pick *balance.Pick, sent time.Time) (*answer, *request.Result) {
	names := &t.p.Names
	for range maxForeign {
		if ex.Response.Header.Get(names.ID) == t.c.id {
			break
		}
		if err := ex.Skip(t.c.r); err != nil {
			ex.Close()
			return nil, t.lost(ctx, pick, err, sent)
		}
	}
	h := ex.Response.Header
	if h.Get(names.ID) != t.c.id && ex.Response.StatusCode != http.StatusMisdirectedRequest {
		ex.Response.Close = true
		ex.Close()
		return nil, t.lost(ctx, pick, errors.New("answers to other requests"), sent)
	}
	notice := t.notice(ex.Response, pick)
	limit := t.rateLimit(ex.Response, pick)
	if h.Get(names.NotRun) != "" || ex.Response.StatusCode == http.StatusMisdirectedRequest {
		return nil, t.refused(ex, pick, notice, limit)
	}
	headTook := time.Since(sent)
	a, err := readAnswer(ex, t.c.lease)
	if err != nil {
		return nil, t.lost(ctx, pick, err, sent)
	}
	a.pick, a.target, a.notice, a.limit = pick, t.query.Target != "", notice, limit
	t.c.runs++
	took := time.Since(sent)
	if a.ex != nil {
		pick.Hold()
		took = headTook
	}
	pick.Done(balance.Answered, t.report(h, pick))
	t.answered(a, took)
	if t.p.Quarantine != nil {
		t.p.Quarantine.Answered(t.c.print)
	}
	if t.p.OnAnswer != nil {
		t.p.OnAnswer(pick.Name, h, time.Since(sent))
	}
	return a, nil
}

// logAnswer writes the line of an answer that is passed on.
func (t *trial) logAnswer(a *answer) {
	names, pick := &t.p.Names, a.pick
	took := time.Since(t.c.began)
	t.p.Log.Info().Str("id", t.c.id).Str("object", t.c.r.Header.Get(names.Affinity)).Str("service", t.c.service).
		Str("class", t.c.route.Class.String()).Str("workspace", t.c.workspaceName()).Bool("late", took > time.Duration(t.c.route.Objective)).
		Str("backend", pick.Name).Str("software", pick.Software).Bool("target", a.target).Bool("declined", t.declined).Int("rank", pick.Rank).Bool("lastResort", pick.LastResort).Bool("unseen", pick.Unseen).Dur("wait", pick.Wait).Str("load", a.res.Header.Get(names.Load)).
		Bool("leaving", a.notice.Leaving).Dur("retryAfter", a.notice.RetryAfter).Float64("limit", a.limit).Int("status", a.res.StatusCode).Int64("version", t.c.version).Int("attempts", t.c.attempts).
		Dur("took", took).Msg("answered")
}

// maxForeign bounds the answers to other requests that are skipped.
const maxForeign = 2

// notice takes up what an answer says of what its server wants from now on, before the answer
// is passed on. A misdirected request was answered by another server than the one that was
// chosen: that one's notices say nothing of the chosen one.
func (t *trial) notice(res *http.Response, pick *balance.Pick) request.Notice {
	if res.StatusCode == http.StatusMisdirectedRequest {
		return request.Notice{}
	}
	n := t.p.Names.Notice(res.StatusCode, res.Header)
	t.p.Metrics.Notice(t.c.service, n)
	t.c.met.Leaving = t.c.met.Leaving || n.Leaving
	t.c.met.RetryAfter = max(t.c.met.RetryAfter, n.RetryAfter)
	pick.Heed(n)
	return n
}

// refused notes that the backend server did not run the request.
func (t *trial) refused(ex *conn.Exchange, pick *balance.Pick, notice request.Notice, limit float64) *request.Result {
	misdirected := ex.Response.StatusCode == http.StatusMisdirectedRequest
	_, _ = io.CopyN(io.Discard, ex.Response.Body, maxHeldAnswer) // so that the connection can be kept
	report := t.report(ex.Response.Header, pick)
	ex.Close()
	pick.Done(balance.Refused, report)
	t.over(pick, rollout.Outcome{Failed: misdirected, Inconclusive: !misdirected})
	t.line(pick).Int("status", ex.Response.StatusCode).Bool("leaving", notice.Leaving).Dur("retryAfter", notice.RetryAfter).Float64("limit", limit).
		Str("load", ex.Response.Header.Get(t.p.Names.Load)).Msg("backend-refused")
	if misdirected {
		pick.Gone()
		pick.Pool.CloseIdle()
	}
	return t.result(request.BackendRefused, minRetry)
}

// readAnswer takes in an answer, whole unless it is large or there is no room to hold it.
func readAnswer(ex *conn.Exchange, lease *held.Lease) (*answer, error) {
	a := &answer{res: ex.Response, ex: ex}
	var err error
	whole := false
	a.whole, whole, err = held.Read(lease, held.Answers, ex.Response.Body, ex.Response.ContentLength, maxHeldAnswer)
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
func (t *trial) report(h http.Header, pick *balance.Pick) *balance.Report {
	r, err := balance.ParseReport(h.Get(t.p.Names.Load))
	if err != nil {
		t.p.Metrics.InvalidLoadReport(t.c.service)
		t.line(pick).Err(err).Msg("load-report-skipped")
	}
	return r
}
