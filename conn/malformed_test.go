// SPDX-License-Identifier: MIT

package conn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"shalewick/standin/malformed"
)

// assertNoResponses checks that a request that gets one of the responses fails before its deadline as one that may have
// run, and that its connection is not used again.
func assertNoResponses(t *testing.T, responses []malformed.Response) {
	t.Helper()
	for _, x := range responses {
		p := startScriptedBackend(t, func(c net.Conn, r *bufio.Reader) {
			defer c.Close()
			if _, err := http.ReadRequest(r); err == nil {
				_, _ = io.WriteString(c, x.Text)
				_ = c.(*net.TCPConn).CloseWrite()
				_, _ = io.Copy(io.Discard, r)
			}
		})
		start := time.Now()
		got, err := upload(t, p, io.NopCloser(http.NoBody), func() {})
		assert.Check(t, err != nil, "%s is read as a response with body %q", x.Name, got)
		assert.Check(t, time.Since(start) < giveUpDeadline/2 && len(p.idle) == 0, x.Name)
		_, _, err = readFrom(iotest.OneByteReader(strings.NewReader(x.Text)))
		assert.Check(t, errors.Is(err, ErrMalformed), "%s: %v", x.Name, err)
	}
}

// TestMalformedStatusLineIsNoResponse guards against a status line that is not one of HTTP/1.x with a status from 100 to
// 599, and that reaches the caller. Status 000 ended its connection without a response.
func TestMalformedStatusLineIsNoResponse(t *testing.T) {
	assertNoResponses(t, malformed.StatusLines("X-Id: 1\r\n", "ok"))
	for _, line := range []string{
		"HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 OK", "HTTP/1.1  200 OK", "HTTP/1.1 200 \tvery  good \xe4\t", "HTTP/1.1 299 Unknown", "HTTP/1.1 599 Unknown",
	} {
		res, body, err := readFrom(strings.NewReader(line + "\r\nContent-Length: 2\r\n\r\nok"))
		assert.NilError(t, err, "%q", line)
		assert.Assert(t, res.StatusCode > 0 && body == "ok", "%q", line)
	}
}

// TestMalformedFieldLineIsNoResponse guards against a head or trailer with a line whose name holds a blank or a control
// character: the line was dropped, or the body had more than that of the response.
func TestMalformedFieldLineIsNoResponse(t *testing.T) {
	assertNoResponses(t, malformed.FieldLines("X-Id: 1\r\n", "ok"))
	assertNoResponses(t, malformed.TrailerLines("X-Id: 1\r\n", "ok"))
	for _, line := range []string{"X:", "X: ", "x!#$%&'*+-.^_`|~09AZ:1", "X: \t\xe4: \"a, b\"\t", "X: a\r\n b c: d\r\n\te"} {
		for _, text := range []string{
			okLine + line + "\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + okLine + "Content-Length: 2\r\n\r\nok",
			okLine + chunked + "2\r\nok\r\n0\r\n" + line + "\r\n\r\n",
		} {
			_, body, err := readFrom(strings.NewReader(text))
			assert.NilError(t, err, "%q", text)
			assert.Equal(t, body, "ok", "%q", text)
		}
	}
}

// TestChunksOfHTTP10AreNoResponse guards against an HTTP/1.0 response in chunks, whose body had their sizes in it.
func TestChunksOfHTTP10AreNoResponse(t *testing.T) {
	assertNoResponses(t, malformed.Framings("X-Id: 1\r\n", "ok"))
	for _, length := range []string{"Content-Length: 2\r\n", "Connection: close\r\n"} {
		_, body, err := readFrom(strings.NewReader("HTTP/1.0 200 OK\r\n" + length + "\r\nok"))
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
}
