// SPDX-License-Identifier: MIT

/*
Package request defines the types that describe one request: its class, its headers and
fingerprint, and the numbered result it may end with.

# Results

Every response that is produced by shalewick itself, rather than by a backend server,
carries a Result: a numbered Code, whether the request was run, and when to retry. The
Result is sent in headers (see the Header constants) and in a JSON body.

# Whether a request was run

Ran has three values. RanNo is a guarantee: no byte of the request was sent to a backend
server, or a backend server refused it in a way that means that it was not run. RanUnknown
is used whenever that guarantee cannot be given.
*/
package request
