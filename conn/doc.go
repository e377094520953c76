// SPDX-License-Identifier: MIT

/*
Package conn manages connections to backend servers and sends requests over them.

A Pool keeps idle connections to one address. Dispatch sends one request over one
connection and reads the header of the response:

	ex, err := pool.Dispatch(req, opts) // err says whether a byte was sent
	io.Copy(w, ex.Response.Body)
	ex.Close()

# Why not net/http's Transport

Transport retries a request by itself if it looks idempotent, and it does not report
whether a byte was sent. Requests that may not be repeated need control over both, so this
package writes the request itself, once.

# Which bytes belong to a response

A backend server may send bytes that belong to no request. A connection is used for a request
only if nothing is left to read on it: when it is put back, when it is taken, and right before
the first byte of the request (pooledConn.isIdle). What arrives later is read as the response.
Its head is read whole into the buffer of the connection before it is parsed, within
MaxHeadBytes and MaxHeadLines, and a head that shows that it is made of several, or that breaks
the syntax of HTTP/1.1, is an error (readResponse). The package does not know the ids of
requests, so the caller compares them.

A response without a length ends with its connection. A connection that failed, as by a reset, is
no such end, whichever call the kernel reports the failure to (socket).

Strict applies both to the clients of load reports, the store, and other instances' tables, which
use http.Transport, and ReadBody reads their bodies.

# When a slot becomes free

The caller holds a slot token while a request is at a backend server. Close ends the
exchange and calls Options.Release once the backend server has certainly finished with the
request. That is immediately if the whole response was read. Otherwise the connection is
half-closed, and the token is held until the backend server closes its side in turn, or
until the request's deadline and a margin have passed. In the latter case Release is called
with unresponsive set: the backend server may be frozen and still hold the request.
*/
package conn
