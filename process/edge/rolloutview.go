// SPDX-License-Identifier: MIT

package edge

import (
	"time"

	"shalewick/process/rolloutview"
	"shalewick/version"
)

// rolloutStatus returns the status of a service's rollout for operators.
func (e *Edge) rolloutStatus(service string) (rolloutview.Status, bool) {
	e.compileMu.Lock()
	defer e.compileMu.Unlock()
	order, known := e.rolloutState.orders[service], e.rolloutState.records[service]
	if order == nil && known.record == nil {
		return rolloutview.Status{}, false
	}
	s := rolloutview.Status{Service: service, InForce: e.rolloutState.admitted[service].InForce, Record: known.record}
	if order != nil {
		s.Order, s.Target, s.Within = order.ID, order.Target, version.Duration(order.Within)
	}
	if now, clockKnown := e.deployment.Store.Clock(); clockKnown && known.running() {
		s.Remaining = version.Duration(max(0, time.Duration(known.record.Deadline)-now))
	}
	return s, true
}
