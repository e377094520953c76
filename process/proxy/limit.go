// SPDX-License-Identifier: MIT

package proxy

import (
	"context"
	"net/http"
	"time"

	"shalewick/process/balance"
)

// maxPermitTries is the number of rate-limited backend servers for which an attempt requests a
// permit. Each request may take a round trip to another region. After that, the attempt uses a
// backend server that has no limit.
const maxPermitTries = 2

// pickWithPermit picks a backend server as pick does, and acquires a permit if it is rate-limited.
func (t *transaction) pickWithPermit(ctx context.Context) (*balance.Pick, balance.Refusal) {
	defer func() { t.query.SkipLimited = false }()
	for tries := 0; ; tries++ {
		t.query.SkipLimited = tries == maxPermitTries
		pick, refusal := t.pick()
		if pick == nil || t.acquirePermit(ctx, pick) {
			return pick, refusal
		}
		pick.Done(balance.Abandoned, nil)
		t.query.Left, t.query.Elapsed = t.c.timeLeft(), time.Since(t.c.startedAt)
	}
}

// acquirePermit reports whether the request may be sent to the backend server, and acquires a
// permit if that is rate-limited.
func (t *transaction) acquirePermit(ctx context.Context, pick *balance.Pick) bool {
	t.permitFrom = 0
	if t.p.Limits == nil || !t.p.Limits.Limited(pick.RateLimitBackend().IncarnationHash) {
		return true
	}
	if t.query.SkipLimited {
		return false // the limit was reported after the pick
	}
	from, ok := t.p.Limits.Acquire(ctx, pick.RateLimitBackend(), t.query.Priority)
	t.permitFrom = from
	return ok
}

// permitValid reports whether the request may be sent to the backend server now. Its rate limit may
// have been reported after the pick.
func (t *transaction) permitValid(pick *balance.Pick) bool {
	return t.p.Limits == nil || t.p.Limits.Valid(pick.RateLimitBackend().IncarnationHash, t.permitFrom)
}

// returnPermit returns the permit of an attempt that sent nothing.
func (t *transaction) returnPermit(pick *balance.Pick) {
	if t.p.Limits != nil {
		t.p.Limits.Return(pick.RateLimitBackend().IncarnationHash, t.permitFrom)
	}
}

// applyRateLimit applies the rate limit that a response reports, and returns it; zero means none. A
// misdirected request (421) was answered by a different server than the one that was picked.
func (t *transaction) applyRateLimit(res *http.Response, pick *balance.Pick) float64 {
	if res.StatusCode == http.StatusMisdirectedRequest {
		return 0
	}
	limit, err := t.p.Names.RateLimit(res.Header)
	if err != nil {
		t.p.Metrics.InvalidRateLimit(t.c.service)
		t.logLine(pick).Err(err).Msg("rate-limit-skipped")
		return 0
	}
	if limit > 0 {
		t.p.Metrics.RateLimit(t.c.service)
	}
	if t.p.Limits != nil {
		t.p.Limits.RecordResponse(pick.RateLimitBackend(), limit, t.sentAt)
	}
	return limit
}
