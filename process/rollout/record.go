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
	// ID is the number of the order's row in its epoch: an order that is written again is a new
	// one.
	ID int64
	// Epoch is that of the store's history. An order of another epoch is the same if it asks for
	// the same: the store has lost it, and the operator has written it again.
	Epoch  int64
	Target string
	Within time.Duration
}

// Record is the state of a service's newest roll-out. It is kept in a row of the
// system's own table and outlasts the order.
type Record struct {
	Service string `json:"service"`
	// Order is the ID of the order that it is for.
	Order  int64  `json:"order"`
	Epoch  int64  `json:"epoch,omitempty"`
	Target string `json:"target"`
	// Within is the order's time; zero: an older release wrote the record.
	Within version.Duration `json:"within,omitempty"`
	// Before is the version that was in force when the order came.
	Previous string `json:"before"`
	Phase    Phase  `json:"phase"`
	// Began and Deadline are times of the store's steady clock. Deadline is lateOrder
	// before that of the order, since the order may have been on its way so long.
	StartedAt version.Duration `json:"began"`
	Deadline  version.Duration `json:"deadline"`
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
	return r.Previous
}

// For reports whether the record is that of an order.
func (r *Record) For(o *Order) bool {
	if r.Epoch == o.Epoch {
		return r.Order == o.ID
	}
	return r.Target == o.Target && (r.Within == 0 || time.Duration(r.Within) == o.Within)
}

// isFor reports whether the record is that of an order. Both may be nil.
func (r *Record) isFor(o *Order) bool { return r != nil && o != nil && r.For(o) }

// same reports whether an order is another one written again since the store lost it, or that one
// itself.
func (o *Order) sameAs(other *Order) bool {
	if o.Epoch == other.Epoch {
		return o.ID == other.ID
	}
	return o.Target == other.Target && o.Within == other.Within
}
