// SPDX-License-Identifier: MIT

// Package malformed has responses that break the syntax of HTTP/1.1, as a defective server sends them.
package malformed

import (
	"fmt"
	"strings"
)

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

// fieldLines are malformed lines of a head or trailer.
var fieldLines = []string{
	"X Y: 1", "X-Y : 1", "X-Y\t: 1", "X\tY: 1", "X\x00Y: 1", "X\x01Y: 1", "X\rY: 1", "X\x7fY: 1", "X(Y): 1", "X@Y: 1", "X\xe4: 1", ": 1", " : 1", "X", "X Y",
	"X: \x00", "X: 1\x01", "X: 1\r2", "X: \x7f",
}

// FieldLines returns responses with a malformed line in their head, in the head of an interim response, or in the trailer, or
// with one that would tell the length of the body. Header is the lines of their head, each with CRLF.
func FieldLines(header, body string) []Response {
	var out []Response
	add := func(where, line, text string) {
		out = append(out, Response{fmt.Sprintf("%q %s", line, where), strings.ReplaceAll(text, "LINE", line)})
	}
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body)
	const status = "HTTP/1.1 200 OK\r\n"
	for _, line := range fieldLines {
		add("first", line, status+"LINE\r\n"+header+length)
		if line[0] != ' ' { // which would continue the line before
			add("last", line, status+header+strings.Replace(length, "\r\n\r\n", "\r\nLINE\r\n\r\n", 1))
		}
		add("of an interim response", line, "HTTP/1.1 103 Early Hints\r\nLINE\r\n\r\n"+status+header+length)
		add("of the trailer", line, status+header+"Transfer-Encoding: chunked\r\n\r\n"+chunks+"LINE\r\n\r\n")
	}
	for _, blank := range []string{" ", "\t"} {
		add("with a longer body", "Content-Length"+blank+": 2", status+header+"LINE\r\n\r\n"+body+body)
		add("with chunks", "Transfer-Encoding"+blank+": chunked", status+header+"LINE\r\n\r\n"+chunks+"\r\n")
	}
	return out
}

// Framings returns responses whose version does not allow the lines that tell the length of the body.
func Framings(header, body string) []Response {
	chunks := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	return []Response{
		{"HTTP/1.0 in chunks", "HTTP/1.0 200 OK\r\n" + header + chunks},
		{"HTTP/1.0 in chunks behind an interim response", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.0 200 OK\r\n" + header + chunks},
	}
}
