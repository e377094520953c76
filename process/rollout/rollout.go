// SPDX-License-Identifier: MIT

package rollout

import (
	"time"
)

// TickTime is the pause between two calls of Tick.
const TickTime = 100 * time.Millisecond

// Bounds are what operators allow.
type Bounds struct {
	// Share is the part of a service's requests, from the order to its deadline, that
	// the target may get, and Slack a number of requests besides.
	Share float64
	Slack float64
	// StopWithin is the time after the target's 50th bad answer from which it must get
	// nothing.
	StopWithin time.Duration
}

// Owner is the instance that decides on a service's roll-out.
type Owner struct {
	Name    string // "": nobody is known
	Address string // where it takes messages. "": it is this instance
}

// Service is what the tables say of a service's roll-out.
type Service struct {
	Name  string
	Order *Order // nil: there is none
	// Record is the row, and Revision that of its last write; nil and zero: there is
	// none.
	Record   *Record
	Revision int64
	// InForce is the version that serves, as Admit said.
	InForce string
	// Slots are those of the backend servers that take work, of the version in force
	// and of the target, and Homes the hashes and slots of the target's.
	InForceSlots int
	Homes        []Home
}

// Home is a backend server of the target.
type Home struct {
	Hash  uint64
	Slots int
}

// Proposal is a step that an owner wants written.
type Proposal struct {
	Record Record
	// Revision is that of the row that it replaces. Zero: there must be none.
	Revision int64
}

// Rollouts is the roll-outs of all services at one instance. The fields are set before
// use.
type Rollouts struct {
	Now    func() time.Duration
	Bounds Bounds
	// Incarnation tells this process from the one before at the same address.
	Incarnation int64
	// Owner returns who decides on a service. It is asked at each tick.
	Owner func(service string) Owner
	// Live returns the addresses of the instances that live, "" for this one.
	Live func() []string
	// InFlight returns the number of this instance's requests at backend servers of
	// the version in force.
	InFlight func(service string) int
	// Send sends a message to an address. Messages may be lost.
	Send func(address string, message []byte)
	// Log is told of what operators should see. It must not call the roll-outs.
	Log func(e Event)
}

// Event is what operators should see: a stop, a lease that lapsed, a verdict.
type Event struct {
	Service string
	What    string // a word for the log, as "canary-stopped"
	Cause   string
	Target  Counts
	Base    Counts
	// Age is how old the newest of what it was decided on is.
	Age time.Duration
}

// Counts are those of one version's answers.
type Counts struct {
	Requests int64
	Failed   int64
	Slow     int64 // that did not fail
}

// Attempt is one attempt at a request of a service whose roll-out runs. Nil: there is
// none.
type Attempt struct{}

// Outcome is what came of an attempt.
type Outcome struct {
	// Failed: the answer was a failure of the backend server, or none came.
	Failed bool
	// Unsent: nothing was sent, or the caller gave up, so that it tells nothing.
	Unsent bool
	// Took is the time from sending to the answer.
	Took time.Duration
	// Unseen: the backend server had not worked on the object lately; Cold: it counts
	// as cold.
	Unseen, Cold bool
}

// Install takes up what the tables say of all services that have an order or a record
// of one that has not ended.
func (r *Rollouts) Install(services []Service) {}

// Begin begins an attempt. First is false for a further attempt at the same request,
// which never goes to the target. Home returns the hash of the backend server that
// the request's object has as its home among the target's; ok is false if none takes
// work. It is called only if the answer matters.
func (r *Rollouts) Begin(service, route string, first bool, home func() (hash uint64, ok bool)) *Attempt {
	return nil
}

// Target reports whether the attempt goes to the target.
func (a *Attempt) Target() bool { return false }

// Decline sends the attempt to the version in force after all, since the target can't
// take it.
func (a *Attempt) Decline() {}

// Done tells what came of the attempt. It is called once.
func (a *Attempt) Done(o Outcome) {}

// Tick sends what is due.
func (r *Rollouts) Tick() {}

// Hear takes up a message. It reports whether the message was one of roll-outs.
func (r *Rollouts) Hear(from string, text []byte) bool { return false }

// Proposals returns the steps that this instance, as the owner, wants written. Now is
// the store's steady clock.
func (r *Rollouts) Proposals(now time.Duration) []Proposal { return nil }

// Written tells that a proposal is in the store, and the revision of its row.
func (r *Rollouts) Written(p Proposal, revision int64) {}
