// SPDX-License-Identifier: MIT

/*
Package backend simulates a backend server for tests and the demonstration. It serves requests on a
number of slots and records each request that it runs. Over HTTP it can be made slow, cold or
leaving, made to shed requests, to report no load, and to send responses late, truncated, with a wrong
request id or not at all.

	PUT /standin/fault     replaces the present Fault
	GET /standin/records   the requests that ran, one JSON Record a line
	GET /standin/peak      the maximum number of requests that ran at once
	GET /probe             the load report, in the form of package conn

Every other request simulates work. The body of the response has the length of the "size" parameter
and begins with the value of the Load-Tag header. The Load-Sum header carries the xxhash of the
request's body, so that a client can check that it got the whole response to its own request.
*/
package backend
