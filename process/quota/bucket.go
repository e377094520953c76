// SPDX-License-Identifier: MIT

package quota

import "time"

// minRefillFraction is the minimum rate at which a bucket fills, as a fraction of the
// workspace's rate, whatever is reserved for missing instances.
const minRefillFraction = 0.1

// bucket is the token bucket of a workspace at its owner, or at an instance that received
// token requests without being the owner.
type bucket struct {
	owned         bool
	handedOver    bool    // this instance was the owner
	tokens        float64 // negative if more requests were admitted than there were tokens
	depth         float64 // current capacity
	refilledAt    time.Duration
	ownedSince    time.Duration // when this instance became the owner
	fallbackRate  float64       // requests per second that an instance without an owner admits
	granted       meter
	requesters    map[string]*requester // by address
	lastRequestAt time.Duration
}

// requester is an instance that requests tokens of a workspace.
type requester struct {
	seq         byte
	response    tokenResponse
	usage       meter
	usageBefore float64       // at the time of the handover
	lastSeen    time.Duration // time of its last token request
}

// refill adds the tokens accumulated since the last call.
func (b *bucket) refill(l limit, now time.Duration) {
	reserved, held := 0.0, 0.0
	for name, r := range b.requesters {
		held += max(1, r.usage.rate*prefetchTime.Seconds())
		switch elapsed := now - r.lastSeen; {
		case elapsed > reserveTime:
			delete(b.requesters, name)
		case elapsed > requesterTimeout:
			reserved += max(reserveFraction, l.fallback) * r.usage.rate // as of its last token request
		}
	}
	rate := max(minRefillFraction*l.rate, l.rate-reserved)
	if !b.owned {
		rate = min(rate, b.nonOwnerRate(l, now))
	}
	b.depth = b.currentDepth(l, held, reserved, now)
	b.tokens = min(b.depth, b.tokens+rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}

// nonOwnerRate returns the refill rate of a bucket that this instance does not own, for
// requesters that have not learned of the owner yet. A former owner refills at the rate that
// the requesters still seen used before the handover, since the new owner grants the full
// rate to the others: refilled at the full rate, the bucket admitted 1.08 of the tolerated
// requests after a partition had healed. An instance that never was the owner may be the
// new owner without knowing it yet, so it refills at the fallback rate: with none, 0.52 of
// the requests instead of 0.43 were refused in the 10 s after the failure of an owner (12 of
// 75 instances receive requests, demand 0.6 of the rate).
func (b *bucket) nonOwnerRate(l limit, now time.Duration) float64 {
	if !b.handedOver {
		return l.fallback * l.rate
	}
	sum := 0.0
	for _, r := range b.requesters {
		if now-r.lastSeen <= requesterTimeout {
			sum += max(b.fallbackRate, r.usageBefore)
		}
	}
	return sum
}

// handOver marks the bucket as owned by another instance.
func (b *bucket) handOver(l limit, now time.Duration) {
	b.refill(l, now)
	b.owned, b.handedOver = false, true
	b.tokens = min(b.tokens, l.slack)
	for _, r := range b.requesters {
		r.usageBefore = r.usage.rateAt(now)
	}
}

// currentDepth returns the bucket capacity. Tokens that instances hold are admitted on top
// of a full bucket; they are ignored as far as is tolerated, and the excess reduces the
// capacity. The burst also shrinks with the rate reserved for missing instances, since they
// use their part of it: with the full burst, 1.09 of the tolerated requests were admitted.
func (b *bucket) currentDepth(l limit, held, reserved float64, now time.Duration) float64 {
	depth := l.depth - min(l.depth/2, max(0, held-l.prefetched))
	depth = max(min(depth, l.slack), depth*(1-min(1, reserved/l.rate)))
	if !b.owned || now-b.ownedSince < l.window {
		depth = min(depth, max(l.slack, l.rate*newOwnerDepth.Seconds()))
	}
	return depth
}

// handleRequest answers a token request. A duplicate is counted once.
func (b *bucket) handleRequest(name string, req tokenRequest, l limit, now time.Duration) tokenResponse {
	b.lastRequestAt = now
	b.refill(l, now)
	r := b.requesters[name]
	if r == nil {
		r = &requester{seq: req.seq - 1}
		b.requesters[name] = r
	}
	r.lastSeen = now
	if r.seq == req.seq {
		return r.response
	}
	r.seq = req.seq
	b.tokens = min(b.depth, b.tokens-float64(req.unreported)+float64(req.returned))
	grant := min(float64(req.wanted), max(0, float64(int(b.tokens))))
	b.tokens -= grant
	b.granted.add(grant+float64(req.unreported)-float64(req.returned), now)
	r.usage.add(grant+float64(req.unreported)-float64(req.returned), now)
	r.response = tokenResponse{
		hash: req.hash, seq: req.seq, granted: uint16(grant), scarce: b.tokens < b.depth/2,
		usage: max(0, b.granted.rateAt(now)) / l.rate,
	}
	if req.release {
		delete(b.requesters, name)
	}
	return r.response
}

// idle reports whether no tokens were requested for so long that the bucket is full again.
func (b *bucket) idle(now time.Duration) bool { return now-b.lastRequestAt > evictAfter }
