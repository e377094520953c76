// SPDX-License-Identifier: MIT

// Package malformed has responses that break the syntax of HTTP/1.1, as a defective server sends them.
package malformed

import (
	"fmt"
	"slices"
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

const okLine = "HTTP/1.1 200 OK\r\n"

// FieldLines returns responses with a malformed line in their head or in the head of an interim response, or with one that
// would tell the length of the body. Header is the lines of their head, each with CRLF.
func FieldLines(header, body string) []Response {
	var out []Response
	add := func(where, line, text string) {
		out = append(out, Response{fmt.Sprintf("%q %s", line, where), strings.ReplaceAll(text, "LINE", line)})
	}
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	for _, line := range fieldLines {
		add("first", line, okLine+"LINE\r\n"+header+length)
		if line[0] != ' ' { // which would continue the line before
			add("last", line, okLine+header+strings.Replace(length, "\r\n\r\n", "\r\nLINE\r\n\r\n", 1))
		}
		add("of an interim response", line, "HTTP/1.1 103 Early Hints\r\nLINE\r\n\r\n"+okLine+header+length)
	}
	for _, blank := range []string{" ", "\t"} {
		add("with a longer body", "Content-Length"+blank+": 2", okLine+header+"LINE\r\n\r\n"+body+body)
		add("with chunks", "Transfer-Encoding"+blank+": chunked", okLine+header+"LINE\r\n\r\n"+chunked(body)+"\r\n")
	}
	return out
}

// TrailerLines returns responses in chunks with a malformed line in their trailer.
func TrailerLines(header, body string) []Response {
	var out []Response
	for _, line := range fieldLines {
		text := okLine + header + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body) + line + "\r\n\r\n"
		out = append(out, Response{fmt.Sprintf("%q of the trailer", line), text})
	}
	return out
}

// chunked returns a body in one chunk, up to its trailer.
func chunked(body string) string { return fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body) }

// All returns all responses whose heads are malformed.
func All(header, body string) []Response {
	return slices.Concat(StatusLines(header, body), FieldLines(header, body), Framings(header, body))
}

// Framings returns responses whose version does not allow the lines that tell the length of the body.
func Framings(header, body string) []Response {
	chunks := "Transfer-Encoding: chunked\r\n\r\n" + chunked(body) + "\r\n"
	return []Response{
		{"HTTP/1.0 in chunks", "HTTP/1.0 200 OK\r\n" + header + chunks},
		{"HTTP/1.0 in chunks behind an interim response", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.0 200 OK\r\n" + header + chunks},
	}
}
