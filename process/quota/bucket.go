// SPDX-License-Identifier: MIT

package quota

import "time"

// leastRefill is the least part of a rate at which a bucket fills, whatever is kept for
// others.
const minRefillFraction = 0.1

// bucket is what the owner of a workspace knows of it, or an instance that was asked for
// tokens without being the owner.
type bucket struct {
	owned         bool
	handedOver    bool    // it was owned
	tokens        float64 // below zero: more came in than there was
	depth         float64 // the most that it holds now
	refilledAt    time.Duration
	ownedSince    time.Duration // since when this instance owns the workspace
	fallbackRate  float64       // requests a second that an instance without an owner lets in
	granted       meter
	requesters    map[string]*requester // by address
	lastRequestAt time.Duration
}

// asker is an instance that asks for tokens of a workspace.
type requester struct {
	seq         byte
	response    tokenResponse
	usage       meter
	usageBefore float64       // what it used as the bucket was handed over
	lastSeen    time.Duration // of its last ask
}

// refill adds the tokens that have come since.
func (b *bucket) refill(l limit, now time.Duration) {
	kept, inHand := 0.0, 0.0
	for name, x := range b.requesters {
		inHand += max(1, x.usage.rate*prefetchTime.Seconds())
		switch silence := now - x.lastSeen; {
		case silence > reserveTime:
			delete(b.requesters, name)
		case silence > requesterTimeout:
			kept += max(reserveFraction, l.fallback) * x.usage.rate // as of when it was heard last
		}
	}
	rate := max(minRefillFraction*l.rate, l.rate-kept)
	if !b.owned {
		rate = min(rate, b.nonOwnerRate(l, now))
	}
	b.depth = b.currentDepth(l, inHand, kept, now)
	b.tokens = min(b.depth, b.tokens+rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}

// stale is the rate for those who have not learned yet who the owner is: what those of
// them that still ask used before another instance became it, since that gives all others
// the whole rate. Filled at the rate, the bucket let 1.08 of what is tolerated in after a
// cut had healed. Who was never the owner may be about to learn that it is, so it gives
// the part that those who lost their owner go on with; with nothing 0.52 in place of 0.43
// are refused in the 10 s after an owner's death (12 of 75 take requests, 0.6 of the rate).
func (b *bucket) nonOwnerRate(l limit, now time.Duration) float64 {
	if !b.handedOver {
		return l.fallback * l.rate
	}
	sum := 0.0
	for _, x := range b.requesters {
		if now-x.lastSeen <= requesterTimeout {
			sum += max(b.fallbackRate, x.usageBefore)
		}
	}
	return sum
}

// handOver notes that another instance is the owner now.
func (b *bucket) handOver(l limit, now time.Duration) {
	b.refill(l, now)
	b.owned, b.handedOver = false, true
	b.tokens = min(b.tokens, l.slack)
	for _, x := range b.requesters {
		x.usageBefore = x.usage.rateAt(now)
	}
}

// depthNow returns the most that the bucket holds. What instances have in hand beside
// a full bucket comes in on top of the burst: of that only so much is left out of
// account as is tolerated. The burst shrinks with the rate that is kept for instances that
// are missed, as they go on beside it: with the whole of it 1.09 of what is tolerated came in.
func (b *bucket) currentDepth(l limit, inHand, kept float64, now time.Duration) float64 {
	depth := l.depth - min(l.depth/2, max(0, inHand-l.prefetched))
	depth = max(min(depth, l.slack), depth*(1-min(1, kept/l.rate)))
	if !b.owned || now-b.ownedSince < l.window {
		depth = min(depth, max(l.slack, l.rate*newOwnerDepth.Seconds()))
	}
	return depth
}

// answer answers an ask. An ask that comes twice counts once.
func (b *bucket) handleRequest(name string, x tokenRequest, l limit, now time.Duration) tokenResponse {
	b.lastRequestAt = now
	b.refill(l, now)
	k := b.requesters[name]
	if k == nil {
		k = &requester{seq: x.seq - 1}
		b.requesters[name] = k
	}
	k.lastSeen = now
	if k.seq == x.seq {
		return k.response
	}
	k.seq = x.seq
	b.tokens = min(b.depth, b.tokens-float64(x.unreported)+float64(x.returned))
	grant := min(float64(x.wanted), max(0, float64(int(b.tokens))))
	b.tokens -= grant
	b.granted.add(grant+float64(x.unreported)-float64(x.returned), now)
	k.usage.add(grant+float64(x.unreported)-float64(x.returned), now)
	k.response = tokenResponse{
		hash: x.hash, seq: x.seq, granted: uint16(grant), scarce: b.tokens < b.depth/2,
		usage: max(0, b.granted.rateAt(now)) / l.rate,
	}
	if x.release {
		delete(b.requesters, name)
	}
	return k.response
}

// idle reports whether nobody has asked for so long that the bucket is full again.
func (b *bucket) idle(now time.Duration) bool { return now-b.lastRequestAt > evictAfter }
