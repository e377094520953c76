// SPDX-License-Identifier: MIT

/*
Package request holds what lives for one request: its class, its identity on
the wire, and the numbered result it ends with.

# Results

Every answer that shalewick gives itself, rather than a backend server, carries a
Result: a numbered Code, whether the request was run, and when to come back.
The same facts stand in headers (see the Header constants) and in a JSON body.

# Was it run?

Ran has three values. RanNo is a promise: no byte of the request left for an
backend, or a backend server refused it in a way that means that it was not run.
RanUnknown is said whenever that promise cannot be given.
*/
package request
