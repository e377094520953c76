// SPDX-License-Identifier: MIT

package edge

import (
	"context"

	"shalewick/clock"
	"shalewick/process/ratelimit"
)

// newLimits returns the rate limits that backend servers name, kept together with the other instances.
func (e *Edge) newLimits() *ratelimit.Limiter {
	return &ratelimit.Limiter{
		Now: e.now, Owner: e.limitOwner, Instances: e.members.Count, Send: e.heartbeats.SendMessage, OnLimit: e.logRateLimit,
	}
}

// limitOwner returns who gives the permits of a start of a backend server in a region.
func (e *Edge) limitOwner(region string, start uint64) ratelimit.Owner {
	m := e.members.NearestOwner(region, start)
	if m.Name == e.settings.Instance {
		return ratelimit.Owner{Name: m.Name}
	}
	return ratelimit.Owner{Name: m.Name, Address: m.Peer}
}

// logLimited writes that a backend server's rate limit begins, changes or, with zero, ends; own: it
// told this instance so, not another one. A limit that others told without its rate is infinite.
func (e *Edge) logRateLimit(backend string, limit float64, own bool) {
	e.log.Info().Str("backend", backend).Float64("limit", limit).Bool("own", own).Msg("backend-limited")
}

// tickLimits tells owners of rate limits what has ended until the context ends.
func (e *Edge) tickLimits(ctx context.Context) {
	for clock.SleepAligned(ctx, ratelimit.TickTime) {
		e.limits.Tick()
	}
}

// gaugeLimits sets the metrics of rate limits.
func (e *Edge) updateLimitGauges() {
	n := e.limits.Counts()
	e.metrics.Gauge("backends_limited").Update(int64(e.limits.Known()))
	e.metrics.Gauge(`permits{result="granted"}`).Update(n.Granted)
	e.metrics.Gauge(`permits{result="denied"}`).Update(n.Denied)
	e.metrics.Gauge(`permits{result="unanswered"}`).Update(n.Unanswered)
}
