// SPDX-License-Identifier: MIT

/*
Package proxy serves the requests that route resources direct.

One request's way, in this order:

	front      read and bound the request, find its route      (proxy.go)
	choice     a service by the split, a backend server by balance   (attempt.go)
	exchange   one send on one connection, counted by conn      (attempt.go)
	answer     the backend server's whole answer, or a Result          (answer.go)

A request is sent again only if it has not run, or may run twice; within the
attempts of its route, its time, and the retry budget that all instances share.
A Result with status 503 promises that the request has not run and never will.
*/
package proxy
