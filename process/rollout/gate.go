// SPDX-License-Identifier: MIT

package rollout

import (
	"math"
	"slices"
	"time"
)

// gate decides at one instance which attempts go to the target.
type gate struct {
	// attempts counts the attempts since the instance received the order, and targetAttempts those
	// of them that went to the target.
	attempts, targetAttempts int64
	// slack is how many requests may go to the target in addition to the share, and slackUsed how
	// many of them have.
	slack, slackUsed float64
	// credit is the unused part of the share, in requests, that is kept until a backend server of
	// the target is active.
	credit float64
	rate   rateMeter

	phase      Phase
	halted     bool // by the owner or by this instance
	leaseUntil time.Duration
	// ownerClock is the owner's clock in milliseconds at ownerClockAt.
	ownerClock   uint32
	ownerClockAt time.Duration
	// shareLimitUntil is when the limit on the share ends. Zero: not known.
	shareLimitUntil time.Duration
	lackingRoutes   []routeHash
	allLacking      bool
	// drainedUntil is until when this instance has promised to send nothing to the previous
	// version.
	drainedUntil time.Duration
}

// forNewOrder returns the gate for an order that replaces one for the same target. The share counts
// from zero, and nothing goes to the target until the owner has adopted the new order. A drain
// promise stays valid, since the last step of the old order may already be in the store.
func (g *gate) forNewOrder() gate {
	return gate{slack: max(0, g.slack-g.slackUsed), halted: g.halted, rate: g.rate, drainedUntil: g.drainedUntil}
}

// closed reports whether nothing may go to the previous version.
func (g *gate) closed(now time.Duration) bool {
	return g.phase == Completed || now < g.drainedUntil
}

// advanceTo sets the phase, unless the gate is already in a later one.
func (g *gate) advanceTo(p Phase) {
	if phaseNumber(p) > phaseNumber(g.phase) {
		g.phase = p
	}
}

// destination is where an attempt goes.
type destination int

const (
	toPrevious destination = iota
	toTarget
	ifActive // to the target if the home backend server of its object is active
)

// decide decides on an attempt as far as that is possible without the home backend server of its
// object. Random is set if the attempt was selected at random to collect evidence; it goes to the
// target if the share allows it.
func (g *gate) decide(share float64, first, random bool, now time.Duration) destination {
	switch {
	case g.closed(now):
		return toTarget
	case g.halted || !first || now >= g.leaseUntil:
		return toPrevious
	case g.phase == Promote && (g.shareLimitEnded(now) || g.fits(g.usableFraction()*share)):
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

// evidenceProbability returns the probability with which an attempt on a route is sent to the
// target to collect evidence. Fraction is the part of all requests that the route gets.
func (g *gate) evidenceProbability(route routeHash, fraction float64) float64 {
	switch {
	case slices.Contains(g.lackingRoutes, route):
		return scarceRouteFraction / fraction
	case g.allLacking && (len(g.lackingRoutes) == 0 || g.credit >= spareCredit):
		return evidenceFraction
	}
	return 0
}

// usableFraction returns which fraction of the configured share may be used in the current phase.
func (g *gate) usableFraction() float64 {
	switch {
	case g.phase == Promote:
		return promoteFraction
	case g.allLacking:
		return scarceFraction
	}
	return canaryFraction
}

// shareLimitEnded reports whether the limit on the share has ended.
func (g *gate) shareLimitEnded(now time.Duration) bool {
	return g.shareLimitUntil > 0 && now >= g.shareLimitUntil
}

// fits reports whether one more request to the target stays within a share and the slack.
func (g *gate) fits(share float64) bool { return g.excess(share) <= g.slack }

// excess returns by how many requests the target would exceed a share with one more request.
func (g *gate) excess(share float64) float64 {
	return float64(g.targetAttempts+1) - share*float64(g.attempts)
}

// addAttempt counts an attempt and adds its part of the share to the credit. Period is the time
// over which credit accumulates.
func (g *gate) addAttempt(share float64, period time.Duration, now time.Duration) {
	g.attempts++
	g.rate.add(now)
	fraction := g.usableFraction() * share
	maxCredit := 1 + g.slack + fraction*g.rate.perSecond(now)*period.Seconds()
	g.credit = min(maxCredit, g.credit+fraction)
}

// addTargetAttempt counts an attempt that goes to the target.
func (g *gate) addTargetAttempt(share float64, now time.Duration) {
	if !g.shareLimitEnded(now) {
		g.slackUsed = max(g.slackUsed, g.excess(g.usableFraction()*share))
	}
	g.targetAttempts++
	g.credit = max(0, g.credit-1)
}

// undoTargetAttempt reverses addTargetAttempt for an attempt that did not go there after all.
func (g *gate) undoTargetAttempt() {
	g.targetAttempts--
	g.credit++
}

// round returns the number of the current round by the owner's clock.
func (g *gate) round(now time.Duration) int64 {
	return (int64(g.ownerClock) + (now - g.ownerClockAt).Milliseconds()) / roundTime.Milliseconds()
}

// halt stops sending to the target permanently and withdraws the drain promise.
func (g *gate) halt() {
	g.halted = true
	g.drainedUntil = 0
}

// apply applies a reply of the owner. SentAt is when the report it replies to was sent, and lease
// how long the lease lasts from then. Zero: the reply grants none.
func (g *gate) apply(x *reply, lease, sentAt, now time.Duration) {
	g.advanceTo(x.phase)
	if x.halted || x.phase == Reverted {
		g.halt()
		return
	}
	if lease > 0 { // an owner that grants no lease does not know yet which routes lack evidence
		g.leaseUntil = max(g.leaseUntil, sentAt+lease)
		g.lackingRoutes, g.allLacking = x.lackingRoutes, x.allLacking
	}
	g.ownerClock, g.ownerClockAt = x.ownerClock, now
	if x.hasRemaining {
		g.shareLimitUntil = max(1, now+x.remaining)
	}
}

// promiseDrain promises, if that is possible, to send nothing to the previous version for
// drainPromiseTime. The caller has checked that no request is in flight there.
func (g *gate) promiseDrain(share float64, now time.Duration) bool {
	if g.halted || g.phase != Promote || now >= g.leaseUntil {
		return false
	}
	if !g.shareLimitEnded(now) && !g.shareSuffices(share, now) {
		return false
	}
	g.drainedUntil = now + drainPromiseTime
	return true
}

// shareSuffices reports whether the share covers the requests expected during a drain promise, up
// to the time when the limit on the share ends.
func (g *gate) shareSuffices(share float64, now time.Duration) bool {
	duration := drainPromiseTime
	if g.shareLimitUntil > 0 {
		duration = min(duration, g.shareLimitUntil-now)
	}
	expected := drainPromiseMargin * g.rate.perSecond(now) * duration.Seconds()
	return float64(g.targetAttempts)+expected*(1-promoteFraction*share) <= promoteFraction*share*float64(g.attempts)+g.slack
}

// rateMeter measures attempts per second with an exponentially decaying average.
type rateMeter struct {
	rate      float64
	updatedAt time.Duration
}

func (m *rateMeter) add(now time.Duration) {
	m.rate = m.perSecond(now) + 1/creditTime.Seconds()
	m.updatedAt = now
}

func (m *rateMeter) perSecond(now time.Duration) float64 {
	return m.rate * math.Exp(-float64(now-m.updatedAt)/float64(creditTime))
}
