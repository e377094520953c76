// SPDX-License-Identifier: MIT

package rollout

import (
	"slices"
	"time"
)

// decider is what the owner of a service knows of its roll-out. It is lost with the
// owner: the next one has it again after a round of reports.
type decider struct {
	reporters map[reporterKey]*reporter
	newest    map[string]*reporter // by address
	verdict   verdict
	pending   []pending // answers of the target that are not judged yet, oldest first
	halted    bool
	cause     string
	stopped   bool          // an instance has stopped by itself
	heardAt   time.Duration // of the last report
	told      time.Duration // when silent instances were told of the promotion last

	promotedAt time.Duration // zero: not promoted
	goodBefore int64         // good answers of the target until then
	goneSince  time.Duration // since when no target takes work. Zero: some does

	proposed   *Proposal // that was not confirmed yet
	proposedAt time.Duration
}

// mostReporters bounds what an owner remembers: all instances, and some incarnations.
const mostReporters = 4096

func newDecider(now time.Duration) decider {
	return decider{
		reporters: make(map[reporterKey]*reporter), newest: make(map[string]*reporter),
		verdict: newVerdict(alarm), heardAt: now,
	}
}

// reporterKey names a process that reports.
type reporterKey struct {
	address     string
	incarnation int64
}

// reporter is a process that reports.
type reporter struct {
	counts  map[routeHash]pair
	heardAt time.Duration
	// madeAfter is a time after which its last report was made.
	madeAfter time.Duration
	drained   bool
	promote   bool
}

// pending are answers of the target that wait for those of the baseline.
type pending struct {
	route  routeHash
	counts Counts
	at     time.Duration
}

// take takes up a report, unless too many processes have reported already. Counts are
// cumulative: what is lost comes with the next one.
func (d *decider) take(from string, x *report, madeAfter, now time.Duration) bool {
	key := reporterKey{from, x.incarnation}
	p := d.reporters[key]
	if p == nil {
		if len(d.reporters) >= mostReporters {
			return false
		}
		p = &reporter{counts: make(map[routeHash]pair)}
		d.reporters[key] = p
	}
	d.newest[from] = p
	d.heardAt = now
	p.heardAt = now
	p.madeAfter = madeAfter
	p.drained = x.drained
	p.promote = x.phase == Promote
	for _, c := range x.routes {
		d.count(p, c, now)
	}
	if x.halted && !d.halted {
		d.stopped = true
	}
	return true
}

// count adds what is new in the counts of a route.
func (d *decider) count(p *reporter, c routeCounts, now time.Duration) {
	old := p.counts[c.route]
	delta := c.since(old)
	p.counts[c.route] = c.newer(old)
	if delta.base.Requests > 0 {
		d.verdict.base(c.route, delta.base, now)
	}
	if delta.target.Requests > 0 {
		d.pending = append(d.pending, pending{c.route, delta.target, now})
	}
}

// settle judges the answers of the target that have waited long enough.
func (d *decider) settle(now time.Duration) {
	n := 0
	for n < len(d.pending) && now-d.pending[n].at >= settleTime {
		p := d.pending[n]
		d.verdict.target(p.route, p.counts, p.at, now)
		n++
	}
	d.pending = append(d.pending[:0], d.pending[n:]...)
}

// halt stops the target for good. It reports whether that is new.
func (d *decider) halt(cause string) bool {
	if d.halted {
		return false
	}
	d.halted = true
	d.cause = cause
	return true
}

// promoted notes that the roll-out is in its promotion.
func (d *decider) promoted(now time.Duration) {
	if d.promotedAt != 0 {
		return
	}
	d.promotedAt = now
	d.goodBefore = d.good()
}

// good is the number of good answers of the target that were judged.
func (d *decider) good() int64 {
	c := d.verdict.all.total.target
	w := d.waiting()
	return c.Requests - c.bad() + w.Requests - w.bad()
}

// waiting counts the answers of the target that are not judged yet.
func (d *decider) waiting() (c Counts) {
	for i := range d.pending {
		c.add(d.pending[i].counts)
	}
	return c
}

// waitingLooksGood reports whether nothing speaks against the target in what is not judged yet,
// either: a roll-out is completed in less time than an answer waits for its judgement.
func (d *decider) waitingLooksGood() bool {
	c, base := d.waiting(), d.verdict.all.total.base
	usual := baseFactor * float64(base.bad()) / float64(max(1, base.Requests))
	failed := baseFactor * float64(base.Failed) / float64(max(1, base.Requests))
	return float64(c.bad()) <= (usual+allowWaiting)*float64(c.Requests) &&
		float64(c.Failed) <= (failed+allowFailing)*float64(c.Requests)+chanceFailed
}

// judge judges what has been reported. It reports whether the target is stopped with
// that. The caller holds the lock.
func (r *Rollouts) judge(s *service, now time.Duration) bool {
	d := &s.decider
	if s.Record.isFor(s.Order) && s.Record.Phase.Ended() {
		return false
	}
	d.settle(now)
	cause := d.verdict.cause
	if cause == "" && d.stopped {
		cause = "an instance has stopped"
	}
	if cause == "" || d.completing(now) || !d.halt(cause) {
		return false
	}
	s.gate.halted = true
	s.gate.promised = 0
	r.note(s, "target-stopped", cause, &d.verdict, now-d.heardAt)
	return true
}

// completing reports whether the last step may be in the store. Instances must not turn
// back then.
func (d *decider) completing(now time.Duration) bool {
	return d.proposed != nil && d.proposed.Record.Phase == Completed && now-d.proposedAt < completeTime
}

// ownedBy notes who decides.
func (s *service) ownedBy(o Owner, now time.Duration) {
	if o.here() && !s.owner.here() {
		s.ownsSince = now
	}
	if s.owner.here() && !o.here() {
		s.gaveUp = true
	}
	if o.Name != s.owner.Name {
		s.reports.newOwner = now
	}
	s.owner = o
}

// informed reports whether this instance knows as owner what the others have counted. One
// that takes the roll-out over has to hear from them first: the owner before may have
// been about to stop the target. It has once all that live have reported to it, which they do
// at once when the owner changes; it waits no longer than InformTime for those that don't.
func (s *service) informed(live []string, now time.Duration) bool {
	return s.ownedFromTheBegin() || now-s.ownsSince >= InformTime || s.decider.heardAll(live, s.ownsSince)
}

// ownedFromTheBegin reports whether nobody has owned the roll-out before.
func (s *service) ownedFromTheBegin() bool { return s.seen != 0 && s.ownsSince-s.seen < reportPause }

// takesOver reports whether this instance has owned the roll-out for so short a time that it may
// lack evidence which others have.
func (s *service) takesOver(now time.Duration) bool {
	return !s.ownedFromTheBegin() && now-s.ownsSince < takeOverTime
}

// heardLately returns the other instances that have reported to this one lately.
func (d *decider) heardLately(now time.Duration) (out []string) {
	for address, p := range d.newest {
		if address != "" && now-p.heardAt < idleAfter {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return out
}

// heardAll reports whether all instances of a list have reported since a time.
func (d *decider) heardAll(live []string, since time.Duration) bool {
	for _, address := range live {
		if p := d.newest[address]; p == nil || p.heardAt < since {
			return false
		}
	}
	return true
}

// answer answers a report. Without most of the instances, or their counts, it gives no
// lease. The caller holds the lock.
func (r *Rollouts) answer(s *service, seq byte, now time.Duration) *answer {
	x := &answer{service: s.hash, order: s.Order.ID, seq: seq, halted: s.decider.halted, stamp: r.stamp(now)}
	if !r.mostly() || !s.informed(r.live, now) {
		x.seq = 0
	}
	if !s.Record.isFor(s.Order) {
		return x
	}
	x.phase = s.Record.Phase
	x.halted = x.halted && x.phase != Completed
	if r.storeKnown {
		store := now + r.storeOffset
		x.timed = true
		x.left = max(0, s.unbounded()-store)
		x.soon = x.phase == Canary && store >= s.promoteAt(r.Bounds.Share)-hastyBefore
	}
	if x.phase == Canary {
		x.allLacking, x.lacking = s.decider.lacking()
	}
	return x
}

// lacking are the routes that lack evidence, and whether it is lacking in all. Answers that wait
// for their judgement count: all that an owner knows which has just taken over are such.
func (d *decider) lacking() (all bool, some []routeHash) {
	waiting := make(map[routeHash]Counts, len(d.verdict.routes))
	for _, p := range d.pending {
		c := waiting[p.route]
		c.add(p.counts)
		waiting[p.route] = c
	}
	total := d.verdict.all.total
	total.target.add(d.waiting())
	for h, t := range d.verdict.routes {
		route := t.total
		route.target.add(waiting[h])
		if route.lacks(total) && len(some) < mostRoutes {
			some = append(some, h)
		}
	}
	return total.target.Requests < enoughAnswers, some
}

// lacks reports whether a route with a part of the requests of all lacks evidence.
func (p pair) lacks(all pair) bool {
	enough := min(routeAnswers, max(leastRouteAnswers, all.target.Requests/answersForOne))
	if p.target.Requests >= enough {
		return false
	}
	came := p.target.Requests + p.base.Requests
	return float64(came) >= routePart*float64(all.target.Requests+all.base.Requests)
}

// tellAll tells all instances at once that the target is stopped.
func (r *Rollouts) tellAll(s *service, now time.Duration) (out []message) {
	text := r.answer(s, 0, now).encode()
	for _, address := range r.live {
		if address != "" {
			out = append(out, message{address, text})
		}
	}
	return out
}

// tellSilent tells the instances of a promotion that have nothing to report, and so
// don't know of it.
func (r *Rollouts) tellSilent(s *service, now time.Duration) (out []message) {
	d := &s.decider
	if d.halted || s.gate.phase != Promote || now-d.told < reportPause {
		return nil
	}
	d.told = now
	text := r.answer(s, 0, now).encode()
	for _, address := range r.live {
		p := d.newest[address]
		if address != "" && (p == nil || now-p.heardAt > freshTime) {
			out = append(out, message{address, text})
		}
	}
	return out
}
