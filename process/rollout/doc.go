// SPDX-License-Identifier: MIT

/*
Package rollout moves the requests of a service to another version of its software,
or back, over all instances together: docs/design/rollout.md. It does no I/O; time,
messages and the state of tables come from outside.

	r.Install(services)                          // what the tables say now
	a := r.Begin(service, route, first, home)    // an attempt: to the target?
	ok := a.Decline(over)                        // the target can't take it: may it go back?
	a.Done(outcome)                              // what came of it
	r.Tick()                                     // every TickTime: reports to owners
	r.Hear(from, message)                        // a message of another instance
	r.Proposals(now)                             // steps that this instance, as owner, wants written
	r.Written(proposal, revision)                // a step is in the store

# At each instance

An attempt passes the gate (gate.go), which keeps the share and the lease and knows
which backend servers of the target are open in a turn (turn.go). Its outcome is
classed by the usual time of its route (usual.go) and counted (attempt.go). Reports
with the counts go to the owner, and its answers come back (exchange.go, wire.go).

# At the owner

The counts of all instances (decider.go) go into a verdict (verdict.go). From that and
the time the next step follows (step.go). Admit (admit.go) tells each instance from the
rows alone which versions may get requests.
*/
package rollout
