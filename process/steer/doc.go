// SPDX-License-Identifier: MIT

/*
Package steer selects a placement for each request: a backend server and the
tokens needed to use it, either at once or after a short wait in the service's
queue.

A Steerer holds what depends on the version in force (ActiveVersion): the view,
the counters that decisions read, the connection pools and the queues. Place
makes a decision on it, acquires the tokens, and waits for them if necessary:

	p, rejection := s.Place(ctx, req)
	if rejection != nil { ... } // nothing was sent: a final result
	ex, err := p.Dispatch(ctx, httpReq, deadline)

An instance whose version has not been confirmed for slots.ConfirmationTTL places
no requests. This is checked again right before a request's first byte is sent, so
that a process that was frozen in between does not send it.
*/
package steer
