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
	"time"

	"gotest.tools/v3/assert"

	"shalewick/process/drain"
	"shalewick/process/held"
	"shalewick/process/logging"
	"shalewick/request"
)

// limitMemory gives the proxy a memory budget for the given number of requests.
func (f *fixture) limitMemory(requests int64) *held.Budget {
	b := &held.Budget{Limit: requests * held.RequestOverhead, Now: f.proxy.Now}
	f.proxy.Memory = b
	return b
}

// slowCaller is a connection that the test reads from explicitly.
type slowCaller struct {
	net.Conn
	r *bufio.Reader
}

// openSlowCaller sends a request over a new connection.
func (f *fixture) openSlowCaller(head, body string) *slowCaller {
	f.t.Helper()
	c, err := net.Dial("tcp", f.proxyServer.Listener.Addr().String())
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, head+"\r\n\r\n"+body)
	assert.NilError(f.t, err)
	return &slowCaller{c, bufio.NewReader(c)}
}

// largeBodySize is more than the socket buffers of a connection hold, in bytes.
const largeBodySize = 16 << 20

const slowGetHead = "GET /reads/1 HTTP/1.1\r\nHost: a.example\r\n" + request.HeaderID + ": slow"

// eventually polls until a condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), what)
	}
}

// TestMemoryFullIsRefusedImmediately checks that while other requests hold all memory, a request is
// refused immediately as not run, with a Retry-After time, and that it is served once the others have
// been cut off.
func TestMemoryFullIsRefusedImmediately(t *testing.T) {
	f := newFixture(t, 1)
	f.backends[0].PaddingBytes = largeBodySize
	b := f.limitMemory(1)
	var log syncBuffer
	f.proxy.Log = logging.New(&log)
	slow := f.openSlowCaller(slowGetHead, "")
	eventually(t, "the response is blocked", func() bool { return len(f.backends[0].Runs()) == 1 && b.Held(held.Requests) > 0 })
	start := time.Now()
	got := f.send("second", "/reads/2", "")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.header.Get(request.HeaderResult), request.MemoryFull.String())
	assert.Equal(t, got.header.Get(request.HeaderRan), string(request.RanNo))
	assert.Assert(t, got.header.Get("Retry-After") != "" && time.Since(start) < 300*time.Millisecond)
	eventually(t, "the second caller is served", func() bool { return f.send("third", "/reads/2", "").status == http.StatusOK })
	eventually(t, "all memory is released", func() bool { return b.Held(held.Requests) == 0 && b.Held(held.Responses) == 0 })
	_ = slow.Close()
	cut := log.lines("cut-off")
	assert.Equal(t, len(cut), 1)
	assert.Assert(t, strings.Contains(cut[0], "id=slow") && strings.Contains(cut[0], "waitedFor=answers"), cut[0])
}

// TestUnbufferedResponseIsStreamed checks that a response that does not fit into the memory budget
// reaches a caller that reads, even though the request's deadline passes meanwhile.
func TestUnbufferedResponseIsStreamed(t *testing.T) {
	f := newFixture(t, 1)
	f.backends[0].PaddingBytes = largeBodySize
	b := f.limitMemory(2) // enough for the request but not for its response
	slow := f.openSlowCaller(slowGetHead, "")
	time.Sleep(700 * time.Millisecond) // the route's timeout is 600 ms
	res, err := http.ReadResponse(slow.r, nil)
	assert.NilError(t, err)
	data, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(data), len("answer to slow")+largeBodySize)
	assert.Assert(t, strings.HasPrefix(string(data), "answer to slow"))
	assert.Equal(t, b.Held(held.Responses), int64(0))
}

// TestCallerThatDoesNotReadIsCutOff checks that the connections to the caller and to the backend
// server are closed, even if there is free memory.
func TestCallerThatDoesNotReadIsCutOff(t *testing.T) {
	for _, capacity := range []int64{2, 1000} {
		t.Run(fmt.Sprint(capacity), func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 1)
			f.backends[0].PaddingBytes = largeBodySize
			b := f.limitMemory(capacity)
			f.openSlowCaller(slowGetHead, "")
			eventually(t, "memory is held", func() bool { return b.Held(held.Requests) > 0 })
			start := time.Now()
			eventually(t, "the caller is cut off", func() bool { return b.Held(held.Requests) == 0 })
			assert.Assert(t, time.Since(start) < held.MaxStall+2*time.Second)
			assert.Equal(t, f.table.InFlight("s"), 0)
		})
	}
}

// TestSlowBodyReservesNoMemory checks that a caller that announces a large body and sends little of
// it holds no memory for the missing part, and that it is cut off.
func TestSlowBodyReservesNoMemory(t *testing.T) {
	f := newFixture(t, 1)
	b := f.limitMemory(1)
	slow := f.openSlowCaller("POST /reads/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1000000\r\n"+request.HeaderID+": slow", "begin")
	eventually(t, "memory is held", func() bool { return b.Held(held.Requests) > 0 })
	assert.Equal(t, b.Held(held.Bodies), int64(0))
	res, err := http.ReadResponse(slow.r, nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusRequestTimeout)
	assert.Equal(t, len(f.backends[0].Runs()), 0)
}

// TestUnbufferedBodyIsStreamed checks that a body that does not fit into the memory budget is
// streamed completely.
func TestUnbufferedBodyIsStreamed(t *testing.T) {
	f := newFixture(t, 1)
	f.limitMemory(2)
	body := strings.Repeat("0123456789", 100_000)
	slow := f.openSlowCaller(fmt.Sprintf("POST /reads/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: %d\r\n%s: slow", len(body), request.HeaderID), body)
	res, err := http.ReadResponse(slow.r, nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusOK)
	runs := f.backends[0].Runs()
	assert.Equal(t, len(runs), 1)
	assert.Assert(t, runs[0].Body == body)
}

// TestRefusalAfterIdlePeriodIsDelivered checks that the response to the next request on an idle
// connection is delivered. The write deadline of the previous response must not apply to it.
func TestRefusalAfterIdlePeriodIsDelivered(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 1)
	f.assertServed(f.send("first", "/reads/1", ""), "first")
	c := f.openSlowCaller(slowGetHead, "")
	_, err := http.ReadResponse(c.r, nil)
	assert.NilError(t, err)
	_, err = io.CopyN(io.Discard, c.r, int64(len("answer to slow")))
	assert.NilError(t, err)
	time.Sleep(held.MaxStall + 500*time.Millisecond)
	_, err = io.WriteString(c, "GET /nowhere HTTP/1.1\r\nHost: a.example\r\n\r\n")
	assert.NilError(t, err)
	res, err := http.ReadResponse(c.r, nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusNotFound)
}

// TestLargeHeadsAreChargedForTheirMemory guards against requests in flight whose heads take far more memory than a request is
// charged for: lines of a few bytes, each of which is an entry of a map.
func TestLargeHeadsAreChargedForTheirMemory(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 1)
	b := f.limitMemory(100)
	const lines = 500
	var head strings.Builder
	fmt.Fprintf(&head, "POST /reads/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 5")
	for i := range lines {
		fmt.Fprintf(&head, "\r\n%x:", i)
	}
	slow := f.openSlowCaller(head.String(), "")
	eventually(t, "the head is charged for", func() bool { return b.Held(held.Requests) >= held.RequestOverhead+lines*drain.HeaderLineOverhead })
	_, err := http.ReadResponse(slow.r, nil)
	assert.NilError(t, err)
	eventually(t, "all memory is released", func() bool { return b.Held(held.Requests) == 0 })

	f.limitMemory(2) // enough for a request, not for the head
	res, err := http.ReadResponse(f.openSlowCaller(head.String(), "").r, nil)
	assert.NilError(t, err)
	assert.Equal(t, res.Header.Get(request.HeaderResult), request.MemoryFull.String())
	assert.Equal(t, res.Header.Get(request.HeaderRan), string(request.RanNo))
	f.assertServed(f.send("small", "/reads/2", ""), "small")
}
