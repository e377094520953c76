// SPDX-License-Identifier: MIT

package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"shalewick/process/logging"
	"shalewick/request"
	"shalewick/standin/server"
)

// endlessResponder returns the address of a server that sends a beginning, and then text without an end. The beginning
// is made from the id of the request.
func endlessResponder(t *testing.T, beginning func(id string) string) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	text := strings.Repeat("x", 64<<10)
	respond := func(c net.Conn) {
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, err = io.WriteString(c, beginning(r.Header.Get(request.OwnNames.ID)))
		for err == nil {
			_, err = io.WriteString(c, text)
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go respond(c)
		}
	}()
	return l.Addr().String()
}

// assertHeadTooLarge checks that the only line of an event tells that the head of a response was too large, and that
// the metric counts it.
func (f *fixture) assertHeadTooLarge(log *syncBuffer, event string) {
	f.t.Helper()
	lines := log.lines(event)
	assert.Assert(f.t, len(lines) == 1 && strings.Contains(lines[0], "headTooLarge=true"), "%q", lines)
	var metrics strings.Builder
	assert.NilError(f.t, f.proxy.Metrics.Write(&metrics))
	assert.Assert(f.t, strings.Contains(metrics.String(), `answers_head_too_large_total{service="s"} 1`), metrics.String())
}

// TestHeadTooLargeIsReported guards against a response without end that an operator can't tell from a connection that
// broke.
func TestHeadTooLargeIsReported(t *testing.T) {
	for _, x := range []struct {
		fault    server.Fault
		tooLarge bool
	}{{server.EndlessHeaderLine, true}, {server.EndlessTrailer, true}, {server.ResetAfterRun, false}} {
		f := newFixture(t, 2)
		var log syncBuffer
		f.proxy.Log = logging.New(&log)
		f.failFirstBackend(x.fault)
		f.assertResult(f.send("b1", "/bids/1", "an offer"), http.StatusBadGateway, "b1")
		if x.tooLarge {
			f.assertHeadTooLarge(&log, "answer-lost")
			continue
		}
		lines := log.lines("answer-lost")
		assert.Assert(t, len(lines) == 1 && strings.Contains(lines[0], "headTooLarge=false"), "%q", lines)
	}
}

// TestTrailerOfStreamedResponseIsLimited guards against a response that is relayed while it is read, and whose trailer
// has no end: the caller must not take it for whole.
func TestTrailerOfStreamedResponseIsLimited(t *testing.T) {
	f := newFixture(t, 0)
	f.backend("u0", endlessResponder(t, func(id string) string {
		const size = 2 * maxBufferedResponse
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX: ",
			request.OwnNames.ID, id, size, strings.Repeat("v", size))
	}))
	f.install()
	var log syncBuffer
	f.proxy.Log = logging.New(&log)
	r := f.send("b1", "/bids/1", "an offer")
	assert.Assert(t, r.err != nil, "status %d with %d bytes", r.status, len(r.body))
	f.assertHeadTooLarge(&log, "answer-lost")
}

// TestEndlessResponseOfOtherInstance guards against an instance whose memory is taken by the response of another one that
// it forwarded a request to. The request may have run.
func TestEndlessResponseOfOtherInstance(t *testing.T) {
	f := newForwardFixture(t, 0)
	f.addresses = append(f.addresses, endlessResponder(t, func(string) string { return "HTTP/1.1 200 OK\r\nX: " }))
	var log syncBuffer
	f.proxy.Log = logging.New(&log)
	f.assertResult(f.send("b1", "/bids/1", "an offer"), http.StatusBadGateway, "b1")
	f.assertHeadTooLarge(&log, "forwarded")
}
