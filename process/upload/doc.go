// SPDX-License-Identifier: MIT

/*
Package upload handles the body of a caller's request, which is sent to one backend server after the
other until one of them serves the request.

	body := upload.New(beginning, rest, length, free)
	out.Body = body.Open()       // once for each attempt
	body.CloseExchange(exchange) // when its response is complete
	if body.Reclaim() {          // another attempt can send the body

# The remainder

A body is buffered whole if it is small. Of a larger one the beginning is buffered, and the remainder
is read from the caller's connection by the attempt that gets that far. It can be read once, so at any
time only the reader of one attempt may read it, until Reclaim. An attempt may outlast its response:
a backend server can respond before the end of the body, and its sender goes on meanwhile. That sender
gets an error once the body has been reclaimed. An error ends its request without the last chunk, or
with less than the announced length, so a backend server never takes a part for the whole.

# Responses before the end of the body

Respond prepares a request for a response that is sent while its body is unread, and Drain discards
the remainder after it. By default net/http reads up to 256 KB before it sends the response: a caller
that has stopped sending gets none. It also competes for the bytes with the attempt that sends them.
*/
package upload
