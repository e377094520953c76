// SPDX-License-Identifier: MIT

/*
Package rollout moves the requests of a service to another version of its software, or back, on all
instances together: docs/design/rollout.md. It does no I/O: time, messages and the state of the
tables are passed in.

	c.Install(services)                          // the state of the tables
	a := c.Begin(service, route, first, home)    // an attempt: does it go to the target?
	ok := a.Decline(ended)                       // the target can't take it: may it go back?
	a.Done(outcome)                              // the outcome of the attempt
	c.Tick()                                     // every TickInterval: reports to owners
	c.Receive(from, message)                     // a message of another instance
	c.Proposals(now)                             // steps that this instance, as owner, wants to write
	c.Confirm(proposal, revision)                // a step is in the store

# At each instance

An attempt passes the gate (gate.go), which enforces the share and the lease. Which of the target's
backend servers are active in a round follows from rotation.go. The outcome is classified by the
typical latency of its route (latency.go) and counted (attempt.go). Reports with the counts go to the
owner, which replies to them (exchange.go, wire.go).

# At the owner

The owner collects the counts of all instances (owner.go) and analyses them (analysis.go). The next
step follows from that analysis and the time (step.go). SelectVersions (versions.go) derives from the
table rows alone which versions may get requests, at each instance.
*/
package rollout
