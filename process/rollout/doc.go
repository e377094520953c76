// SPDX-License-Identifier: MIT

/*
Package rollout moves the requests of a service to another version of its software,
or back, over all instances together: docs/design/rollout.md. It does no I/O; time,
messages and the state of tables come from outside.

	r.Install(services)                   // what the tables say now
	a := r.Begin(service, route, home)    // an attempt: to the target?
	a.Done(outcome)                       // what came of it
	r.Tick()                              // every TickTime: reports to owners
	r.Hear(from, message)                 // a message of another instance
	r.Proposals(now)                      // steps that this instance, as owner, wants written
*/
package rollout
