// SPDX-License-Identifier: MIT

package rollout

import (
	"time"

	"shalewick/version"
)

// Phase is the phase of a rollout. It only moves forward.
type Phase string

// The phases in their order.
const (
	Canary    Phase = "canary"
	Promote   Phase = "promote"
	Completed Phase = "completed"
	Reverted  Phase = "reverted"
)

// Ended reports whether the rollout is over.
func (p Phase) Ended() bool { return p == Completed || p == Reverted }

// Order is an operator's order of a rollout.
type Order struct {
	// ID is the version of the order's row within its epoch. An order that is written again gets a
	// new one.
	ID int64
	// Epoch is the epoch of the store. An order of another epoch with the same target and time is
	// the same order: the store has lost it, and the operator has written it again.
	Epoch  int64
	Target string
	Within time.Duration
}

// Record is the state of a service's newest rollout. It is kept in a row of the system's own table,
// also after the order is gone.
type Record struct {
	Service string `json:"service"`
	// Order is the ID of the order.
	Order  int64  `json:"order"`
	Epoch  int64  `json:"epoch,omitempty"`
	Target string `json:"target"`
	// Within is the time that the order allows. Zero: an older release wrote the record.
	Within version.Duration `json:"within,omitempty"`
	// Previous is the version that was in force when the order arrived.
	Previous string `json:"before"`
	Phase    Phase  `json:"phase"`
	// StartedAt and Deadline are times of the store's monotonic clock. Deadline is maxOrderDelay
	// before the order's own deadline, since the order may have taken that long to arrive.
	StartedAt version.Duration `json:"began"`
	Deadline  version.Duration `json:"deadline"`
	// Cause says why the rollout was reverted, if it was.
	Cause string `json:"cause,omitempty"`
	// Evidence describes for operators what the last step was based on.
	Evidence string `json:"evidence,omitempty"`
}

// InForce returns the version of the software that is in force by the record.
func (r *Record) InForce() string {
	if r.Phase == Completed {
		return r.Target
	}
	return r.Previous
}

// For reports whether the record belongs to an order.
func (r *Record) For(o *Order) bool {
	if r.Epoch == o.Epoch {
		return r.Order == o.ID
	}
	return r.Target == o.Target && (r.Within == 0 || time.Duration(r.Within) == o.Within)
}

// isFor is For for a record and an order that may be nil.
func (r *Record) isFor(o *Order) bool { return r != nil && o != nil && r.For(o) }

// sameAs reports whether two orders are the same, possibly written again after the store lost it.
func (o *Order) sameAs(other *Order) bool {
	if o.Epoch == other.Epoch {
		return o.ID == other.ID
	}
	return o.Target == other.Target && o.Within == other.Within
}
