// SPDX-License-Identifier: MIT

package balance

import (
	"time"

	"shalewick/process/ratelimit"
	"shalewick/version"
)

// RateLimitBackend returns the incarnation of the backend server as the rate limiter identifies
// it.
func (p *Pick) RateLimitBackend() ratelimit.Backend {
	return ratelimit.Backend{IncarnationHash: p.incarnationHash, Name: p.Name, Region: p.Region}
}

// rateLimitBackend returns the incarnation of a backend server as the rate limiter identifies it.
func (t *Table) rateLimitBackend(v *version.RoutedBackend) ratelimit.Backend {
	return ratelimit.Backend{IncarnationHash: v.IncarnationHash, Name: v.Name, Region: t.routing.Regions[v.Region]}
}

// overLimit reports whether a backend server's rate limit excludes it for the request.
func (t *Table) overLimit(q *Query, v *version.RoutedBackend) bool {
	if t.Limits == nil {
		return false
	}
	if q.SkipLimited {
		return t.Limits.Limited(v.IncarnationHash)
	}
	return t.Limits.Blocked(v.IncarnationHash, q.Priority) > 0
}

// minLimitLeft returns the shortest time until the rate limit of one of some backend servers may
// admit the request. The caller holds the lock.
func (t *Table) minLimitLeft(q *Query, backends []int32) time.Duration {
	shortest := time.Duration(0)
	if t.Limits == nil {
		return shortest
	}
	for _, i := range backends {
		left := t.Limits.Blocked(t.routing.Backends[i].IncarnationHash, q.Priority)
		if left > 0 && (shortest == 0 || left < shortest) {
			shortest = left
		}
	}
	return shortest
}

// limitAgeUnits returns how long ago a backend server reported that it is limited, in the unit of
// gossip, and whether to announce it. The caller holds the lock.
func (t *Table) limitAgeUnits(index int32, now time.Duration) (units byte, announce bool) {
	if t.Limits == nil {
		return 0, false
	}
	at, announce := t.Limits.LastLimited(t.routing.Backends[index].IncarnationHash)
	return byte((now - at) / observationUnit), announce
}

// applyLimited applies the gossip that a backend server reported to another instance that it is
// limited. The caller holds the lock.
func (t *Table) applyLimited(index int32, age, now time.Duration) {
	if t.Limits != nil {
		t.Limits.ApplyLimited(t.rateLimitBackend(&t.routing.Backends[index]), now-age)
	}
}
