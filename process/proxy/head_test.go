// SPDX-License-Identifier: MIT

package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"shalewick/conn"
	"shalewick/process/logging"
	"shalewick/request"
	"shalewick/standin/server"
)

// rawServer responds to the first request of each connection with bytes that respond writes.
type rawServer struct {
	address  string
	requests atomic.Int64
}

// startRawServer starts a server whose function respond gets the id of each request. The connection is closed when it
// returns.
func startRawServer(t *testing.T, respond func(c net.Conn, id string)) *rawServer {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &rawServer{address: l.Addr().String()}
	serve := func(c net.Conn) {
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		s.requests.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		respond(c, r.Header.Get(request.OwnNames.ID))
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return s
}

// respondEndlessly returns a function that sends a beginning, and then text without an end. The beginning is made from
// the id of the request.
func respondEndlessly(beginning func(id string) string) func(net.Conn, string) {
	text := strings.Repeat("x", 64<<10)
	return func(c net.Conn, id string) {
		_, err := io.WriteString(c, beginning(id))
		for err == nil {
			_, err = io.WriteString(c, text)
		}
	}
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
	f.backend("u0", startRawServer(t, respondEndlessly(func(id string) string {
		const size = 2 * maxBufferedResponse
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX: ",
			request.OwnNames.ID, id, size, strings.Repeat("v", size))
	})).address)
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
	f.addresses = append(f.addresses, startRawServer(t, respondEndlessly(func(string) string { return "HTTP/1.1 200 OK\r\nX: " })).address)
	var log syncBuffer
	f.proxy.Log = logging.New(&log)
	f.assertResult(f.send("b1", "/bids/1", "an offer"), http.StatusBadGateway, "b1")
	f.assertHeadTooLarge(&log, "forwarded")
}

// TestLargestHeadIsForwarded guards against a response that one instance accepts from a backend server, and another one
// rejects since the first has added headers.
func TestLargestHeadIsForwarded(t *testing.T) {
	f := newForwardFixture(t, 1)
	backend := startRawServer(t, func(c net.Conn, id string) {
		response := rawResponse(http.StatusOK, id, slices.Repeat([]string{"X: a"}, conn.MaxHeadLines-3)...)
		padding := "X-Padding: " + strings.Repeat("v", conn.MaxHeadBytes-len(response)-len("X-Padding: \r\n")) + "\r\n"
		_, _ = io.WriteString(c, strings.Replace(response, "Content-Length", padding+"Content-Length", 1))
	})
	for i := range f.helpers[0].backends {
		f.helpers[0].backend(fmt.Sprint("u", i), backend.address)
	}
	f.helpers[0].install()
	assert.Equal(t, f.send("x1", "/reads/1", "").status, http.StatusOK)
}

// assertMayHaveRun checks that a request that is not repeatable, and gets a response of either of two servers, is sent to
// one of them only, and that the caller is told that it may have run.
func assertMayHaveRun(t *testing.T, response func(id string) string) {
	t.Helper()
	f := newFixture(t, 0)
	respond := func(c net.Conn, id string) {
		_, _ = io.WriteString(c, response(id))
		_, _ = io.Copy(io.Discard, c) // keeps the connection
	}
	servers := []*rawServer{startRawServer(t, respond), startRawServer(t, respond)}
	for i, s := range servers {
		f.backend(fmt.Sprint("u", i), s.address)
	}
	f.install()
	f.assertResult(f.send("b1", "/bids/1", "an offer"), http.StatusBadGateway, "b1")
	assert.Equal(t, servers[0].requests.Load()+servers[1].requests.Load(), int64(1))
}

// rawResponse returns a response without a body. Headers are added as they are.
func rawResponse(status int, id string, headers ...string) string {
	lines := append([]string{fmt.Sprintf("HTTP/1.1 %d S", status), request.OwnNames.ID + ": " + id}, headers...)
	return strings.Join(lines, "\r\n") + "\r\nContent-Length: 0\r\n\r\n"
}

// TestRefusalOfAnotherRequestCountsForNone guards against a request that runs twice, or gets 503 though it has run, since
// a surplus response says that another request was sent to the wrong server.
func TestRefusalOfAnotherRequestCountsForNone(t *testing.T) {
	for _, status := range []int{http.StatusMisdirectedRequest, http.StatusServiceUnavailable} {
		for _, id := range []string{"another", ""} {
			assertMayHaveRun(t, func(own string) string {
				surplus := rawResponse(status, id, request.OwnNames.NotRun+": 1")
				return strings.Repeat(surplus, maxMismatchedResponses+1) + rawResponse(http.StatusOK, own)
			})
		}
	}
}

// TestResponseWithRepeatedHeaderCountsForNone guards against a response that is made of parts of two, and counts as the
// response to the request.
func TestResponseWithRepeatedHeaderCountsForNone(t *testing.T) {
	names := &request.OwnNames
	for _, response := range []func(id string) string{
		func(id string) string { return rawResponse(http.StatusOK, id, names.ID+": another") },
		func(id string) string { return rawResponse(http.StatusOK, "another", names.ID+": "+id) },
		func(id string) string { return rawResponse(http.StatusOK, id, names.Seal+": a", names.Seal+": b") },
		func(id string) string {
			return rawResponse(http.StatusServiceUnavailable, id, names.NotRun+": 1", names.Load+": 1,0,6", names.Load+": 1,0,6")
		},
		func(id string) string {
			return rawResponse(http.StatusServiceUnavailable, id, names.NotRun+": 1", names.Load+": 1,0,6HTTP/1.1 200 OK")
		},
	} {
		assertMayHaveRun(t, response)
	}
}
