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

	"shalewick/process/held"
	"shalewick/process/logging"
	"shalewick/request"
)

// bound gives the proxy room for so many requests.
func (f *fixture) limitMemory(requests int64) *held.Budget {
	b := &held.Budget{Limit: requests * held.RequestOverhead, Now: f.proxy.Now}
	f.proxy.Memory = b
	return b
}

// slowCaller is a connection whose caller reads only when it is told to.
type slowCaller struct {
	net.Conn
	r *bufio.Reader
}

// slowly sends a request over a connection of its own.
func (f *fixture) openSlowCaller(head, body string) *slowCaller {
	f.t.Helper()
	c, err := net.Dial("tcp", f.front.Listener.Addr().String())
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, head+"\r\n\r\n"+body)
	assert.NilError(f.t, err)
	return &slowCaller{c, bufio.NewReader(c)}
}

// beyondSockets is more than the sockets of a connection take up, in bytes.
const largeBodySize = 16 << 20

const slowGetHead = "GET /reads/1 HTTP/1.1\r\nHost: a.example\r\n" + request.HeaderID + ": slow"

// eventually waits until something holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), what)
	}
}

// TestRequestBeyondTheMemoryIsRefusedAtOnce checks that a caller hears at once that its request
// has not run, and when to come back, while others hold all memory, and that it is served
// once they are cut off.
func TestMemoryFullIsRefusedImmediately(t *testing.T) {
	f := newFixture(t, 1)
	f.backends[0].Size = largeBodySize
	b := f.limitMemory(1)
	var log syncBuffer
	f.proxy.Log = logging.New(&log)
	slow := f.openSlowCaller(slowGetHead, "")
	eventually(t, "its answer is held up", func() bool { return len(f.backends[0].Runs()) == 1 && b.Held(held.Requests) > 0 })
	began := time.Now()
	got := f.send("second", "/reads/2", "")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.header.Get(request.HeaderResult), request.MemoryFull.String())
	assert.Equal(t, got.header.Get(request.HeaderRan), string(request.RanNo))
	assert.Assert(t, got.header.Get("Retry-After") != "" && time.Since(began) < 300*time.Millisecond)
	eventually(t, "the second caller is served", func() bool { return f.send("third", "/reads/2", "").status == http.StatusOK })
	eventually(t, "all is given back", func() bool { return b.Held(held.Requests) == 0 && b.Held(held.Responses) == 0 })
	_ = slow.Close()
	cut := log.lines("cut-off")
	assert.Equal(t, len(cut), 1)
	assert.Assert(t, strings.Contains(cut[0], "id=slow") && strings.Contains(cut[0], "waitedFor=answers"), cut[0])
}

// TestAnswerWithoutRoomIsPassedOn checks that an answer for which there is no room reaches a caller
// that reads as it would otherwise, though the request's deadline passes meanwhile.
func TestUnbufferedResponseIsStreamed(t *testing.T) {
	f := newFixture(t, 1)
	f.backends[0].Size = largeBodySize
	b := f.limitMemory(2) // for the request, and not for its answer
	slow := f.openSlowCaller(slowGetHead, "")
	time.Sleep(700 * time.Millisecond) // the route's timeout is 600 ms
	res, err := http.ReadResponse(slow.r, nil)
	assert.NilError(t, err)
	text, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(text), len("answer to slow")+largeBodySize)
	assert.Assert(t, strings.HasPrefix(string(text), "answer to slow"))
	assert.Equal(t, b.Held(held.Responses), int64(0))
}

// TestCallerThatDoesNotReadIsCutOff checks that its connection ends, and the one to the backend
// server with it, though there is room.
func TestCallerThatDoesNotReadIsCutOff(t *testing.T) {
	for _, room := range []int64{2, 1000} {
		t.Run(fmt.Sprint(room), func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 1)
			f.backends[0].Size = largeBodySize
			b := f.limitMemory(room)
			f.openSlowCaller(slowGetHead, "")
			eventually(t, "it is held", func() bool { return b.Held(held.Requests) > 0 })
			began := time.Now()
			eventually(t, "it is cut off", func() bool { return b.Held(held.Requests) == 0 })
			assert.Assert(t, time.Since(began) < held.MaxStall+2*time.Second)
			assert.Equal(t, f.table.InFlight("s"), 0)
		})
	}
}

// TestSlowBodyTakesNoRoom checks that a caller that says that it sends much, and sends little, holds
// no memory for what has not come, and that it is cut off for others.
func TestSlowBodyReservesNoMemory(t *testing.T) {
	f := newFixture(t, 1)
	b := f.limitMemory(1)
	slow := f.openSlowCaller("POST /reads/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1000000\r\n"+request.HeaderID+": slow", "begin")
	eventually(t, "it is held", func() bool { return b.Held(held.Requests) > 0 })
	assert.Equal(t, b.Held(held.Bodies), int64(0))
	res, err := http.ReadResponse(slow.r, nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusRequestTimeout)
	assert.Equal(t, len(f.backends[0].Runs()), 0)
}

// TestLargeBodyWithoutRoomIsPassedOn checks that a body for which there is no room is sent whole
// as it comes.
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

// TestRefusalAfterAPauseIsDelivered checks that a caller whose connection has rested gets whatever its
// next request ends with: the time in which the answer before had to be written must not end the
// connection.
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
