// SPDX-License-Identifier: MIT

package server

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
)

const (
	// endlessWriteBytes is the number of bytes of an endless response that are written at a time, about.
	endlessWriteBytes = 64 << 10
	// headerLineBytes is the length of a line of EndlessHeader, about.
	headerLineBytes = 900
	// shortNameDigits is the number of digits that make the names of EndlessShortLines differ.
	shortNameDigits = 5
)

// respondEndlessly writes a response that has no end, until the client closes the connection.
func (s *Server) respondEndlessly(c net.Conn, f Fault, id string) {
	head := fmt.Sprintf("%s: %s\r\n%s: seal-%s\r\n", s.Names.ID, id, s.Names.Seal, id)
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	var before string
	var unit func(i int) string
	switch f {
	case EndlessHeaderLine:
		before, unit = head+"X-Line: ", func(int) string { return strings.Repeat("x", headerLineBytes) }
	case EndlessHeader:
		before, unit = head, func(i int) string { return fmt.Sprintf("X-%d: %s\r\n", i, strings.Repeat("x", headerLineBytes)) }
	case EndlessShortLines:
		before, unit = head, func(i int) string { return fmt.Sprintf("%0*x:\r\n", shortNameDigits, i) }
	case EndlessInterim:
		before, unit = "Link: <a>\r\n\r\n", func(int) string { return "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n" }
	case EndlessTrailer:
		before, unit = head+chunked+"0\r\n", func(i int) string { return fmt.Sprintf("%0*x:\r\n", shortNameDigits, i) }
	case EndlessBody:
		chunk := strconv.FormatInt(headerLineBytes, 16) + "\r\n" + strings.Repeat("x", headerLineBytes) + "\r\n"
		before, unit = head+chunked, func(int) string { return chunk }
	}
	status := "HTTP/1.1 200 OK\r\n"
	if f == EndlessInterim {
		status = "HTTP/1.1 103 Early Hints\r\n"
	}
	if _, err := io.WriteString(c, status+before); err != nil {
		return
	}
	var b bytes.Buffer
	for i := 0; ; {
		for b.Reset(); b.Len() < endlessWriteBytes; i++ {
			b.WriteString(unit(i))
		}
		if _, err := c.Write(b.Bytes()); err != nil {
			return // the client has closed the connection
		}
	}
}
