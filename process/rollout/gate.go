// SPDX-License-Identifier: MIT

package rollout

import (
	"math"
	"slices"
	"time"
)

// gate decides at one instance which attempts go to the target.
type gate struct {
	// all are the attempts since the instance heard of the order, and sent those of them
	// that went to the target.
	all, sent int64
	// extra is the number of requests that may go there besides the share, and used how
	// many of them have.
	extra, used float64
	// saved are parts of requests for the next open backend server.
	saved float64
	rate  rateMeter

	phase  Phase
	halted bool // the owner stopped the target, or this instance did
	lease  time.Duration
	// stamp is the owner's clock in milliseconds as of stampAt.
	stamp   uint32
	stampAt time.Duration
	// bound is until when the share is bounded. Zero: not known.
	bound      time.Duration
	lacking    []routeHash
	allLacking bool
	// promised is until when nothing goes to the version before.
	promised time.Duration
}

// renewed is the gate for an order that replaces one for the same target: shares count
// from there, and nothing goes to the target until the owner has taken it up. What was
// promised holds: the last step for the order before may be in the store.
func (g *gate) renewed() gate {
	return gate{extra: max(0, g.extra-g.used), halted: g.halted, rate: g.rate, promised: g.promised}
}

// closed reports whether nothing may go to the version before.
func (g *gate) closed(now time.Duration) bool {
	return g.phase == Completed || now < g.promised
}

// goOn takes up a phase, unless it is further.
func (g *gate) goOn(p Phase) {
	if numberOf(p) > numberOf(g.phase) {
		g.phase = p
	}
}

// way is where an attempt goes.
type way int

const (
	toBefore way = iota
	toTarget
	ifOpen // to the target if the home of its object is open
)

// way decides on an attempt as far as that follows without the home of its object.
// Random is set if it goes to the target for the evidence, within the bound.
func (g *gate) way(share float64, first, random bool, now time.Duration) way {
	switch {
	case g.closed(now):
		return toTarget
	case g.halted || !first || now >= g.lease:
		return toBefore
	case g.phase == Promote && (g.free(now) || g.within(g.part()*share)):
		return toTarget
	case g.phase != Canary || !g.within(g.part()*share) || g.saved < 1:
		return toBefore
	case random:
		return toTarget
	case len(g.lacking) > 0 && g.allLacking && g.saved < spareRequests:
		return toBefore
	}
	return ifOpen
}

// chance is the part of the attempts on a route that goes to the target for the
// evidence. Part is the part of all requests that the route has.
func (g *gate) chance(route routeHash, part float64) float64 {
	switch {
	case slices.Contains(g.lacking, route):
		return rarePart / part
	case g.allLacking && (len(g.lacking) == 0 || g.saved >= spareRequests):
		return evidencePart
	}
	return 0
}

// part is the part of the set share that may be used now.
func (g *gate) part() float64 {
	switch {
	case g.phase == Promote:
		return promotePart
	case g.allLacking:
		return scarcePart
	}
	return canaryPart
}

// free reports whether the time is over for which the share is bounded.
func (g *gate) free(now time.Duration) bool { return g.bound > 0 && now >= g.bound }

// within reports whether one more request at the target is within a share.
func (g *gate) within(share float64) bool { return g.over(share) <= g.extra }

// over is the part of one more request that is above a share.
func (g *gate) over(share float64) float64 { return float64(g.sent+1) - share*float64(g.all) }

// came counts an attempt.
func (g *gate) came(share float64, period time.Duration, now time.Duration) {
	g.all++
	g.rate.add(now)
	part := g.part() * share
	most := 1 + g.extra + part*g.rate.now(now)*period.Seconds()
	g.saved = min(most, g.saved+part)
}

// take counts one that goes to the target.
func (g *gate) take(share float64, now time.Duration) {
	if !g.free(now) {
		g.used = max(g.used, g.over(g.part()*share))
	}
	g.sent++
	g.saved = max(0, g.saved-1)
}

// giveBack takes back one that did not go there.
func (g *gate) giveBack() {
	g.sent--
	g.saved++
}

// turn is the number of the present turn by the owner's clock.
func (g *gate) turn(now time.Duration) int64 {
	return (int64(g.stamp) + (now - g.stampAt).Milliseconds()) / turnTime.Milliseconds()
}

// halt stops the target for good, and takes back what was promised.
func (g *gate) halt() {
	g.halted = true
	g.promised = 0
}

// hear takes up an answer of the owner. SentAt is when the report went that it is to, and
// lease how long the lease lasts from then. Zero: there is none.
func (g *gate) hear(x *answer, lease, sentAt, now time.Duration) {
	g.goOn(x.phase)
	if x.halted || x.phase == Reverted {
		g.halt()
		return
	}
	if lease > 0 { // an owner that gives none does not know yet what is lacking, either
		g.lease = max(g.lease, sentAt+lease)
		g.lacking, g.allLacking = x.lacking, x.allLacking
	}
	g.stamp, g.stampAt = x.stamp, now
	if x.timed {
		g.bound = max(1, now+x.left)
	}
}

// promise says, if it can be said, that nothing will go to the version before. The
// caller has seen that nothing is there.
func (g *gate) promise(share float64, now time.Duration) bool {
	if g.halted || g.phase != Promote || now >= g.lease {
		return false
	}
	if !g.free(now) && !g.hasRoom(share, now) {
		return false
	}
	g.promised = now + promiseTime
	return true
}

// hasRoom reports whether the bound holds for the requests that are to be expected in
// the time of a promise, as far as that lies before the end of the bound.
func (g *gate) hasRoom(share float64, now time.Duration) bool {
	bounded := promiseTime
	if g.bound > 0 {
		bounded = min(bounded, g.bound-now)
	}
	expected := promiseRoom * g.rate.now(now) * bounded.Seconds()
	return float64(g.sent)+expected*(1-promotePart*share) <= promotePart*share*float64(g.all)+g.extra
}

// rateMeter measures how many attempts come a second, by an average that forgets.
type rateMeter struct {
	rate float64
	at   time.Duration
}

func (f *rateMeter) add(now time.Duration) {
	f.rate = f.now(now) + 1/saveTime.Seconds()
	f.at = now
}

func (f *rateMeter) now(now time.Duration) float64 {
	return f.rate * math.Exp(-float64(now-f.at)/float64(saveTime))
}
