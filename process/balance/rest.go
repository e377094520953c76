// SPDX-License-Identifier: MIT

package balance

import (
	"math"
	"time"

	"shalewick/request"
)

const (
	// restTrial is how long the first request after a rest is alone: a backend server that
	// still turns away does so at once, so that one which said nothing for so long has taken
	// it. Origin: some times the longest way there and back, 80 ms between regions.
	restTrial = 250 * time.Millisecond
	// restUnit is the unit of what is left of a rest, as observations carry it. It is rounded
	// down, so that a datagram's time on the way makes no rest longer.
	restUnit = 100 * time.Millisecond
	// untestedFor is how long after a rest only requests that may be sent once more find out
	// whether it is over. Origin: with many backend servers and few requests it may take a
	// second until one comes there; if none comes that may, any has to do.
	untestedFor = 2 * time.Second
)

// rest is that which a backend server asked for as it turned a request away. The zero value is
// none.
type rest struct {
	until time.Duration // it wants nothing of this instance until then
	// asked is set from then on until it has taken a request; lastTried is when one was sent
	// to find out.
	asked     bool
	lastTried time.Duration
	// avoidUntil is until when the backend server is the last choice, though it did not ask this
	// instance for rest, and avoided when that was decided last.
	avoidUntil, avoided time.Duration
}

// standing returns how the backend server stands to new requests. The rest that another
// instance was asked for is not meant for this one, but a server that turns one away
// mostly turns away all: it is the last choice, as is one that refuses without a word.
func (r *rest) standing(now time.Duration) standing {
	switch {
	case now < r.until:
		return unwanted
	case r.asked && now-r.lastTried < restTrial, now < r.avoidUntil:
		return lastResort
	}
	return wanted
}

// untested reports whether the rest is over and it is not known yet that the backend server
// takes requests again.
func (r *rest) untested(now time.Duration) bool {
	return r.asked && now-r.until < untestedFor
}

// mayBeTurnedAway reports whether a further attempt is left if the one that the query is for
// is turned away.
func (q *Query) mayBeTurnedAway() bool { return q.Route.Attempts > len(q.Tried)+1 }

// stands returns how a backend server that told a wish stands to the request of a query. One
// that may still want rest is not asked by a request that would then be refused for it.
func (t *Table) stands(q *Query, u *backend, now time.Duration) standing {
	s := u.standing(now, t.LeaveWithin)
	if s == wanted && u.wish.rest.untested(now) && !q.mayBeTurnedAway() {
		return lastResort
	}
	return s
}

// ask notes that the backend server wants rest, and reports whether it did not before. Of two
// rests the one that ends later counts.
func (r *rest) ask(d, now time.Duration) bool {
	began := now >= r.until
	r.until = max(r.until, now+d)
	r.asked = true
	r.lastTried = 0
	return began
}

// avoid makes the backend server the last choice for a time, and reports whether it was not
// yet.
func (r *rest) avoid(d, now time.Duration) bool {
	began := now >= r.avoidUntil
	r.avoidUntil = max(r.avoidUntil, now+d)
	r.avoided = now
	return began
}

// sent notes that a request goes there.
func (r *rest) sent(now time.Duration) {
	if r.asked {
		r.lastTried = now
	}
}

// took notes that the backend server took a request that was sent at a time, or turned it away
// without asking for rest. One that was sent before it asked tells nothing.
func (r *rest) took(sent time.Duration) {
	if sent >= r.until {
		r.asked = false
	}
	if sent >= r.avoided {
		r.avoidUntil = 0
	}
}

// units returns what is left of an own rest as observations carry it; zero: too little to tell.
func (r *rest) units(now time.Duration) byte {
	return byte(min(max(0, r.until-now)/restUnit, math.MaxUint8))
}

// hearRest takes up that a backend server asked another instance for rest, of which some is
// left. The caller holds the lock.
func (t *Table) hearRest(index int32, left, now time.Duration) {
	r := &t.wishOf(t.states[index], now).rest
	if r.avoid(left, now) {
		t.noticed(t.routing.Backends[index].Name, request.Notice{Rest: left}, false)
	}
}

// restLeft returns the shortest time until one of the service's backend servers that rest may
// be tried again. The caller holds the lock.
func (t *Table) restLeft(backends []int32, now time.Duration) time.Duration {
	least := time.Duration(0)
	for _, i := range backends {
		u := t.states[i]
		if u.wish == nil || now >= u.wish.rest.until {
			continue
		}
		if left := u.wish.rest.until - now; least == 0 || left < least {
			least = left
		}
	}
	return least
}
