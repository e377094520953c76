// SPDX-License-Identifier: MIT

package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"shalewick/conn"
	"shalewick/process/balance"
	"shalewick/request"
	"shalewick/standin/server"
)

// The tests in this file compare what callers receive with what backend servers did.

// TestLateResponseIsDelivered checks that a response after the objective, with little of the
// route's timeout left, still reaches the caller.
func TestLateResponseIsDelivered(t *testing.T) {
	f := newFixture(t, 1)
	f.backends[0].Work = 520 * time.Millisecond // the route's timeout is 600 ms, its objective 300 ms
	for i, path := range []string{"/reads/1", "/bids/1"} {
		id := fmt.Sprint("x", i)
		f.assertServed(f.send(id, path, "body"), id)
	}
	assert.Equal(t, len(f.runs()), 2)
}

// TestBackendServerErrorIsDeliveredUnchanged checks that a backend server's own 500 reaches the
// caller unchanged, and is neither replaced nor retried.
func TestBackendServerErrorIsDeliveredUnchanged(t *testing.T) {
	for _, path := range []string{"/reads/1", "/bids/1"} {
		f := newFixture(t, 2)
		f.failFirstBackend(server.InternalError)
		r := f.send("x", path, "body")
		assert.NilError(t, r.err)
		assert.Equal(t, r.status, http.StatusInternalServerError)
		assert.Equal(t, r.body, server.ResponseBody("x"))
		assert.Equal(t, r.header.Get(request.OwnNames.Seal), "seal-x")
		assert.Equal(t, len(f.runs()), 2)
	}
}

// TestLateRefusalIsRetriedOrReportedNotRun checks that a request that a backend server refuses only
// after a while is retried on another one, or refused as not run.
func TestLateRefusalIsRetriedOrReportedNotRun(t *testing.T) {
	f := newFixture(t, 2)
	f.failFirstBackend(server.ShedSlowly)
	f.assertServed(f.send("x", "/bids/1", "body"), "x")
	assert.Equal(t, len(f.runs()), 2)
	for _, s := range f.backends {
		s.InjectFaults(server.ShedSlowly, server.ShedSlowly)
	}
	r := f.send("y", "/bids/1", "body")
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	assert.Equal(t, r.header.Get(request.HeaderRan), string(request.RanNo))
	assert.Assert(t, r.took < 450*time.Millisecond, "%s", r.took)
	for _, run := range f.runs() {
		assert.Assert(t, run.ID != "y")
	}
}

// TestTooShortDeadlineIsRefusedImmediately checks that a request whose remaining time is less than
// backend servers need is refused immediately, without having run.
func TestTooShortDeadlineIsRefusedImmediately(t *testing.T) {
	f := newFixture(t, 1)
	f.backends[0].Work = 100 * time.Millisecond
	for i := range 25 { // warm up the estimate of the usual processing time
		id := fmt.Sprint("w", i)
		f.assertServed(f.send(id, "/reads/1", ""), id)
	}
	ran := len(f.runs())
	req, err := http.NewRequest(http.MethodGet, f.proxyServer.URL+"/reads/1", nil)
	assert.NilError(t, err)
	req.Host = "a.example"
	req.Header.Set(request.OwnNames.ID, "x")
	req.Header.Set(request.OwnNames.Affinity, "7")
	req.Header.Set(request.OwnNames.Deadline, "60")
	start := time.Now()
	res, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	res.Body.Close()
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, res.Header.Get(request.HeaderResult), request.DeadlineNear.String())
	assert.Equal(t, res.Header.Get(request.HeaderRan), string(request.RanNo))
	assert.Assert(t, time.Since(start) < 50*time.Millisecond)
	assert.Equal(t, len(f.runs()), ran)
}

// TestUserTimeoutCountsAsUnreachable checks that a connection whose peer no longer acknowledges
// anything counts as an unreachable backend server, not as a lost response.
func TestUserTimeoutCountsAsUnreachable(t *testing.T) {
	timedOut := &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}
	unacknowledged := &conn.DispatchError{Sent: true, Err: errors.Annotate(timedOut, "read response")}
	assert.Equal(t, outcomeOf(unacknowledged), balance.Unreachable)
	late := &conn.DispatchError{Sent: true, Err: errors.Annotate(os.ErrDeadlineExceeded, "read response")}
	assert.Equal(t, outcomeOf(late), balance.Lost)
	assert.Equal(t, outcomeOf(io.ErrUnexpectedEOF), balance.Lost)
}
