// SPDX-License-Identifier: MIT

package rollout

import (
	"time"

	"shalewick/version"
)

// Phase is where a roll-out stands. It only goes forward.
type Phase string

// The phases.
const (
	Canary    Phase = "canary"
	Promote   Phase = "promote"
	Completed Phase = "completed"
	Reverted  Phase = "reverted"
)

// Ended reports whether the roll-out is over.
func (p Phase) Ended() bool { return p == Completed || p == Reverted }

// Order is what an operator asks for.
type Order struct {
	// ID is the version of the order's row: an order that is written again is a new
	// one.
	ID     int64
	Target string
	Within time.Duration
}

// Record is the state of a service's newest roll-out. It is kept in a row of the
// system's own table and outlasts the order.
type Record struct {
	Service string `json:"service"`
	// Order is the ID of the order that it is for.
	Order  int64  `json:"order"`
	Target string `json:"target"`
	// Before is the version that was in force when the order came.
	Before string `json:"before"`
	Phase  Phase  `json:"phase"`
	// Began and Deadline are times of the store's steady clock. Deadline is lateOrder
	// before that of the order, since the order may have been on its way so long.
	Began    version.Duration `json:"began"`
	Deadline version.Duration `json:"deadline"`
	// Cause says why it was reverted. "": it was not.
	Cause string `json:"cause,omitempty"`
	// Evidence is what the last step was decided on, for operators.
	Evidence string `json:"evidence,omitempty"`
}

// InForce returns the version of the software that the record leaves in force.
func (r *Record) InForce() string {
	if r.Phase == Completed {
		return r.Target
	}
	return r.Before
}

// isFor reports whether the record, which may be nil, is that of an order.
func (r *Record) isFor(o *Order) bool { return r != nil && o != nil && r.Order == o.ID }
