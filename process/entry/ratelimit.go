// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"shalewick/clock"
	"shalewick/process/peer"
	"shalewick/process/ratelimit"
	"shalewick/version"
)

// rateLimitTimeout limits the delivery of one message of the rate limiter, which sends it
// again or gives up within that time.
const rateLimitTimeout = 250 * time.Millisecond

// newLimits returns the limiter for the rate limits that backend servers name, which the
// instances enforce together.
func (e *Entry) newLimits() *ratelimit.Limiter {
	return &ratelimit.Limiter{
		Now: e.now, Owner: e.limitOwner, Instances: e.liveCount, Send: e.sendRateLimit, OnLimit: e.logRateLimit,
	}
}

// limitOwners is a snapshot of the instances that may own rate limits.
type limitOwners struct {
	self    string
	members []limitOwner
}

type limitOwner struct {
	id, region, address string
	hash                uint64 // of id
}

// limitLoop keeps the snapshot of owners and the gauges of rate limits up to date, and reports
// ended limits to their owners, until the context ends.
func (e *Entry) limitLoop(ctx context.Context) {
	for ctx.Err() == nil {
		e.updateLimitOwners()
		e.limits.Tick()
		e.metrics.RateLimits(e.limits.LimitedCount(), e.limits.Counts())
		clock.SleepAligned(ctx, ratelimit.TickInterval)
	}
}

// updateLimitOwners takes a new snapshot of the live instances. There are none until the
// entry is ready, since it doesn't know the others before that.
func (e *Entry) updateLimitOwners() {
	out := &limitOwners{self: e.members.Self().GetId()}
	if active := e.steer.Active(); active != nil && e.Ready() {
		v := active.View
		for _, m := range e.members.Live(e.now()) {
			if h := v.Hall(m.GetHall()); h != version.None {
				out.members = append(out.members, limitOwner{
					id: m.GetId(), region: v.Regions[v.Halls[h].Region], address: m.GetPeer(), hash: xxhash.Sum64String(m.GetId()),
				})
			}
		}
	}
	e.owners.Store(out)
}

// liveCount returns the number of live instances, zero while they are not known.
func (e *Entry) liveCount() int {
	if o := e.owners.Load(); o != nil {
		return len(o.members)
	}
	return 0
}

// limitOwner returns the owner of the rate limit of a backend server in a region: the live
// instance of the region with the lowest rendezvous hash, or of all regions if that has none.
func (e *Entry) limitOwner(region string, incarnationHash uint64) ratelimit.Owner {
	o := e.owners.Load()
	if o == nil {
		return ratelimit.Owner{}
	}
	var best *limitOwner
	for i := range o.members {
		if m := &o.members[i]; best == nil || m.precedes(best, region, incarnationHash) {
			best = m
		}
	}
	switch {
	case best == nil:
		return ratelimit.Owner{}
	case best.id == o.self:
		return ratelimit.Owner{Name: best.id}
	}
	return ratelimit.Owner{Name: best.id, Address: best.address}
}

// precedes reports whether m owns an item of the region rather than other.
func (m *limitOwner) precedes(other *limitOwner, region string, item uint64) bool {
	if (m.region == region) != (other.region == region) {
		return m.region == region
	}
	return version.RendezvousRank(m.hash, item) < version.RendezvousRank(other.hash, item)
}

// sendRateLimit sends a message of the rate limiter to another instance. It returns at once;
// the message may be lost.
func (e *Entry) sendRateLimit(address string, text []byte) {
	client, err := e.peers.client(address)
	if err != nil {
		e.log.Debug().Err(err).Str("peer", address).Msg("rate-limit-message-lost")
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), rateLimitTimeout)
		defer cancel()
		if _, err := client.RateLimit(ctx, &peer.RateLimitMessage{From: e.settings.Peer, Text: text}); err != nil {
			e.log.Debug().Err(err).Str("peer", address).Msg("rate-limit-message-lost")
		}
	}()
}

// logRateLimit logs that a backend server's rate limit begins, changes or, with zero, ends. Own
// is set if a response to this instance named it. A limit of unknown rate is infinite.
func (e *Entry) logRateLimit(backend string, limit float64, own bool) {
	e.log.Info().Str("backend", backend).Float64("limit", limit).Bool("own", own).Msg("backend-limited")
}
