// SPDX-License-Identifier: MIT

package ratelimit

import "time"

const (
	// takeoverTime is how long a new owner uses only takeoverPace of the limit: another instance may
	// go on as the owner until news of a start or a death has reached it (3.7 s in a region of 103).
	takeoverTime = 4 * time.Second
	takeoverPace = 0.5
	// leastDepth and depthTime make the depth of a bucket: permits that may be given at once are
	// leastDepth and what the limit allows in depthTime.
	leastDepth = 2.0
	depthTime  = 250 * time.Millisecond
	// asksPerPermit is how many asks an owner wants for each permit: more cost messages, fewer leave
	// permits unused while instances that were denied hold back.
	asksPerPermit = 3.0
	// A denial holds an instance back for leastWait to mostWait.
	leastWait = 20 * time.Millisecond
	mostWait  = 5 * time.Second
	// askerFor is how long an instance counts as one that wants permits after it has asked.
	askerFor = mostWait + time.Second
	// urgentFor is how long after an urgent request was denied less urgent ones leave it a permit.
	urgentFor = time.Second
	// mostRepeats is the number of answers of an asker that are kept to be given again.
	mostRepeats = 8
)

// bucket holds the permits of one backend server at its owner.
type bucket struct {
	since  time.Duration // when it was made
	at     time.Duration // as of which tokens are counted
	tokens float64
	askers map[string]*asker
	// urgent is the priority of the most urgent request that was denied lately, as of urgentAt.
	urgent   int
	urgentAt time.Duration
}

// asker is one instance that asks for permits.
type asker struct {
	at      time.Duration // of its last ask
	answers [mostRepeats]answer
	next    int
}

func newBucket(now time.Duration) *bucket {
	return &bucket{since: now, at: now, askers: make(map[string]*asker), urgentAt: now - urgentFor}
}

// pace returns the permits a second that the bucket gives of a limit, of which this side of a cut has
// a share.
func (b *bucket) pace(limit, share float64, now time.Duration) float64 {
	if now-b.since < takeoverTime {
		return limit * share * takeoverPace
	}
	return limit * share
}

// take gives a permit for a request of a priority, or says for how long its instance should not
// ask, by a random number below 1.
func (b *bucket) take(from string, priority int, limit, share float64, now time.Duration, random float64) (ok bool, wait time.Duration) {
	a := b.asker(from)
	a.at = now
	if limit == rumoured {
		return true, 0 // nobody knows the limit: the answer to the request will tell
	}
	pace := b.pace(limit, share, now)
	depth := leastDepth + limit*depthTime.Seconds()
	b.tokens = min(depth, b.tokens+pace*(now-b.at).Seconds())
	b.at = now
	need := 1.0
	if now-b.urgentAt < urgentFor && b.urgent < priority {
		need++
	}
	if b.tokens >= need {
		b.tokens--
		return true, 0
	}
	if now-b.urgentAt >= urgentFor || priority <= b.urgent {
		b.urgent, b.urgentAt = priority, now
	}
	return false, b.wait(pace, now, random)
}

// wait spaces the asks of those that want permits.
func (b *bucket) wait(pace float64, now time.Duration, random float64) time.Duration {
	n := 0
	for name, a := range b.askers {
		if now-a.at > askerFor {
			delete(b.askers, name)
			continue
		}
		n++
	}
	s := float64(n) / (asksPerPermit * pace) * (0.5 + random)
	return min(max(leastWait, time.Duration(min(s, mostWait.Seconds())*float64(time.Second))), mostWait)
}

// asker returns what is known of an asking instance.
func (b *bucket) asker(name string) *asker {
	a := b.askers[name]
	if a == nil {
		a = &asker{}
		b.askers[name] = a
	}
	return a
}

// repeated returns the answer that an ask has had already.
func (a *asker) repeated(seq uint32) (answer, bool) {
	for _, x := range a.answers {
		if x.seq == seq && x.start != 0 {
			return x, true
		}
	}
	return answer{}, false
}

// keep keeps an answer, for when the ask comes again.
func (a *asker) keep(x answer) {
	a.answers[a.next] = x
	a.next = (a.next + 1) % mostRepeats
}
