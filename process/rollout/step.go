// SPDX-License-Identifier: MIT

package rollout

import (
	"fmt"
	"time"

	"shalewick/version"
)

// Proposals returns the steps that this instance, as the owner, wants to write to the store. Now is
// the store's monotonic clock.
func (r *Controller) Proposals(now time.Duration) (out []Proposal) {
	infos := r.collectServiceInfo()
	live := r.Live()
	r.mu.Lock()
	defer r.unlock()
	localNow := r.Now()
	r.setLive(live, localNow)
	r.storeOffset = now - localNow
	r.storeKnown = true
	for name, x := range infos {
		s := r.services[name]
		if s == nil {
			continue
		}
		s.setOwner(x.owner, localNow)
		if !s.owner.here() {
			continue
		}
		if p := r.propose(s, now, localNow); p != nil {
			out = append(out, *p)
		}
	}
	return out
}

// Confirm records that a proposal has been written to the store, and the revision of its row.
func (r *Controller) Confirm(p Proposal, revision int64) {
	r.mu.Lock()
	defer r.unlock()
	s := r.services[p.Record.Service]
	if s == nil || revision <= s.Revision {
		return
	}
	record := p.Record
	s.Record, s.Revision = &record, revision
	s.ownerState.proposed = nil
	if s.stats != nil {
		r.applyRecord(s, r.Now())
	}
}

// propose returns the step that is due, unless it was proposed less than proposeInterval ago.
func (r *Controller) propose(s *service, store, now time.Duration) *Proposal {
	record := r.nextRecord(s, store, now)
	if record == nil {
		return nil
	}
	o := &s.ownerState
	p := &Proposal{Record: *record, Revision: s.Revision}
	if old := o.proposed; old != nil && old.Revision == p.Revision && old.Record.Phase == p.Record.Phase && old.Record.Order == p.Record.Order {
		if now-o.proposedAt < proposeInterval {
			return nil
		}
	} else if s.stats != nil {
		r.logEvent(s, "step-"+string(record.Phase), record.Cause, &o.analysis, now-o.lastReportAt)
	}
	o.proposed, o.proposedAt = p, now
	return p
}

// nextRecord returns the record that should replace the present one, or nil if none should.
func (r *Controller) nextRecord(s *service, store, now time.Duration) *Record {
	switch order, record := s.Order, s.Record; {
	case s.needsRestore():
		return s.restoredRecord()
	case order == nil && (record == nil || record.Phase.Ended()):
		return nil
	case order == nil:
		return s.revertedRecord("order withdrawn")
	case record.isFor(order) && record.Phase.Ended():
		return nil
	case record.isFor(order) && s.ownerState.halted:
		return s.revertedRecord(s.ownerState.cause)
	case record.isFor(order) && record.Phase == Canary:
		return r.canaryStep(s, store, now)
	case record.isFor(order):
		return r.promotionStep(s, store, now)
	case record != nil && !record.Phase.Ended() && record.Target == order.Target:
		return s.reorderedRecord(store, now)
	}
	return s.firstRecord(store, now)
}

// needsRestore reports whether the store has lost the record that this instance knows, or has it
// under an order that the operator has written again since.
func (s *service) needsRestore() bool {
	if s.Record == nil {
		return false
	}
	return s.RecordLost || s.Record.isFor(s.Order) && s.Record.Epoch < s.Order.Epoch
}

// restoredRecord returns the record to write to the store again.
func (s *service) restoredRecord() *Record {
	x := *s.Record
	if s.Record.isFor(s.Order) && s.Record.Epoch < s.Order.Epoch {
		x.Order, x.Epoch = s.Order.ID, s.Order.Epoch
	}
	return &x
}

// revertedRecord returns the record of a reverted rollout.
func (s *service) revertedRecord(cause string) *Record {
	x := *s.Record
	x.Phase = Reverted
	x.Cause = cause
	x.Evidence = s.ownerState.evidence()
	return &x
}

// evidence returns the counts of both versions as text.
func (o *ownerState) evidence() string {
	total := o.analysis.all.total
	return fmt.Sprintf("target: %s; before: %s", total.target, total.base)
}

// firstRecord returns the first record of an order.
func (s *service) firstRecord(store, now time.Duration) *Record {
	startedAt := s.orderedAt(store, now)
	x := &Record{
		Service: s.Name, Order: s.Order.ID, Epoch: s.Order.Epoch, Target: s.Order.Target, Within: version.Duration(s.Order.Within),
		Previous: s.InForce, Phase: Canary,
		StartedAt: version.Duration(startedAt), Deadline: version.Duration(s.deadline(startedAt)),
	}
	if s.Record != nil {
		x.Previous = s.Record.InForce()
	}
	cause := s.Order.invalidReason()
	if cause == "" && s.Unknown {
		cause = "order for a service that is not there"
	}
	if cause != "" {
		x.Phase, x.Cause = Reverted, cause
		return x
	}
	if x.Target == x.Previous {
		x.Phase = Completed
	}
	return x
}

// orderedAt returns when this instance first saw the present order, by the store's clock. That is
// slightly later than the order was written.
func (s *service) orderedAt(store, now time.Duration) time.Duration {
	if s.orderSeenAt == 0 {
		return store
	}
	return store - (now - s.orderSeenAt)
}

// deadline returns when the present order has to be complete if it was seen at a time.
func (s *service) deadline(seen time.Duration) time.Duration {
	return seen + max(0, s.Order.Within-maxOrderDelay)
}

// invalidReason returns why an order is invalid, or "".
func (o *Order) invalidReason() string {
	switch {
	case o.Target == "":
		return "order without a target"
	case o.Within <= 0:
		return "order without time"
	case o.Within > version.MaxRollout:
		return "order with more time than a day"
	}
	return ""
}

// reorderedRecord returns the record for an order that repeats the order of the running rollout.
func (s *service) reorderedRecord(store, now time.Duration) *Record {
	x := *s.Record
	x.Order, x.Epoch, x.Within = s.Order.ID, s.Order.Epoch, version.Duration(s.Order.Within)
	x.Deadline = version.Duration(s.deadline(s.orderedAt(store, now)))
	if s.ownerState.halted {
		x.Phase, x.Cause = Reverted, s.ownerState.cause
		x.Evidence = s.ownerState.evidence()
	}
	if cause := s.Order.invalidReason(); cause != "" {
		x.Phase, x.Cause = Reverted, cause
	}
	return &x
}

// promoteAt returns when the promotion is due, by the store's clock. It is chosen so that the
// unused part of the share lasts until the limit on the share ends. An earlier promotion would use
// it up and then send requests to the previous version again.
func (s *service) promoteAt(share float64) time.Duration {
	return s.shareLimitEnd() - s.promotionTime(share)
}

// promotionTime returns how long before the limit on the share ends all requests may go to the
// target.
func (s *service) promotionTime(share float64) time.Duration {
	return time.Duration(promotionFraction * (promoteFraction - canaryFraction) * share * float64(s.Order.Within))
}

// shareLimitEnd returns when the limit on the share ends, by the store's clock: the order's deadline if
// the order took maxOrderDelay to arrive.
func (s *service) shareLimitEnd() time.Duration {
	return time.Duration(s.Record.Deadline) + maxOrderDelay
}

// canaryStep promotes the target once that is due, and reverts the rollout if evidence is still
// lacking shortly before the deadline.
func (r *Controller) canaryStep(s *service, store, now time.Duration) *Record {
	if store < s.promoteAt(r.Bounds.Share) {
		return nil
	}
	missing := r.missingForPromotion(s)
	if missing == "" && r.enoughLive() {
		x := *s.Record
		x.Phase = Promote
		x.Evidence = s.ownerState.evidence()
		return &x
	}
	overdue := store - (time.Duration(s.Record.Deadline) - revertMargin)
	if overdue < 0 || overdue < maxTakeoverDelay && s.takingOver(now) {
		return nil
	}
	if missing == "" {
		missing = "most instances do not answer"
	}
	return s.revertedRecord(missing)
}

// missingForPromotion returns why the target can't be promoted, or "".
func (r *Controller) missingForPromotion(s *service) string {
	total := s.ownerState.analysis.all.total
	minUsed := minShareUsed * canaryFraction * r.Bounds.Share * float64(total.base.Requests+total.target.Requests)
	n := total.target.Requests
	switch {
	case n < enoughResponses && (n < minResponses || float64(n) < minUsed):
		return fmt.Sprintf("too little evidence: %d answers of the target", n)
	case s.ownerState.analysis.inDoubt():
		return "target is in doubt"
	case float64(s.rotation.slots) < minSlotRatio*float64(s.InForceSlots):
		return fmt.Sprintf("target has %d slots, of %d that are needed beside", s.rotation.slots, s.InForceSlots)
	}
	for _, t := range s.ownerState.analysis.routes {
		if t.total.lacksEvidence(total) {
			return fmt.Sprintf("too little evidence: a route with %d answers of the target", t.total.target.Requests)
		}
	}
	return ""
}

// promotionStep completes the rollout once no instance has a request at the previous version and
// none will send one there. It reverts the rollout if the target is gone.
func (r *Controller) promotionStep(s *service, store, now time.Duration) *Record {
	o := &s.ownerState
	if s.rotation.slots > 0 || s.InForceSlots == 0 {
		o.targetGoneSince = 0
	} else if o.targetGoneSince == 0 {
		o.targetGoneSince = now
	}
	if o.targetGoneSince > 0 && now-o.targetGoneSince >= maxTargetGone {
		return s.revertedRecord("target is gone")
	}
	if s.canKeepWatching(r.Bounds.Share, store, now) || !o.confirmed(now) || !r.allDrained(s, now) {
		return nil
	}
	x := *s.Record
	x.Phase = Completed
	x.Evidence = o.evidence()
	return &x
}

// canKeepWatching reports whether there is time to observe the target under all requests. That may
// show faults that don't occur with a small share.
func (s *service) canKeepWatching(share float64, store, now time.Duration) bool {
	margin := min(max(minCompletionMargin, s.promotionTime(share)/2), maxCompletionMargin)
	return store < s.shareLimitEnd()-margin && now-s.ownerState.promotedAt < maxWatchTime
}

// confirmed reports whether the target has performed well under all requests.
func (o *ownerState) confirmed(now time.Duration) bool {
	return o.promotedAt != 0 && !o.analysis.inDoubt() && o.pendingLooksGood() && (o.goodResponses()-o.goodAtPromotion >= confirmingResponses || now-o.promotedAt >= quietTime)
}

// allDrained reports whether each live instance has recently reported that it has nothing in flight
// at the previous version and will send nothing there.
func (r *Controller) allDrained(s *service, now time.Duration) bool {
	if !r.enoughLive() {
		return false
	}
	if !s.ownerState.isDrained("", now) {
		return false
	}
	for _, address := range r.live {
		if !s.ownerState.isDrained(address, now) {
			return false
		}
	}
	return true
}

func (o *ownerState) isDrained(address string, now time.Duration) bool {
	p := o.byAddress[address]
	return p != nil && p.inPromotion && p.drained && p.madeAfter > 0 && now-p.madeAfter <= maxReportAge
}
