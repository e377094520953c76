// SPDX-License-Identifier: MIT

package ratelimit

import "time"

const (
	// takeoverPeriod is how long a new owner uses only takeoverFactor of the limit: another
	// instance may still act as the owner until it has learned of a start or a crash (3.7 s in a
	// region of 103).
	takeoverPeriod = 4 * time.Second
	takeoverFactor = 0.5
	// A bucket holds at most minDepth permits plus what the limit allows in depthTime.
	minDepth  = 2.0
	depthTime = 250 * time.Millisecond
	// requestsPerPermit is how many permit requests an owner aims for per permit. More cost
	// messages; with fewer, permits stay unused while denied instances wait.
	requestsPerPermit = 3.0
	// A denial stops the permit requests of an instance for minWait to maxWait.
	minWait = 20 * time.Millisecond
	maxWait = 5 * time.Second
	// requesterTTL is how long an instance counts as a requester after its last request.
	requesterTTL = maxWait + time.Second
	// urgentReserveTime is how long after the denial of an urgent request less urgent ones leave
	// one permit in the bucket.
	urgentReserveTime = time.Second
	// maxRepeats is the number of responses to a requester that are kept for repeated requests.
	maxRepeats = 8
)

// bucket is the token bucket of one backend server at its owner.
type bucket struct {
	since      time.Duration // when it was created
	at         time.Duration // time of the last update of tokens
	tokens     float64
	requesters map[string]*requester
	// urgent is the priority of the most urgent request that was denied lately, at urgentAt.
	urgent   int
	urgentAt time.Duration
}

// requester is an instance that requests permits.
type requester struct {
	lastRequest time.Duration
	responses   [maxRepeats]permitResponse
	next        int
}

func newBucket(now time.Duration) *bucket {
	return &bucket{since: now, at: now, requesters: make(map[string]*requester), urgentAt: now - urgentReserveTime}
}

// rate returns the permits per second that the bucket grants of a limit, of which this instance's
// side of a partition has a share.
func (b *bucket) rate(limit, share float64, now time.Duration) float64 {
	if now-b.since < takeoverPeriod {
		return limit * share * takeoverFactor
	}
	return limit * share
}

// take grants a permit for a request of a priority, or returns how long its instance should wait
// before it requests another one. random is in [0, 1).
func (b *bucket) take(instance string, priority int, limit, share float64, now time.Duration, random float64) (ok bool, wait time.Duration) {
	r := b.requester(instance)
	r.lastRequest = now
	if limit == unknownLimit {
		return true, 0 // the limit is not known yet: the response to the request will name it
	}
	rate := b.rate(limit, share, now)
	depth := minDepth + limit*depthTime.Seconds()
	b.tokens = min(depth, b.tokens+rate*(now-b.at).Seconds())
	b.at = now
	needed := 1.0
	if now-b.urgentAt < urgentReserveTime && b.urgent < priority {
		needed++
	}
	if b.tokens >= needed {
		b.tokens--
		return true, 0
	}
	if now-b.urgentAt >= urgentReserveTime || priority <= b.urgent {
		b.urgent, b.urgentAt = priority, now
	}
	return false, b.retryAfter((needed-b.tokens)/rate, rate, now, random)
}

// retryAfter returns a wait until the next permit, in untilNext seconds, and spreads the permit
// requests of all requesters over the time after it, so that about requestsPerPermit of them arrive
// for each permit. A request before the next permit would be in vain, and one long after it would
// delay the response that tells whether the limit still holds.
func (b *bucket) retryAfter(untilNext, rate float64, now time.Duration, random float64) time.Duration {
	requesters := 0
	for name, r := range b.requesters {
		if now-r.lastRequest > requesterTTL {
			delete(b.requesters, name)
			continue
		}
		requesters++
	}
	spread := max(minWait.Seconds(), (float64(requesters)/requestsPerPermit-1)/rate)
	seconds := untilNext + random*spread
	return min(max(minWait, time.Duration(min(seconds, maxWait.Seconds())*float64(time.Second))), maxWait)
}

// requester returns the state of a requester, and creates it if necessary.
func (b *bucket) requester(name string) *requester {
	r := b.requesters[name]
	if r == nil {
		r = &requester{}
		b.requesters[name] = r
	}
	return r
}

// previousResponse returns the response that a permit request got before.
func (r *requester) previousResponse(seq uint32) (permitResponse, bool) {
	for _, x := range r.responses {
		if x.seq == seq && x.incarnationHash != 0 {
			return x, true
		}
	}
	return permitResponse{}, false
}

// store keeps a response for a repeated permit request.
func (r *requester) store(x permitResponse) {
	r.responses[r.next] = x
	r.next = (r.next + 1) % maxRepeats
}
