// SPDX-License-Identifier: MIT

/*
Package proxy forwards HTTP requests of direct routes to backend servers.

A request passes through these stages, in this order:

	admission  find the route, check limits, read the body          (proxy.go)
	selection  pick a service by the split, then a backend server   (attempt.go)
	exchange   send once on one connection of package conn          (attempt.go)
	response   relay the backend server's response, or a Result     (answer.go)

A request is retried only if it has not run or if its route is repeatable, and only
within the route's attempts, its deadline, and the retry budget that all instances share.
A Result with status 503 guarantees that the request has not run and never will.
*/
package proxy
