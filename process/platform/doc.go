// SPDX-License-Identifier: MIT

/*
Package platform is the client of the platform that the users run: a
transactional table service, an object store and a list of instances.

Everything that shalewick has to agree on or to keep goes through it. It is
rate-limited, can be slow or down for long, and can lose an answer after the
write took effect, so each write ends in one of four ways:

	nil           the write took effect
	Conflict      a condition did not hold; nothing was written
	Unavailable   the platform refused; nothing was written
	Unknown       the answer was lost; read back before writing again

# HTTP form

	GET  /v1/tables/{table}/{key}       one Row, or 404
	GET  /v1/tables/{table}?after=KEY   rows with keys above KEY, in order
	POST /v1/commit                     a list of Op, all or none; 409 on conflict
	GET  /v1/objects/{name}             the bytes, or 404
	PUT  /v1/objects/{name}             stores the bytes
	GET  /v1/instances                  a list of Instance

429 and 503 mean that nothing was done.
*/
package platform
