// SPDX-License-Identifier: MIT

package ratelimit

import "time"

const (
	// takeoverTime is how long a new owner uses only takeoverPace of the limit: another instance may
	// go on as the owner until news of a start or a death has reached it (3.7 s in a region of 103).
	takeoverPeriod = 4 * time.Second
	takeoverFactor = 0.5
	// leastDepth and depthTime make the depth of a bucket: permits that may be given at once are
	// leastDepth and what the limit allows in depthTime.
	minDepth  = 2.0
	depthTime = 250 * time.Millisecond
	// asksPerPermit is how many asks an owner wants for each permit: more cost messages, fewer leave
	// permits unused while instances that were denied hold back.
	requestsPerPermit = 3.0
	// A denial holds an instance back for leastWait to mostWait.
	minWait = 20 * time.Millisecond
	maxWait = 5 * time.Second
	// askerFor is how long an instance counts as one that wants permits after it has asked.
	requesterTTL = maxWait + time.Second
	// urgentFor is how long after an urgent request was denied less urgent ones leave it a permit.
	urgentReserveTime = time.Second
	// mostRepeats is the number of answers of an asker that are kept to be given again.
	maxRepeats = 8
)

// bucket holds the permits of one backend server at its owner.
type bucket struct {
	since      time.Duration // when it was made
	at         time.Duration // as of which tokens are counted
	tokens     float64
	requesters map[string]*requester
	// urgent is the priority of the most urgent request that was denied lately, as of urgentAt.
	urgent   int
	urgentAt time.Duration
}

// asker is one instance that asks for permits.
type requester struct {
	lastRequest time.Duration // of its last ask
	answers     [maxRepeats]answer
	next        int
}

func newBucket(now time.Duration) *bucket {
	return &bucket{since: now, at: now, requesters: make(map[string]*requester), urgentAt: now - urgentReserveTime}
}

// pace returns the permits a second that the bucket gives of a limit, of which this side of a cut has
// a share.
func (b *bucket) rate(limit, share float64, now time.Duration) float64 {
	if now-b.since < takeoverPeriod {
		return limit * share * takeoverFactor
	}
	return limit * share
}

// take gives a permit for a request of a priority, or says for how long its instance should not
// ask, by a random number below 1.
func (b *bucket) take(from string, priority int, limit, share float64, now time.Duration, random float64) (ok bool, wait time.Duration) {
	a := b.requester(from)
	a.lastRequest = now
	if limit == unknownLimit {
		return true, 0 // nobody knows the limit: the answer to the request will tell
	}
	pace := b.rate(limit, share, now)
	depth := minDepth + limit*depthTime.Seconds()
	b.tokens = min(depth, b.tokens+pace*(now-b.at).Seconds())
	b.at = now
	need := 1.0
	if now-b.urgentAt < urgentReserveTime && b.urgent < priority {
		need++
	}
	if b.tokens >= need {
		b.tokens--
		return true, 0
	}
	if now-b.urgentAt >= urgentReserveTime || priority <= b.urgent {
		b.urgent, b.urgentAt = priority, now
	}
	return false, b.retryAfter(pace, now, random)
}

// wait spaces the asks of those that want permits.
func (b *bucket) retryAfter(pace float64, now time.Duration, random float64) time.Duration {
	n := 0
	for name, a := range b.requesters {
		if now-a.lastRequest > requesterTTL {
			delete(b.requesters, name)
			continue
		}
		n++
	}
	s := float64(n) / (requestsPerPermit * pace) * (0.5 + random)
	return min(max(minWait, time.Duration(min(s, maxWait.Seconds())*float64(time.Second))), maxWait)
}

// asker returns what is known of an asking instance.
func (b *bucket) requester(name string) *requester {
	a := b.requesters[name]
	if a == nil {
		a = &requester{}
		b.requesters[name] = a
	}
	return a
}

// repeated returns the answer that an ask has had already.
func (a *requester) previousAnswer(seq uint32) (answer, bool) {
	for _, x := range a.answers {
		if x.seq == seq && x.start != 0 {
			return x, true
		}
	}
	return answer{}, false
}

// keep keeps an answer, for when the ask comes again.
func (a *requester) store(x answer) {
	a.answers[a.next] = x
	a.next = (a.next + 1) % maxRepeats
}
