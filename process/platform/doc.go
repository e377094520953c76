// SPDX-License-Identifier: MIT

/*
Package platform is a client of the platform that the users run: a
transactional table service, an object store and a list of instances.

All state of shalewick that must be consistent or durable is kept there. The
platform is rate-limited, can be slow or unavailable for a long time, and can
lose the response to a write that took effect. So each write has one of four
outcomes:

	nil                 the write took effect
	ErrConflict         a condition did not hold; nothing was written
	ErrUnavailable      the platform refused; nothing was written
	ErrUnknownOutcome   the response was lost; read back before writing again

# HTTP API

	GET  /v1/tables/{table}/{key}       one Row, or 404
	GET  /v1/tables/{table}?after=KEY   rows with keys after KEY, in order
	POST /v1/commit                     a list of Op, carried out atomically; 409 on conflict
	GET  /v1/objects/{name}             the bytes, or 404
	PUT  /v1/objects/{name}             store the bytes
	GET  /v1/instances                  a list of Instance

Requests that are answered with 429 or 503 had no effect.
*/
package platform
