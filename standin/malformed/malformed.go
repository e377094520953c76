// SPDX-License-Identifier: MIT

// Package malformed has responses that break the syntax of HTTP/1.1, as a defective server sends them.
package malformed

import "fmt"

// A Response is what a server sends in response to a request. It ends with its connection.
type Response struct{ Name, Text string }

// StatusLines returns responses whose status line is malformed. Header is the lines of their head, each with CRLF, without
// those that tell the length of the body.
func StatusLines(header, body string) []Response {
	var out []Response
	for _, line := range []string{
		"HTTP/1.1 000 ", "HTTP/1.1 000", "HTTP/1.1 0", "HTTP/1.1 099 Low", "HTTP/1.1 600 High", "HTTP/1.1 999 High", "HTTP/1.1 +20 Sign", "HTTP/1.1 -20 Sign",
		"HTTP/1.1 2 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 OK", "HTTP/1.1", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK",
		"HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTP/9.9 200 OK", "HTTP/1 200 OK", "HTTP/1.10 200 OK", "HTTP/1.x 200 OK", "http/1.1 200 OK",
		"HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 O\x7fK",
	} {
		out = append(out, Response{fmt.Sprintf("%q", line), fmt.Sprintf("%s\r\n%sContent-Length: %d\r\n\r\n%s", line, header, len(body), body)})
	}
	return out
}
