// SPDX-License-Identifier: MIT

package rollout

import (
	"fmt"
	"time"
)

func (f *fleet) broken(format string, args ...any) {
	if len(f.faults) >= 3 {
		return
	}
	f.faults = append(f.faults, fmt.Sprintf("%s: ", f.now-f.began)+fmt.Sprintf(format, args...))
}

// put writes the record and checks what must hold of it.
func (f *fleet) put(record Record) {
	s := &f.store
	if old := s.record; old != nil && old.Order == record.Order {
		if old.Phase.Ended() || numberOf(record.Phase) < numberOf(old.Phase) && record.Phase != Completed {
			f.broken("record went from %s to %s", old.Phase, record.Phase)
		}
	}
	if record.Phase == Completed && record.Target != record.Before {
		f.checkDrained(record.Before)
	}
	s.revision++
	s.version++
	s.record = &record
	s.history = append(s.history, record)
	for _, o := range f.orders {
		if o.order.ID == record.Order {
			o.phase = record.Phase
			if record.Phase.Ended() {
				o.ended = f.now
			}
		}
	}
}

func (f *fleet) checkDrained(before string) {
	for _, x := range f.nodes {
		if x.dead || x.frozen || x.cutIn || x.cutOut || f.now-x.started < deadAfter {
			continue
		}
		if x.unsoundTo-x.unsoundFrom > deadAfter-beatTime && f.now-x.unsoundTo < 2*beatTime {
			continue // the others don't know yet that it is back
		}
		if x.now[before] > 0 {
			f.broken("completed while %s has %d requests at %s", x.name, x.now[before], before)
		}
	}
}

// count counts a request that is sent, and checks what must hold.
func (f *fleet) count(x *node, software string) {
	x.lastTo[software] = f.now
	if software != "v1" && !f.ordered(software) {
		f.broken("%s got a request and nobody ordered it", software)
	}
	for _, o := range f.orders {
		if o.serves || f.now > o.at+o.order.Within || o.ended > 0 && o.phase == Completed {
			continue
		}
		if o.replaced > 0 {
			f.checkReplaced(x, o, software)
		}
		if (o.replaced > 0 || o.again) && x.order != o.order {
			continue // the instance keeps the bound of the one that it knows
		}
		if o.promised && f.now < o.at+promisedFor {
			continue // what it has said of the one before holds until then
		}
		o.all++
		if software == o.order.Target && software != "v1" {
			o.target++
			if float64(o.target) > f.bounds.Share*float64(o.all)+f.bounds.Slack {
				f.broken("target has %d of %d", o.target, o.all)
			}
		}
	}
	if software == "v2" {
		f.targetAll++
		f.lastTarget = f.now
		if r := f.store.record; (r == nil || r.Phase != Completed) && len(f.bad) >= 50 && f.now > f.bad[49]+f.bounds.StopWithin {
			f.broken("%s sent to the target %s after its 50th bad answer", x.name, f.now-f.bad[49])
		}
	}
	if r := f.store.record; r != nil && r.Phase == Completed && software != r.Target && f.sound(x) && f.store.order != nil && f.store.order.ID == r.Order {
		f.broken("%s sent to %s after completed", x.name, software)
	}
}

// promisedFor is for how long instances may have promised under an order to send nothing
// to the version before when another one for the same target replaces it: the last step
// of the first may be in the store by then, so the promise holds.
const promisedFor = promiseTime + time.Second

// replacedWithin is after how long nothing goes to the target of an order that was
// withdrawn or replaced: the tables have come by then, or leases have lapsed.
const replacedWithin = 2 * time.Second

// lastOf is the last order for a version.
func (f *fleet) lastOf(software string) (last *orderSeen) {
	for _, o := range f.orders {
		if o.order.Target == software {
			last = o
		}
	}
	return last
}

func (f *fleet) checkReplaced(x *node, o *orderSeen, software string) {
	if software != o.order.Target || f.lastOf(software) != o || f.now < o.replaced+replacedWithin || !f.sound(x) || f.now < f.soundSince+replacedWithin {
		return
	}
	now := f.store.order
	if (now == nil || now.Target != software) && (f.store.record == nil || f.store.record.InForce() != software) {
		f.broken("%s sent to %s, which is not ordered any more", x.name, software)
	}
}

// soundAfter is after how long a node that was frozen or cut off has read the tables.
const soundAfter = time.Second

// sound reports whether a node is connected and has been so for a while.
func (f *fleet) sound(x *node) bool {
	return !x.isUnsound() && f.now-x.unsoundTo > soundAfter && f.now-x.started > deadAfter
}

func (x *node) isUnsound() bool {
	return x.dead || x.frozen || x.cutIn || x.cutOut || x.noStore || x.f.store.away
}

// noteSound notes when the node was not sound last.
func (x *node) noteSound() {
	if !x.isUnsound() {
		return
	}
	if x.f.now-x.unsoundTo > 2*modelStep {
		x.unsoundFrom = x.f.now
	}
	x.unsoundTo = x.f.now
}
