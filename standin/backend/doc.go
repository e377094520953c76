// SPDX-License-Identifier: MIT

/*
Package backend is the stand-in for a backend server: it serves requests on a
number of slots, keeps a record of all that it ran, and can be told over HTTP
to be slow, cold, shedding or leaving, to lie in its load report, and to answer
late, cut short, with a wrong request id or not at all. It is for tests and the
demonstration only.

	PUT /standin/fault     a Fault; replaces the present one
	GET /standin/records   what was run, a JSON Record a line
	GET /standin/peak      the most requests that ran at once
	GET /probe             the load report, in the form of package conn

Every other request is work. An answer is as long as the "size" parameter says,
begins with the value of the Load-Tag header, and carries the xxhash of the
request's body in the header Load-Sum, so that a caller can tell whether it got
the whole answer to its own request.
*/
package backend
