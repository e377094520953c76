// SPDX-License-Identifier: MIT

/*
Package steer gives each request a place: a backend server and the tokens to use it,
at once or after a short wait in the service's queue.

A Steerer holds what is bound to the version in force (Bound): the view, the
counters that decisions read, the connection pools and the queues. Place makes
a decision on it, takes the tokens, and waits for them if need be:

	p, refusal := s.Place(ctx, ask)
	if refusal != nil { ... } // nothing was sent: a final result
	ex, err := p.Dispatch(ctx, req)

An instance whose version nobody has confirmed for slots.ConfirmTime places
nothing. This is checked once more right before a request's first byte leaves,
so that a process that was frozen finds out before it sends.
*/
package steer
