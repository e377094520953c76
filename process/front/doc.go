// SPDX-License-Identifier: MIT

/*
Package front is the side of an instance that callers see, an http.Handler.

A request's way through it:

	classify   which service and route; the deadline; may it be repeated
	once       a request that may not be repeated needs a ticket
	body       a small body is read whole before a slot is taken
	attempts   place, dispatch, check the answer; again if that is safe
	relay      the whole answer, or a connection broken off, or a Result

Below the path Reserved stand two calls of the system's own:

	GET /.shalewick/lookup?client=IP   which instances to use, in order
	GET /.shalewick/tickets?n=8        tickets for requests that may not be repeated
*/
package front
