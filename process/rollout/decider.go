// SPDX-License-Identifier: MIT

package rollout

import (
	"slices"
	"time"
)

// decider is what the owner of a service knows of its roll-out. It is lost with the
// owner: the next one has it again after a round of reports.
type ownerState struct {
	reporters      map[reporterKey]*reporter
	byAddress      map[string]*reporter // by address
	analysis       analysis
	pending        []pendingCounts // answers of the target that are not judged yet, oldest first
	halted         bool
	cause          string
	instanceHalted bool          // an instance has stopped by itself
	lastReportAt   time.Duration // of the last report
	notifiedAt     time.Duration // when silent instances were told of the promotion last

	promotedAt      time.Duration // zero: not promoted
	goodAtPromotion int64         // good answers of the target until then
	targetGoneSince time.Duration // since when no target takes work. Zero: some does

	proposed   *Proposal // that was not confirmed yet
	proposedAt time.Duration
}

// mostReporters bounds what an owner remembers: all instances, and some incarnations.
const maxReporters = 4096

func newOwnerState(now time.Duration) ownerState {
	return ownerState{
		reporters: make(map[reporterKey]*reporter), byAddress: make(map[string]*reporter),
		analysis: newAnalysis(alarmThreshold), lastReportAt: now,
	}
}

// reporterKey names a process that reports.
type reporterKey struct {
	address     string
	incarnation int64
}

// reporter is a process that reports.
type reporter struct {
	counts       map[routeHash]versionCounts
	lastReportAt time.Duration
	// madeAfter is a time after which its last report was made.
	madeAfter   time.Duration
	drained     bool
	inPromotion bool
}

// pending are answers of the target that wait for those of the baseline.
type pendingCounts struct {
	route  routeHash
	counts Counts
	at     time.Duration
}

// take takes up a report, unless too many processes have reported already. Counts are
// cumulative: what is lost comes with the next one.
func (d *ownerState) addReport(from string, x *report, madeAfter, now time.Duration) bool {
	key := reporterKey{from, x.incarnation}
	p := d.reporters[key]
	if p == nil {
		if len(d.reporters) >= maxReporters {
			return false
		}
		p = &reporter{counts: make(map[routeHash]versionCounts)}
		d.reporters[key] = p
	}
	d.byAddress[from] = p
	d.lastReportAt = now
	p.lastReportAt = now
	p.madeAfter = madeAfter
	p.drained = x.drained
	p.inPromotion = x.phase == Promote
	for _, c := range x.routes {
		d.addCounts(p, c, now)
	}
	if x.halted && !d.halted {
		d.instanceHalted = true
	}
	return true
}

// count adds what is new in the counts of a route.
func (d *ownerState) addCounts(p *reporter, c routeCounts, now time.Duration) {
	old := p.counts[c.route]
	delta := c.since(old)
	p.counts[c.route] = c.max(old)
	if delta.base.Requests > 0 {
		d.analysis.addBase(c.route, delta.base, now)
	}
	if delta.target.Requests > 0 {
		d.pending = append(d.pending, pendingCounts{c.route, delta.target, now})
	}
}

// settle judges the answers of the target that have waited long enough.
func (d *ownerState) analysePending(now time.Duration) {
	n := 0
	for n < len(d.pending) && now-d.pending[n].at >= baselineWait {
		p := d.pending[n]
		d.analysis.addTarget(p.route, p.counts, p.at, now)
		n++
	}
	d.pending = append(d.pending[:0], d.pending[n:]...)
}

// halt stops the target for good. It reports whether that is new.
func (d *ownerState) halt(cause string) bool {
	if d.halted {
		return false
	}
	d.halted = true
	d.cause = cause
	return true
}

// promoted notes that the roll-out is in its promotion.
func (d *ownerState) markPromoted(now time.Duration) {
	if d.promotedAt != 0 {
		return
	}
	d.promotedAt = now
	d.goodAtPromotion = d.goodResponses()
}

// good is the number of good answers of the target that were judged.
func (d *ownerState) goodResponses() int64 {
	c := d.analysis.all.total.target
	w := d.pendingTotal()
	return c.Requests - c.bad() + w.Requests - w.bad()
}

// waiting counts the answers of the target that are not judged yet.
func (d *ownerState) pendingTotal() (c Counts) {
	for i := range d.pending {
		c.add(d.pending[i].counts)
	}
	return c
}

// waitingLooksGood reports whether nothing speaks against the target in what is not judged yet,
// either: a roll-out is completed in less time than an answer waits for its judgement.
func (d *ownerState) pendingLooksGood() bool {
	c, base := d.pendingTotal(), d.analysis.all.total.base
	usual := allowedFailedFactor * float64(base.bad()) / float64(max(1, base.Requests))
	failed := allowedFailedFactor * float64(base.Failed) / float64(max(1, base.Requests))
	return float64(c.bad()) <= (usual+allowPendingBad)*float64(c.Requests) &&
		float64(c.Failed) <= (failed+allowPendingFailed)*float64(c.Requests)+pendingFailedByChance
}

// judge judges what has been reported. It reports whether the target is stopped with
// that. The caller holds the lock.
func (r *Controller) evaluate(s *service, now time.Duration) bool {
	d := &s.ownerState
	if s.Record.isFor(s.Order) && s.Record.Phase.Ended() {
		return false
	}
	d.analysePending(now)
	cause := d.analysis.cause
	if cause == "" && d.instanceHalted {
		cause = "an instance has stopped"
	}
	if cause == "" || d.completionInFlight(now) || !d.halt(cause) {
		return false
	}
	s.gate.halted = true
	s.gate.drainedUntil = 0
	r.logEvent(s, "target-stopped", cause, &d.analysis, now-d.lastReportAt)
	return true
}

// completing reports whether the last step may be in the store. Instances must not turn
// back then.
func (d *ownerState) completionInFlight(now time.Duration) bool {
	return d.proposed != nil && d.proposed.Record.Phase == Completed && now-d.proposedAt < completionTimeout
}

// ownedBy notes who decides.
func (s *service) setOwner(o Owner, now time.Duration) {
	if o.here() && !s.owner.here() {
		s.ownerSince = now
	}
	if s.owner.here() && !o.here() {
		s.lostOwnership = true
	}
	if o.Name != s.owner.Name {
		s.reporting.newOwnerSince = now
	}
	s.owner = o
}

// informed reports whether this instance knows as owner what the others have counted. One
// that takes the roll-out over has to hear from them first: the owner before may have
// been about to stop the target. It has once all that live have reported to it, which they do
// at once when the owner changes; it waits no longer than InformTime for those that don't.
func (s *service) hasAllReports(live []string, now time.Duration) bool {
	return s.isFirstOwner() || now-s.ownerSince >= TakeoverWait || s.ownerState.allReportedSince(live, s.ownerSince)
}

// ownedFromTheBegin reports whether nobody has owned the roll-out before.
func (s *service) isFirstOwner() bool {
	return s.orderSeenAt != 0 && s.ownerSince-s.orderSeenAt < reportInterval
}

// takesOver reports whether this instance has owned the roll-out for so short a time that it may
// lack evidence which others have.
func (s *service) takingOver(now time.Duration) bool {
	return !s.isFirstOwner() && now-s.ownerSince < takeoverTime
}

// heardLately returns the other instances that have reported to this one lately.
func (d *ownerState) recentReporters(now time.Duration) (out []string) {
	for address, p := range d.byAddress {
		if address != "" && now-p.lastReportAt < idleTime {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return out
}

// heardAll reports whether all instances of a list have reported since a time.
func (d *ownerState) allReportedSince(live []string, since time.Duration) bool {
	for _, address := range live {
		if p := d.byAddress[address]; p == nil || p.lastReportAt < since {
			return false
		}
	}
	return true
}

// answer answers a report. Without most of the instances, or their counts, it gives no
// lease. The caller holds the lock.
func (r *Controller) newReply(s *service, seq byte, now time.Duration) *reply {
	x := &reply{service: s.hash, order: s.Order.ID, seq: seq, halted: s.ownerState.halted, ownerClock: r.clockStamp(now)}
	if !r.enoughLive() || !s.hasAllReports(r.live, now) {
		x.seq = 0
	}
	if !s.Record.isFor(s.Order) {
		return x
	}
	x.phase = s.Record.Phase
	x.halted = x.halted && x.phase != Completed
	if r.storeKnown {
		store := now + r.storeOffset
		x.hasRemaining = true
		x.remaining = max(0, s.boundEnd()-store)
		x.stepDueSoon = x.phase == Canary && store >= s.promoteAt(r.Bounds.Share)-urgentBeforePromotion
	}
	if x.phase == Canary {
		x.allLacking, x.lackingRoutes = s.ownerState.lacking()
	}
	return x
}

// lacking are the routes that lack evidence, and whether it is lacking in all. Answers that wait
// for their judgement count: all that an owner knows which has just taken over are such.
func (d *ownerState) lacking() (all bool, some []routeHash) {
	waiting := make(map[routeHash]Counts, len(d.analysis.routes))
	for _, p := range d.pending {
		c := waiting[p.route]
		c.add(p.counts)
		waiting[p.route] = c
	}
	total := d.analysis.all.total
	total.target.add(d.pendingTotal())
	for h, t := range d.analysis.routes {
		route := t.total
		route.target.add(waiting[h])
		if route.lacksEvidence(total) && len(some) < maxRoutes {
			some = append(some, h)
		}
	}
	return total.target.Requests < enoughResponses, some
}

// lacks reports whether a route with a part of the requests of all lacks evidence.
func (p versionCounts) lacksEvidence(all versionCounts) bool {
	enough := min(maxRouteEvidence, max(minRouteEvidence, all.target.Requests/responsesPerRouteEvidence))
	if p.target.Requests >= enough {
		return false
	}
	came := p.target.Requests + p.base.Requests
	return float64(came) >= minRouteFraction*float64(all.target.Requests+all.base.Requests)
}

// tellAll tells all instances at once that the target is stopped.
func (r *Controller) broadcast(s *service, now time.Duration) (out []message) {
	text := r.newReply(s, 0, now).encode()
	for _, address := range r.live {
		if address != "" {
			out = append(out, message{address, text})
		}
	}
	return out
}

// tellSilent tells the instances of a promotion that have nothing to report, and so
// don't know of it.
func (r *Controller) notifyNonReporting(s *service, now time.Duration) (out []message) {
	d := &s.ownerState
	if d.halted || s.gate.phase != Promote || now-d.notifiedAt < reportInterval {
		return nil
	}
	d.notifiedAt = now
	text := r.newReply(s, 0, now).encode()
	for _, address := range r.live {
		p := d.byAddress[address]
		if address != "" && (p == nil || now-p.lastReportAt > maxReportAge) {
			out = append(out, message{address, text})
		}
	}
	return out
}
