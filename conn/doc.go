// SPDX-License-Identifier: MIT

/*
Package conn holds what lives for one connection to a backend server.

A Pool keeps idle connections to one address. Dispatch sends one request over
one connection and reads the head of the answer:

	ex, err := pool.Dispatch(req, opts) // err says whether a byte was sent
	io.Copy(w, ex.Response.Body)
	ex.Close()

# Why not net/http's Transport

Transport sends a request again by itself when it looks idempotent, and it does
not say whether a byte had left. Requests that may not be repeated need both
under control, so this package writes the request itself, once.

# When a slot is free again

The caller holds a slot token while a request is at a backend server. Close ends the
exchange and calls Options.Release once the backend server has surely let go: at once
when the whole answer was read; otherwise the connection is half closed, and
the token is held until the backend server closes its side in turn, or until the
request's deadline and a margin have passed. In the latter case Release tells
that the backend server was silent; it may be frozen with the request in hand.
*/
package conn
