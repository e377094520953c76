// SPDX-License-Identifier: MIT

package rollout

import (
	"fmt"
	"time"
)

func (f *fleet) violate(format string, args ...any) {
	if len(f.violations) >= 3 {
		return
	}
	f.violations = append(f.violations, fmt.Sprintf("%s: ", f.now-f.startedAt)+fmt.Sprintf(format, args...))
}

// put writes the record and checks its invariants.
func (f *fleet) put(record Record) {
	s := &f.store
	if old := s.record; old != nil && old.Order == record.Order {
		if old.Phase.Ended() || phaseNumber(record.Phase) < phaseNumber(old.Phase) && record.Phase != Completed {
			f.violate("record went from %s to %s", old.Phase, record.Phase)
		}
	}
	if record.Phase == Completed && record.Target != record.Previous {
		f.checkDrained(record.Previous)
	}
	s.revision++
	s.version++
	s.record = &record
	s.history = append(s.history, record)
	for _, o := range f.orderHistory {
		if o.order.ID == record.Order {
			o.phase = record.Phase
			if record.Phase.Ended() {
				o.endedAt = f.now
			}
		}
	}
}

func (f *fleet) checkDrained(previous string) {
	for _, x := range f.nodes {
		if x.down || x.frozen || x.incomingCut || x.outgoingCut || f.now-x.startedAt < unresponsiveAfter {
			continue
		}
		if x.disconnectedTo-x.disconnectedFrom > unresponsiveAfter-heartbeatInterval && f.now-x.disconnectedTo < 2*heartbeatInterval {
			continue // the others have not noticed yet that it is back
		}
		if x.inFlight[previous] > 0 {
			f.violate("completed while %s has %d requests at %s", x.name, x.inFlight[previous], previous)
		}
	}
}

// count counts a request and checks the invariants that concern it.
func (f *fleet) count(x *node, software string) {
	x.lastSentTo[software] = f.now
	if software != "v1" && !f.ordered(software) {
		f.violate("%s got a request without an order", software)
	}
	for _, o := range f.orderHistory {
		if o.alreadyInForce || f.now > o.orderedAt+o.order.Within || o.endedAt > 0 && o.phase == Completed {
			continue
		}
		if o.replacedAt > 0 {
			f.checkReplaced(x, o, software)
		}
		if (o.replacedAt > 0 || o.repeated) && x.order != o.order {
			continue // the instance applies the limit of the order that it knows
		}
		if o.duringPromotion && f.now < o.orderedAt+maxPromiseTime {
			continue // a drain promise under the previous order is still valid
		}
		o.requests++
		if software == o.order.Target && software != "v1" {
			o.targetRequests++
			if float64(o.targetRequests) > f.bounds.Share*float64(o.requests)+f.bounds.Slack {
				f.violate("target has %d of %d", o.targetRequests, o.requests)
			}
		}
	}
	if software == "v2" {
		f.targetRequests++
		f.lastTarget = f.now
		if r := f.store.record; (r == nil || r.Phase != Completed) && len(f.badResponses) >= 50 && f.now > f.badResponses[49]+f.bounds.StopWithin {
			f.violate("%s sent to the target %s after its 50th bad response", x.name, f.now-f.badResponses[49])
		}
	}
	if r := f.store.record; r != nil && r.Phase == Completed && software != r.Target && f.connected(x) && f.store.order != nil && f.store.order.ID == r.Order {
		f.violate("%s sent to %s after completion", x.name, software)
	}
}

// maxPromiseTime is how long drain promises made under an order may be valid after another order
// for the same target replaces it. The last step of the first order may be in the store by then.
const maxPromiseTime = drainPromiseTime + time.Second

// replacementTime is after how long nothing may go to the target of an order that was withdrawn or
// replaced: by then the tables have arrived or the leases have expired.
const replacementTime = 2 * time.Second

// lastOf returns the last order for a version.
func (f *fleet) lastOf(software string) (last *trackedOrder) {
	for _, o := range f.orderHistory {
		if o.order.Target == software {
			last = o
		}
	}
	return last
}

func (f *fleet) checkReplaced(x *node, o *trackedOrder, software string) {
	if software != o.order.Target || f.lastOf(software) != o || f.now < o.replacedAt+replacementTime || !f.connected(x) || f.now < f.storeBackAt+replacementTime {
		return
	}
	now := f.store.order
	if (now == nil || now.Target != software) && (f.store.record == nil || f.store.record.InForce() != software) {
		f.violate("%s sent to %s, which is no longer ordered", x.name, software)
	}
}

// reconnectTime is how long a node that was frozen or cut off takes to read the tables.
const reconnectTime = time.Second

// connected reports whether a node is connected and has been for a while.
func (f *fleet) connected(x *node) bool {
	return !x.isDisconnected() && f.now-x.disconnectedTo > reconnectTime && f.now-x.startedAt > unresponsiveAfter
}

func (x *node) isDisconnected() bool {
	return x.down || x.frozen || x.incomingCut || x.outgoingCut || x.cutFromStore || x.f.store.unavailable
}

// trackConnection records since when and until when the node was last disconnected.
func (x *node) trackConnection() {
	if !x.isDisconnected() {
		return
	}
	if x.f.now-x.disconnectedTo > 2*modelStep {
		x.disconnectedFrom = x.f.now
	}
	x.disconnectedTo = x.f.now
}
