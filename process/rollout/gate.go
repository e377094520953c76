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
	attempts, targetAttempts int64
	// extra is the number of requests that may go there besides the share, and used how
	// many of them have.
	slack, slackUsed float64
	// saved are parts of requests for the next open backend server.
	credit float64
	rate   rateMeter

	phase      Phase
	halted     bool // the owner stopped the target, or this instance did
	leaseUntil time.Duration
	// stamp is the owner's clock in milliseconds as of stampAt.
	ownerClock   uint32
	ownerClockAt time.Duration
	// bound is until when the share is bounded. Zero: not known.
	boundUntil    time.Duration
	lackingRoutes []routeHash
	allLacking    bool
	// promised is until when nothing goes to the version before.
	drainedUntil time.Duration
}

// renewed is the gate for an order that replaces one for the same target: shares count
// from there, and nothing goes to the target until the owner has taken it up. What was
// promised holds: the last step for the order before may be in the store.
func (g *gate) forNewOrder() gate {
	return gate{slack: max(0, g.slack-g.slackUsed), halted: g.halted, rate: g.rate, drainedUntil: g.drainedUntil}
}

// closed reports whether nothing may go to the version before.
func (g *gate) closed(now time.Duration) bool {
	return g.phase == Completed || now < g.drainedUntil
}

// goOn takes up a phase, unless it is further.
func (g *gate) advanceTo(p Phase) {
	if phaseNumber(p) > phaseNumber(g.phase) {
		g.phase = p
	}
}

// way is where an attempt goes.
type destination int

const (
	toPrevious destination = iota
	toTarget
	ifActive // to the target if the home of its object is open
)

// way decides on an attempt as far as that follows without the home of its object.
// Random is set if it goes to the target for the evidence, within the bound.
func (g *gate) decide(share float64, first, random bool, now time.Duration) destination {
	switch {
	case g.closed(now):
		return toTarget
	case g.halted || !first || now >= g.leaseUntil:
		return toPrevious
	case g.phase == Promote && (g.unbounded(now) || g.fits(g.usableFraction()*share)):
		return toTarget
	case g.phase != Canary || !g.fits(g.usableFraction()*share) || g.credit < 1:
		return toPrevious
	case random:
		return toTarget
	case len(g.lackingRoutes) > 0 && g.allLacking && g.credit < spareCredit:
		return toPrevious
	}
	return ifActive
}

// chance is the part of the attempts on a route that goes to the target for the
// evidence. Part is the part of all requests that the route has.
func (g *gate) evidenceProbability(route routeHash, part float64) float64 {
	switch {
	case slices.Contains(g.lackingRoutes, route):
		return scarceRouteFraction / part
	case g.allLacking && (len(g.lackingRoutes) == 0 || g.credit >= spareCredit):
		return evidenceFraction
	}
	return 0
}

// part is the part of the set share that may be used now.
func (g *gate) usableFraction() float64 {
	switch {
	case g.phase == Promote:
		return promoteFraction
	case g.allLacking:
		return scarceFraction
	}
	return canaryFraction
}

// free reports whether the time is over for which the share is bounded.
func (g *gate) unbounded(now time.Duration) bool { return g.boundUntil > 0 && now >= g.boundUntil }

// within reports whether one more request at the target is within a share.
func (g *gate) fits(share float64) bool { return g.excess(share) <= g.slack }

// over is the part of one more request that is above a share.
func (g *gate) excess(share float64) float64 {
	return float64(g.targetAttempts+1) - share*float64(g.attempts)
}

// came counts an attempt.
func (g *gate) addAttempt(share float64, period time.Duration, now time.Duration) {
	g.attempts++
	g.rate.add(now)
	part := g.usableFraction() * share
	most := 1 + g.slack + part*g.rate.perSecond(now)*period.Seconds()
	g.credit = min(most, g.credit+part)
}

// take counts one that goes to the target.
func (g *gate) addTargetAttempt(share float64, now time.Duration) {
	if !g.unbounded(now) {
		g.slackUsed = max(g.slackUsed, g.excess(g.usableFraction()*share))
	}
	g.targetAttempts++
	g.credit = max(0, g.credit-1)
}

// giveBack takes back one that did not go there.
func (g *gate) undoTargetAttempt() {
	g.targetAttempts--
	g.credit++
}

// turn is the number of the present turn by the owner's clock.
func (g *gate) round(now time.Duration) int64 {
	return (int64(g.ownerClock) + (now - g.ownerClockAt).Milliseconds()) / roundTime.Milliseconds()
}

// halt stops the target for good, and takes back what was promised.
func (g *gate) halt() {
	g.halted = true
	g.drainedUntil = 0
}

// hear takes up an answer of the owner. SentAt is when the report went that it is to, and
// lease how long the lease lasts from then. Zero: there is none.
func (g *gate) apply(x *reply, lease, sentAt, now time.Duration) {
	g.advanceTo(x.phase)
	if x.halted || x.phase == Reverted {
		g.halt()
		return
	}
	if lease > 0 { // an owner that gives none does not know yet what is lacking, either
		g.leaseUntil = max(g.leaseUntil, sentAt+lease)
		g.lackingRoutes, g.allLacking = x.lackingRoutes, x.allLacking
	}
	g.ownerClock, g.ownerClockAt = x.ownerClock, now
	if x.hasRemaining {
		g.boundUntil = max(1, now+x.remaining)
	}
}

// promise says, if it can be said, that nothing will go to the version before. The
// caller has seen that nothing is there.
func (g *gate) promiseDrain(share float64, now time.Duration) bool {
	if g.halted || g.phase != Promote || now >= g.leaseUntil {
		return false
	}
	if !g.unbounded(now) && !g.shareSuffices(share, now) {
		return false
	}
	g.drainedUntil = now + drainPromiseTime
	return true
}

// hasRoom reports whether the bound holds for the requests that are to be expected in
// the time of a promise, as far as that lies before the end of the bound.
func (g *gate) shareSuffices(share float64, now time.Duration) bool {
	bounded := drainPromiseTime
	if g.boundUntil > 0 {
		bounded = min(bounded, g.boundUntil-now)
	}
	expected := drainPromiseMargin * g.rate.perSecond(now) * bounded.Seconds()
	return float64(g.targetAttempts)+expected*(1-promoteFraction*share) <= promoteFraction*share*float64(g.attempts)+g.slack
}

// rateMeter measures how many attempts come a second, by an average that forgets.
type rateMeter struct {
	rate      float64
	updatedAt time.Duration
}

func (f *rateMeter) add(now time.Duration) {
	f.rate = f.perSecond(now) + 1/creditTime.Seconds()
	f.updatedAt = now
}

func (f *rateMeter) perSecond(perSecond time.Duration) float64 {
	return f.rate * math.Exp(-float64(perSecond-f.updatedAt)/float64(creditTime))
}
