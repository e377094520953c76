// SPDX-License-Identifier: MIT

/*
Package front serves the requests of callers. Front implements http.Handler.

A request passes through these steps:

	classify   find service, route and deadline, and whether the request is repeatable
	ticket     a non-repeatable request needs a ticket
	body       a small body is buffered before a slot is taken
	attempts   choose a backend server, dispatch, check the response; retry if that is safe
	relay      send the response or a Result, or abort the connection

Two endpoints are served under ReservedPrefix:

	GET /.shalewick/lookup?client=IP   instances to use, in order of preference
	GET /.shalewick/tickets?n=8        tickets for non-repeatable requests
*/
package front
