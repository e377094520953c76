// SPDX-License-Identifier: MIT

package edge

import (
	"context"

	"shalewick/clock"
	"shalewick/process/ratelimit"
)

// newLimits returns the limiter for the rate limits that backend servers announce, which the
// instances enforce together.
func (e *Edge) newLimits() *ratelimit.Limiter {
	return &ratelimit.Limiter{
		Now: e.now, Owner: e.limitOwner, Instances: e.members.Count, Send: e.heartbeats.SendMessage, OnLimit: e.logRateLimit,
	}
}

// limitOwner returns the owner of the rate limit that an incarnation of a backend server has in a
// region.
func (e *Edge) limitOwner(region string, incarnationHash uint64) ratelimit.Owner {
	m := e.members.NearestOwner(region, incarnationHash)
	if m.Name == e.settings.Instance {
		return ratelimit.Owner{Name: m.Name}
	}
	return ratelimit.Owner{Name: m.Name, Address: m.Peer}
}

// logRateLimit logs that a backend server's rate limit begins, changes or, with zero, ends. Own is
// set if this instance received it from the backend server itself, and not by gossip. A limit that
// was received without its rate is infinite.
func (e *Edge) logRateLimit(backend string, limit float64, own bool) {
	e.log.Info().Str("backend", backend).Float64("limit", limit).Bool("own", own).Msg("backend-limited")
}

// tickLimits reports ended requests to the owners of rate limits until the context ends.
func (e *Edge) tickLimits(ctx context.Context) {
	for clock.SleepAligned(ctx, ratelimit.TickInterval) {
		e.limits.Tick()
	}
}

// updateLimitGauges sets the metrics of rate limits.
func (e *Edge) updateLimitGauges() {
	e.metrics.RateLimits(e.limits.LimitedCount(), e.limits.Counts())
}
