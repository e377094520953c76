// SPDX-License-Identifier: MIT

package balance

import (
	"math"
	"time"

	"shalewick/request"
)

const (
	// trialInterval is how long after a backoff the first request is sent alone. A backend server
	// that still rejects requests does so at once, so one that has not answered after this time
	// has accepted it. It is a few times the longest round trip, 80 ms between regions.
	trialInterval = 250 * time.Millisecond
	// backoffUnit is the unit of the remaining backoff time in gossip. The time is rounded down,
	// so that the transit time of a datagram never lengthens a backoff.
	backoffUnit = 100 * time.Millisecond
	// retryableTrialsFor is how long after a backoff only requests that can be retried elsewhere
	// test whether the backend server accepts requests again. With many backend servers and few
	// requests it may take a second until such a request is chosen for it; after this time any
	// request may be used.
	retryableTrialsFor = 2 * time.Second
)

// backoff is the time during which a backend server gets no requests because it rejected some. The
// zero value is no backoff.
type backoff struct {
	until time.Duration // as requested by a response to this instance (Retry-After)
	// unconfirmed is set from that response until the backend server has accepted a request.
	// lastTrial is when the last request was sent to test it.
	unconfirmed bool
	lastTrial   time.Duration
	// Until avoidUntil the backend server is the last resort although it requested no backoff from
	// this instance. avoidedAt is when that was last decided.
	avoidUntil, avoidedAt time.Duration
}

// eligibility returns the eligibility for new requests. A backoff that another instance received
// does not bind this one, but a server that rejects one instance mostly rejects all. It therefore
// becomes the last resort, as does one that refuses without a Retry-After time.
func (b *backoff) eligibility(now time.Duration) eligibility {
	switch {
	case now < b.until:
		return ineligible
	case b.unconfirmed && now-b.lastTrial < trialInterval, now < b.avoidUntil:
		return lastResort
	}
	return eligible
}

// needsTrial reports whether the backoff has ended and it is not known yet whether the backend
// server accepts requests again.
func (b *backoff) needsTrial(now time.Duration) bool {
	return b.unconfirmed && now-b.until < retryableTrialsFor
}

// hasFurtherAttempt reports whether another attempt is left if this one is rejected.
func (q *Query) hasFurtherAttempt() bool { return q.Route.Attempts > len(q.Tried)+1 }

// eligibilityFor returns the eligibility of a backend server with notices for one request. A
// request on its last attempt does not go to one that may still reject it.
func (t *Table) eligibilityFor(q *Query, u *backend, now time.Duration) eligibility {
	s := u.eligibility(now, t.LeavingGrace)
	if s == eligible && u.notices.backoff.needsTrial(now) && !q.hasFurtherAttempt() {
		return lastResort
	}
	return s
}

// extend records that the backend server requested a backoff, and reports whether none was in
// progress. The later end counts.
func (b *backoff) extend(d, now time.Duration) bool {
	started := now >= b.until
	b.until = max(b.until, now+d)
	b.unconfirmed = true
	b.lastTrial = 0
	return started
}

// avoid makes the backend server the last resort for a time, and reports whether it was not
// before.
func (b *backoff) avoid(d, now time.Duration) bool {
	started := now >= b.avoidUntil
	b.avoidUntil = max(b.avoidUntil, now+d)
	b.avoidedAt = now
	return started
}

// recordSent records that a request is sent to the backend server.
func (b *backoff) recordSent(now time.Duration) {
	if b.unconfirmed {
		b.lastTrial = now
	}
}

// recordAccepted records that the backend server accepted a request, or refused it without
// requesting a backoff. Requests that were sent before the backoff ended say nothing about it.
func (b *backoff) recordAccepted(sentAt time.Duration) {
	if sentAt >= b.until {
		b.unconfirmed = false
	}
	if sentAt >= b.avoidedAt {
		b.avoidUntil = 0
	}
}

// remainingUnits returns the remaining time of this instance's own backoff in the unit of gossip.
// Zero: too little to announce.
func (b *backoff) remainingUnits(now time.Duration) byte {
	return byte(min(max(0, b.until-now)/backoffUnit, math.MaxUint8))
}

// applyBackoff applies the gossip that a backend server requested a backoff from another instance,
// with its remaining time. The caller holds the lock.
func (t *Table) applyBackoff(index int32, left, now time.Duration) {
	b := &t.noticesOf(t.state(index), now).backoff
	if b.avoid(left, now) {
		t.reportNotice(t.routing.Backends[index].Name, request.Notice{RetryAfter: left}, false)
	}
}

// minBackoffLeft returns the shortest remaining backoff among some backend servers. The caller
// holds the lock.
func (t *Table) minBackoffLeft(backends []int32, now time.Duration) time.Duration {
	shortest := time.Duration(0)
	for _, i := range backends {
		u := t.states[i]
		if u == nil || u.notices == nil || now >= u.notices.backoff.until {
			continue
		}
		if left := u.notices.backoff.until - now; shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}
