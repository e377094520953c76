// SPDX-License-Identifier: MIT

package proxy

import (
	"context"
	"net/http"
	"time"

	"shalewick/process/balance"
)

// permitTries is the number of backend servers that name a rate limit for which an attempt asks for
// a permit; each may cost it the way to another region and back. After them it goes to one that
// names none.
const permitTries = 2

// pickPermitted chooses a backend server as pick does. For one that names a rate limit it gets a
// permit.
func (t *trial) pickPermitted(ctx context.Context) (*balance.Pick, balance.Refusal) {
	defer func() { t.query.Unlimited = false }()
	for tries := 0; ; tries++ {
		t.query.Unlimited = tries == permitTries
		pick, refusal := t.pick()
		if pick == nil || t.permitted(ctx, pick) {
			return pick, refusal
		}
		pick.Done(balance.Abandoned, nil)
		t.query.Left, t.query.Elapsed = t.c.left(), time.Since(t.c.began)
	}
}

// permitted reports whether the request may go to a backend server, which may name a rate limit.
func (t *trial) permitted(ctx context.Context, pick *balance.Pick) bool {
	t.permit = 0
	if t.p.Limits == nil || !t.p.Limits.Limited(pick.Limitable().Start) {
		return true
	}
	if t.query.Unlimited {
		return false // its limit began after the pick
	}
	at, ok := t.p.Limits.Acquire(ctx, pick.Limitable(), t.query.Priority)
	t.permit = at
	return ok
}

// withinLimit reports whether the request may leave now for a backend server, whose rate limit may
// have begun after the pick.
func (t *trial) withinLimit(pick *balance.Pick) bool {
	return t.p.Limits == nil || t.p.Limits.Valid(pick.Limitable().Start, t.permit)
}

// returnPermit gives back a permit with which nothing was sent.
func (t *trial) returnPermit(pick *balance.Pick) {
	if t.p.Limits != nil {
		t.p.Limits.Return(pick.Limitable().Start, t.permit)
	}
}

// rateLimit takes up the rate limit that an answer names, and returns it; zero: none. A misdirected
// request was answered by another server than the chosen one.
func (t *trial) rateLimit(res *http.Response, pick *balance.Pick) float64 {
	if res.StatusCode == http.StatusMisdirectedRequest {
		return 0
	}
	limit, err := t.p.Names.RateLimit(res.Header)
	if err != nil {
		t.p.Metrics.InvalidRateLimit(t.c.service)
		t.line(pick).Err(err).Msg("rate-limit-skipped")
		return 0
	}
	if limit > 0 {
		t.p.Metrics.RateLimit(t.c.service)
	}
	if t.p.Limits != nil {
		t.p.Limits.Answered(pick.Limitable(), limit, t.sentAt)
	}
	return limit
}
