// SPDX-License-Identifier: MIT

package balance

import (
	"math"
	"time"

	"shalewick/request"
)

const (
	// backoffTrial is how long the first request after a backoff is alone: a backend server that
	// still turns away does so at once, so that one which said nothing for so long has taken
	// it. Origin: some times the longest way there and back, 80 ms between regions.
	trialInterval = 250 * time.Millisecond
	// backoffUnit is the unit of what is left of a backoff, as observations carry it. It is rounded
	// down, so that a datagram's time on the way makes it longer nowhere.
	backoffUnit = 100 * time.Millisecond
	// untestedFor is how long after a backoff only requests that may be sent once more find out
	// whether it is over. Origin: with many backend servers and few requests it may take a
	// second until one comes there; if none comes that may, any has to do.
	retryableTrialsFor = 2 * time.Second
)

// backoff is how long a backend server is left alone since it turned requests away. The zero
// value is none.
type backoff struct {
	until time.Duration // it asked this instance for that (Retry-After)
	// asked is set from then on until it has taken a request; lastTried is when one was sent
	// to find out.
	unconfirmed bool
	lastTrial   time.Duration
	// avoidUntil is until when the backend server is the last choice, though it did not ask this
	// instance to back off, and avoided when that was decided last.
	avoidUntil, avoidedAt time.Duration
}

// eligibility returns that for new requests. What another instance was asked for is not meant
// for this one, but a server that turns one away mostly turns away all: it is the last
// choice, as is one that refuses without saying for how long.
func (b *backoff) eligibility(now time.Duration) eligibility {
	switch {
	case now < b.until:
		return ineligible
	case b.unconfirmed && now-b.lastTrial < trialInterval, now < b.avoidUntil:
		return lastResort
	}
	return eligible
}

// untested reports whether the backoff is over and it is not known yet that the backend server
// takes requests again.
func (b *backoff) needsTrial(now time.Duration) bool {
	return b.unconfirmed && now-b.until < retryableTrialsFor
}

// mayBeTurnedAway reports whether a further attempt is left if the one that the query is for
// is turned away.
func (q *Query) hasFurtherAttempt() bool { return q.Route.Attempts > len(q.Tried)+1 }

// eligibilityFor returns that of a backend server with notices for the request of a query. One
// that may still turn requests away gets none that would then be refused for good.
func (t *Table) eligibilityFor(q *Query, u *backend, now time.Duration) eligibility {
	s := u.eligibility(now, t.LeavingGrace)
	if s == eligible && u.notices.backoff.needsTrial(now) && !q.hasFurtherAttempt() {
		return lastResort
	}
	return s
}

// ask notes that the backend server asked for a backoff, and reports whether none was under
// way. Of two the one that ends later counts.
func (b *backoff) extend(d, now time.Duration) bool {
	began := now >= b.until
	b.until = max(b.until, now+d)
	b.unconfirmed = true
	b.lastTrial = 0
	return began
}

// avoid makes the backend server the last choice for a time, and reports whether it was not
// yet.
func (b *backoff) avoid(d, now time.Duration) bool {
	began := now >= b.avoidUntil
	b.avoidUntil = max(b.avoidUntil, now+d)
	b.avoidedAt = now
	return began
}

// sent notes that a request goes there.
func (b *backoff) recordSent(now time.Duration) {
	if b.unconfirmed {
		b.lastTrial = now
	}
}

// took notes that the backend server took a request that was sent at a time, or turned it away
// without asking for a backoff. One that was sent before it asked tells nothing.
func (b *backoff) recordAccepted(sent time.Duration) {
	if sent >= b.until {
		b.unconfirmed = false
	}
	if sent >= b.avoidedAt {
		b.avoidUntil = 0
	}
}

// units returns what is left of the own backoff as observations carry it; zero: too little to tell.
func (b *backoff) remainingUnits(now time.Duration) byte {
	return byte(min(max(0, b.until-now)/backoffUnit, math.MaxUint8))
}

// hearBackoff takes up that a backend server asked another instance to back off, for a time of
// which some is left. The caller holds the lock.
func (t *Table) applyBackoff(index int32, left, now time.Duration) {
	b := &t.noticesOf(t.state(index), now).backoff
	if b.avoid(left, now) {
		t.reportNotice(t.routing.Backends[index].Name, request.Notice{RetryAfter: left}, false)
	}
}

// backoffLeft returns the shortest time until the backoff of one of some backend servers is
// over. The caller holds the lock.
func (t *Table) minBackoffLeft(backends []int32, now time.Duration) time.Duration {
	least := time.Duration(0)
	for _, i := range backends {
		u := t.states[i]
		if u == nil || u.notices == nil || now >= u.notices.backoff.until {
			continue
		}
		if left := u.notices.backoff.until - now; least == 0 || left < least {
			least = left
		}
	}
	return least
}
