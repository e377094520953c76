// SPDX-License-Identifier: MIT

package steer

import (
	"context"
	"time"

	"shalewick/process/ratelimit"
	"shalewick/version"
)

// maxPermitTries is the number of rate-limited backend servers for which a placement
// requests a permit. Each request may take a round trip to another region. After that, the
// placement uses a backend server that has no limit.
const maxPermitTries = 2

// tryWithPermit is like try, and also acquires a permit if the chosen backend server has a
// rate limit.
func (s *Steerer) tryWithPermit(ctx context.Context, r *Request) (p *Placement, open bool) {
	for tries := 0; ; tries++ {
		skipLimited := tries == maxPermitTries
		p, open = s.try(r, skipLimited)
		if p == nil || p.acquirePermit(ctx, r, skipLimited) {
			return p, open
		}
		p.Cancel()
		if skipLimited {
			return nil, open // the limit was named after the choice
		}
	}
}

// rateLimitBackend returns the backend server as the rate limiter identifies it.
func (av *ActiveVersion) rateLimitBackend(index int32) ratelimit.Backend {
	b := &av.View.Backends[index]
	return ratelimit.Backend{IncarnationHash: b.IncarnationHash, Name: b.Name, Region: av.View.Regions[b.Region]}
}

// rateLimited returns version.Query.RateLimited for a request.
func (s *Steerer) rateLimited(av *ActiveVersion, r *Request, skipLimited bool) func(int32) bool {
	if s.Limits == nil {
		return nil
	}
	return func(index int32) bool {
		hash := av.View.Backends[index].IncarnationHash
		if skipLimited {
			return s.Limits.Limited(hash)
		}
		return s.Limits.Blocked(hash, int(r.Class)) > 0
	}
}

// noBackendRetryAfter returns when a request that no backend server accepts should come
// back: once a rate limit of the service may admit it, if that is why.
func (s *Steerer) noBackendRetryAfter(r *Request) time.Duration {
	av := s.active.Load()
	svc := av.View.Service(r.Service)
	if s.Limits == nil || svc == version.None {
		return noBackendRetryAfter
	}
	shortest := noBackendRetryAfter
	for _, backends := range av.View.Services[svc].ByRegion {
		for _, b := range backends {
			if left := s.Limits.Blocked(av.View.Backends[b].IncarnationHash, int(r.Class)); left > 0 {
				shortest = min(shortest, left)
			}
		}
	}
	return shortest
}

// acquirePermit reports whether the request may be sent to the backend server, and acquires
// a permit if that has a rate limit.
func (p *Placement) acquirePermit(ctx context.Context, r *Request, skipLimited bool) bool {
	limits := p.steerer.Limits
	b := p.Version.rateLimitBackend(p.Backend)
	if limits == nil || !limits.Limited(b.IncarnationHash) {
		return true
	}
	if skipLimited {
		return false
	}
	from, ok := limits.Acquire(ctx, b, int(r.Class))
	p.permitFrom = from
	return ok
}

// permitValid reports whether the request may be sent now. The rate limit may have been named
// after the choice.
func (p *Placement) permitValid() bool {
	limits := p.steerer.Limits
	return limits == nil || limits.Valid(p.Version.View.Backends[p.Backend].IncarnationHash, p.permitFrom)
}

// returnPermit returns the permit of a request of which nothing was sent.
func (p *Placement) returnPermit() {
	if limits := p.steerer.Limits; limits != nil {
		limits.Return(p.Version.View.Backends[p.Backend].IncarnationHash, p.permitFrom)
	}
}

// RecordRateLimit records the rate limit that a response of the backend server named, zero:
// none. sentAt is when the request was sent.
func (p *Placement) RecordRateLimit(limit float64, sentAt time.Duration) {
	if limits := p.steerer.Limits; limits != nil {
		limits.RecordResponse(p.Version.rateLimitBackend(p.Backend), limit, sentAt)
	}
}
