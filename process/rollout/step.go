// SPDX-License-Identifier: MIT

package rollout

import (
	"fmt"
	"time"

	"shalewick/version"
)

// Proposals returns the steps that this instance, as the owner, wants written. Now is
// the store's steady clock.
func (r *Controller) Proposals(now time.Duration) (out []Proposal) {
	seen := r.collectServiceInfo()
	live := r.Live()
	r.mu.Lock()
	defer r.unlock()
	own := r.Now()
	r.setLive(live, own)
	r.storeOffset = now - own
	r.storeKnown = true
	for name, x := range seen {
		s := r.services[name]
		if s == nil {
			continue
		}
		s.setOwner(x.owner, own)
		if !s.owner.here() {
			continue
		}
		if p := r.propose(s, now, own); p != nil {
			out = append(out, *p)
		}
	}
	return out
}

// Written tells that a proposal is in the store, and the revision of its row.
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

// propose returns the step that is due, unless it was proposed just now.
func (r *Controller) propose(s *service, store, now time.Duration) *Proposal {
	record := r.nextRecord(s, store, now)
	if record == nil {
		return nil
	}
	d := &s.ownerState
	p := &Proposal{Record: *record, Revision: s.Revision}
	if old := d.proposed; old != nil && old.Revision == p.Revision && old.Record.Phase == p.Record.Phase && old.Record.Order == p.Record.Order {
		if now-d.proposedAt < proposeInterval {
			return nil
		}
	} else if s.stats != nil {
		r.logEvent(s, "step-"+string(record.Phase), record.Cause, &d.analysis, now-d.lastReportAt)
	}
	d.proposed, d.proposedAt = p, now
	return p
}

// step returns the record as it should be, or nil if it should be as it is.
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

// lost reports whether the store lacks the record as it is known here, or has it under an order
// that the operator has written again since.
func (s *service) needsRestore() bool {
	if s.Record == nil {
		return false
	}
	return s.RecordLost || s.Record.isFor(s.Order) && s.Record.Epoch < s.Order.Epoch
}

// restored returns the record as it has to be written again.
func (s *service) restoredRecord() *Record {
	x := *s.Record
	if s.Record.isFor(s.Order) && s.Record.Epoch < s.Order.Epoch {
		x.Order, x.Epoch = s.Order.ID, s.Order.Epoch
	}
	return &x
}

// revert returns the record with the roll-out given up.
func (s *service) revertedRecord(cause string) *Record {
	x := *s.Record
	x.Phase = Reverted
	x.Cause = cause
	x.Evidence = s.ownerState.evidence()
	return &x
}

// evidence is what is known, in words.
func (d *ownerState) evidence() string {
	total := d.analysis.all.total
	return fmt.Sprintf("target: %s; before: %s", total.target, total.base)
}

// firstStep returns the first record of an order.
func (s *service) firstRecord(store, now time.Duration) *Record {
	began := s.orderedAt(store, now)
	x := &Record{
		Service: s.Name, Order: s.Order.ID, Epoch: s.Order.Epoch, Target: s.Order.Target, Within: version.Duration(s.Order.Within),
		Previous: s.InForce, Phase: Canary,
		StartedAt: version.Duration(began), Deadline: version.Duration(s.deadline(began)),
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

// orderedAt is when this instance saw the present order, by the store's clock. It is a
// little later than when the order was given.
func (s *service) orderedAt(store, now time.Duration) time.Duration {
	if s.orderSeenAt == 0 {
		return store
	}
	return store - (now - s.orderSeenAt)
}

// deadline is when the present order must be through if it was seen at a time.
func (s *service) deadline(seen time.Duration) time.Duration {
	return seen + max(0, s.Order.Within-maxOrderDelay)
}

// nonsense says what is wrong with an order, if anything is.
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

// reorder returns the record for an order that asks again for what runs.
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

// promoteAt is when the promotion is due, by the store's clock: so long before the share
// is no longer bounded that the rest of it lasts until then. An earlier one would run
// out of it, and send requests to the version before again.
func (s *service) promoteAt(share float64) time.Duration {
	return s.boundEnd() - s.promotionTime(share)
}

// promotionLasts is for how long before the end of the bound all requests may go to the
// target.
func (s *service) promotionTime(share float64) time.Duration {
	return time.Duration(promotionFraction * (promoteFraction - canaryFraction) * share * float64(s.Order.Within))
}

// unbounded is when the share is no longer bounded, by the store's clock: the order's
// deadline if it travelled as long as is allowed for.
func (s *service) boundEnd() time.Duration { return time.Duration(s.Record.Deadline) + maxOrderDelay }

// endCanary promotes the target when it is time, and gives it up when it is too late.
func (r *Controller) canaryStep(s *service, store, now time.Duration) *Record {
	if store < s.promoteAt(r.Bounds.Share) {
		return nil
	}
	lack := r.missingForPromotion(s)
	if lack == "" && r.enoughLive() {
		x := *s.Record
		x.Phase = Promote
		x.Evidence = s.ownerState.evidence()
		return &x
	}
	late := store - (time.Duration(s.Record.Deadline) - revertMargin)
	if late < 0 || late < maxTakeoverDelay && s.takingOver(now) {
		return nil
	}
	if lack == "" {
		lack = "most instances do not answer"
	}
	return s.revertedRecord(lack)
}

// lack says what is lacking for a promotion, if anything is.
func (r *Controller) missingForPromotion(s *service) string {
	total := s.ownerState.analysis.all.total
	given := minShareUsed * canaryFraction * r.Bounds.Share * float64(total.base.Requests+total.target.Requests)
	n := total.target.Requests
	switch {
	case n < enoughResponses && (n < minResponses || float64(n) < given):
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

// endPromotion completes the roll-out once no instance has anything at the version
// before, and none will send anything there.
func (r *Controller) promotionStep(s *service, store, now time.Duration) *Record {
	d := &s.ownerState
	if s.rotation.slots > 0 || s.InForceSlots == 0 {
		d.targetGoneSince = 0
	} else if d.targetGoneSince == 0 {
		d.targetGoneSince = now
	}
	if d.targetGoneSince > 0 && now-d.targetGoneSince >= maxTargetGone {
		return s.revertedRecord("target is gone")
	}
	if s.canKeepWatching(r.Bounds.Share, store, now) || !d.confirmed(now) || !r.allDrained(s, now) {
		return nil
	}
	x := *s.Record
	x.Phase = Completed
	x.Evidence = d.evidence()
	return &x
}

// mayWait reports whether there is time to watch the target under all requests, where a
// fault may show that a small share did not bring about.
func (s *service) canKeepWatching(share float64, store, now time.Duration) bool {
	before := min(max(minCompletionMargin, s.promotionTime(share)/2), maxCompletionMargin)
	return store < s.boundEnd()-before && now-s.ownerState.promotedAt < maxWatchTime
}

// confirmed reports whether the target has held under all requests.
func (d *ownerState) confirmed(now time.Duration) bool {
	return d.promotedAt != 0 && !d.analysis.inDoubt() && d.pendingLooksGood() && (d.goodResponses()-d.goodAtPromotion >= confirmingResponses || now-d.promotedAt >= quietTime)
}

// allDrained reports whether each live instance has said lately that nothing is at the
// version before, and that nothing goes there.
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

func (d *ownerState) isDrained(address string, now time.Duration) bool {
	p := d.byAddress[address]
	return p != nil && p.inPromotion && p.drained && p.madeAfter > 0 && now-p.madeAfter <= maxReportAge
}
