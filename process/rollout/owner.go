// SPDX-License-Identifier: MIT

package rollout

import (
	"slices"
	"time"
)

// ownerState is what the owner of a service has collected about its rollout. It exists only in the
// owner's memory: a new owner rebuilds it from one round of reports.
type ownerState struct {
	reporters      map[reporterKey]*reporter
	byAddress      map[string]*reporter // newest reporter at each address
	analysis       analysis
	pending        []pendingCounts // target responses that are not analysed yet, oldest first
	halted         bool
	cause          string
	instanceHalted bool          // an instance halted the target on its own
	lastReportAt   time.Duration // time of the last report
	notifiedAt     time.Duration // when non-reporting instances were last notified of the promotion

	promotedAt      time.Duration // zero: not promoted
	goodAtPromotion int64         // good target responses before the promotion
	targetGoneSince time.Duration // since when no target backend server accepts requests; zero: one does

	proposed   *Proposal // last proposed step, until it is confirmed
	proposedAt time.Duration
}

// maxReporters limits how many reporting processes an owner remembers. It covers all instances and
// some restarts of each.
const maxReporters = 4096

func newOwnerState(now time.Duration) ownerState {
	return ownerState{
		reporters: make(map[reporterKey]*reporter), byAddress: make(map[string]*reporter),
		analysis: newAnalysis(alarmThreshold), lastReportAt: now,
	}
}

// reporterKey identifies a reporting process: one incarnation of the instance at an address.
type reporterKey struct {
	address     string
	incarnation int64
}

// reporter holds the last report of a process.
type reporter struct {
	counts       map[routeHash]versionCounts
	lastReportAt time.Duration
	// madeAfter is a lower bound of when its last report was made.
	madeAfter   time.Duration
	drained     bool
	inPromotion bool
}

// pendingCounts are target responses that wait for the baseline responses of the same time.
type pendingCounts struct {
	route  routeHash
	counts Counts
	at     time.Duration
}

// addReport adds a report. It returns false if too many processes have already reported. Counts are
// cumulative, so the next report makes up for a lost one.
func (o *ownerState) addReport(from string, x *report, madeAfter, now time.Duration) bool {
	key := reporterKey{from, x.incarnation}
	p := o.reporters[key]
	if p == nil {
		if len(o.reporters) >= maxReporters {
			return false
		}
		p = &reporter{counts: make(map[routeHash]versionCounts)}
		o.reporters[key] = p
	}
	o.byAddress[from] = p
	o.lastReportAt = now
	p.lastReportAt = now
	p.madeAfter = madeAfter
	p.drained = x.drained
	p.inPromotion = x.phase == Promote
	for _, c := range x.routes {
		o.addCounts(p, c, now)
	}
	if x.halted && !o.halted {
		o.instanceHalted = true
	}
	return true
}

// addCounts adds the increase in the counts of a route since the last report.
func (o *ownerState) addCounts(p *reporter, c routeCounts, now time.Duration) {
	old := p.counts[c.route]
	delta := c.since(old)
	p.counts[c.route] = c.max(old)
	if delta.base.Requests > 0 {
		o.analysis.addBase(c.route, delta.base, now)
	}
	if delta.target.Requests > 0 {
		o.pending = append(o.pending, pendingCounts{c.route, delta.target, now})
	}
}

// analysePending analyses the target responses that have waited for baselineWait.
func (o *ownerState) analysePending(now time.Duration) {
	n := 0
	for n < len(o.pending) && now-o.pending[n].at >= baselineWait {
		p := o.pending[n]
		o.analysis.addTarget(p.route, p.counts, p.at, now)
		n++
	}
	o.pending = append(o.pending[:0], o.pending[n:]...)
}

// halt halts the target permanently. It returns false if it was halted before.
func (o *ownerState) halt(cause string) bool {
	if o.halted {
		return false
	}
	o.halted = true
	o.cause = cause
	return true
}

// markPromoted records when the promotion began.
func (o *ownerState) markPromoted(now time.Duration) {
	if o.promotedAt != 0 {
		return
	}
	o.promotedAt = now
	o.goodAtPromotion = o.goodResponses()
}

// goodResponses returns how many good responses the target gave, those not analysed yet included.
func (o *ownerState) goodResponses() int64 {
	c := o.analysis.all.total.target
	w := o.pendingTotal()
	return c.Requests - c.bad() + w.Requests - w.bad()
}

// pendingTotal returns the sum of the target responses that are not analysed yet.
func (o *ownerState) pendingTotal() (c Counts) {
	for i := range o.pending {
		c.add(o.pending[i].counts)
	}
	return c
}

// pendingLooksGood reports whether the responses that are not analysed yet are no reason against
// the target either. A rollout can complete sooner than a response has waited for baselineWait.
func (o *ownerState) pendingLooksGood() bool {
	c, base := o.pendingTotal(), o.analysis.all.total.base
	badRate := allowedFailedFactor * float64(base.bad()) / float64(max(1, base.Requests))
	failedRate := allowedFailedFactor * float64(base.Failed) / float64(max(1, base.Requests))
	return float64(c.bad()) <= (badRate+allowPendingBad)*float64(c.Requests) &&
		float64(c.Failed) <= (failedRate+allowPendingFailed)*float64(c.Requests)+pendingFailedByChance
}

// evaluate analyses the reports received so far, and returns true if that halts the target. The
// caller holds the lock.
func (r *Controller) evaluate(s *service, now time.Duration) bool {
	o := &s.ownerState
	if s.Record.isFor(s.Order) && s.Record.Phase.Ended() {
		return false
	}
	o.analysePending(now)
	cause := o.analysis.cause
	if cause == "" && o.instanceHalted {
		cause = "an instance has stopped"
	}
	if cause == "" || o.completionInFlight(now) || !o.halt(cause) {
		return false
	}
	s.gate.halted = true
	s.gate.drainedUntil = 0
	r.logEvent(s, "target-stopped", cause, &o.analysis, now-o.lastReportAt)
	return true
}

// completionInFlight reports whether the completed step may already be in the store. Instances must
// not go back to the previous version then.
func (o *ownerState) completionInFlight(now time.Duration) bool {
	return o.proposed != nil && o.proposed.Record.Phase == Completed && now-o.proposedAt < completionTimeout
}

// setOwner records which instance owns the rollout, and when ownership changed.
func (s *service) setOwner(o Owner, now time.Duration) {
	if o.here() && !s.owner.here() {
		s.ownerSince = now
	}
	if s.owner.here() && !o.here() {
		s.lostOwnership = true
	}
	if o.Name != s.owner.Name {
		s.reportState.newOwnerSince = now
	}
	s.owner = o
}

// hasAllReports reports whether this instance, as the owner, knows the counts of the other
// instances. A new owner has to receive their reports before it decides, since the previous owner
// may have been about to halt the target. Instances report at once when the owner changes. The
// owner waits until all live instances have reported, but at most TakeoverWait.
func (s *service) hasAllReports(live []string, now time.Duration) bool {
	return s.isFirstOwner() || now-s.ownerSince >= TakeoverWait || s.ownerState.allReportedSince(live, s.ownerSince)
}

// isFirstOwner reports whether no other instance owned the rollout before.
func (s *service) isFirstOwner() bool {
	return s.orderSeenAt != 0 && s.ownerSince-s.orderSeenAt < reportInterval
}

// takingOver reports whether this instance became the owner so recently that it may lack evidence
// that other instances have.
func (s *service) takingOver(now time.Duration) bool {
	return !s.isFirstOwner() && now-s.ownerSince < takeoverTime
}

// recentReporters returns the other instances that have reported to this one within idleTime.
func (o *ownerState) recentReporters(now time.Duration) (out []string) {
	for address, p := range o.byAddress {
		if address != "" && now-p.lastReportAt < idleTime {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return out
}

// allReportedSince reports whether each live instance has reported since the given time.
func (o *ownerState) allReportedSince(live []string, since time.Duration) bool {
	for _, address := range live {
		if p := o.byAddress[address]; p == nil || p.lastReportAt < since {
			return false
		}
	}
	return true
}

// newReply returns the owner's reply to a report. The reply grants no lease if this instance lacks
// the reports of the others, or sees fewer than half of the instances. The caller holds the lock.
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
		x.remaining = max(0, s.shareLimitEnd()-store)
		x.stepDueSoon = x.phase == Canary && store >= s.promoteAt(r.Bounds.Share)-urgentBeforePromotion
	}
	if x.phase == Canary {
		x.allLacking, x.lackingRoutes = s.ownerState.lacking()
	}
	return x
}

// lacking returns the routes that lack evidence, and whether the service as a whole does. Responses
// that are not analysed yet count as evidence: a new owner has no others.
func (o *ownerState) lacking() (all bool, routes []routeHash) {
	pending := make(map[routeHash]Counts, len(o.analysis.routes))
	for _, p := range o.pending {
		c := pending[p.route]
		c.add(p.counts)
		pending[p.route] = c
	}
	total := o.analysis.all.total
	total.target.add(o.pendingTotal())
	for h, t := range o.analysis.routes {
		route := t.total
		route.target.add(pending[h])
		if route.lacksEvidence(total) && len(routes) < maxRoutes {
			routes = append(routes, h)
		}
	}
	return total.target.Requests < enoughResponses, routes
}

// lacksEvidence reports whether a route has a significant part of all requests but too few target
// responses.
func (p versionCounts) lacksEvidence(all versionCounts) bool {
	enough := min(maxRouteEvidence, max(minRouteEvidence, all.target.Requests/responsesPerRouteEvidence))
	if p.target.Requests >= enough {
		return false
	}
	requests := p.target.Requests + p.base.Requests
	return float64(requests) >= minRouteFraction*float64(all.target.Requests+all.base.Requests)
}

// broadcast returns messages that notify all instances that the target is halted.
func (r *Controller) broadcast(s *service, now time.Duration) (out []message) {
	payload := r.newReply(s, 0, now).encode()
	for _, address := range r.live {
		if address != "" {
			out = append(out, message{address, payload})
		}
	}
	return out
}

// notifyNonReporting returns messages to the instances that have not reported lately during a
// promotion. They have nothing to report and so get no reply that would contain the promotion.
func (r *Controller) notifyNonReporting(s *service, now time.Duration) (out []message) {
	o := &s.ownerState
	if o.halted || s.gate.phase != Promote || now-o.notifiedAt < reportInterval {
		return nil
	}
	o.notifiedAt = now
	payload := r.newReply(s, 0, now).encode()
	for _, address := range r.live {
		p := o.byAddress[address]
		if address != "" && (p == nil || now-p.lastReportAt > maxReportAge) {
			out = append(out, message{address, payload})
		}
	}
	return out
}
