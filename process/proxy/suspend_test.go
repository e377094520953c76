// SPDX-License-Identifier: MIT

package proxy

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/request"
	"shalewick/standin/server"
)

// The tests in this file cover a machine that is suspended while requests are in flight. The
// deadline of a request was once kept by a clock that stops during a suspension. After a suspension
// of 5 s the proxy treated requests as 5 s younger than they were: it sent them to backend
// servers with deadlines that were seconds too late, and retried requests that their callers had
// given up. The tests advance only the clock that includes suspensions.

// simulateSuspension makes the clock that includes suspensions adjustable.
func (f *fixture) simulateSuspension() (suspend func(time.Duration)) {
	var suspended atomic.Int64
	now := f.proxy.Now
	f.proxy.Now = func() time.Duration { return now() + time.Duration(suspended.Load()) }
	f.table.Now = f.proxy.Now
	return func(d time.Duration) { suspended.Add(int64(d)) }
}

// TestRequestExpiredDuringSuspensionIsCancelled checks that a request whose deadline passed while
// the machine was suspended is answered as soon as the suspension is detected, and that one with
// time left continues.
func TestRequestExpiredDuringSuspensionIsCancelled(t *testing.T) {
	f := newFixture(t, 1)
	suspend := f.simulateSuspension()
	f.backends[0].Work = 250 * time.Millisecond
	go func() {
		time.Sleep(50 * time.Millisecond)
		suspend(200 * time.Millisecond)
		f.proxy.CancelExpired()
	}()
	f.assertServed(f.send("in-time", "/reads/1", ""), "in-time")
	go func() {
		time.Sleep(50 * time.Millisecond)
		suspend(5 * time.Second)
		f.proxy.CancelExpired()
	}()
	r := f.send("expired", "/bids/1", "body")
	assert.Equal(t, r.status, http.StatusGatewayTimeout)
	assert.Assert(t, r.took < 150*time.Millisecond, "%s", r.took)
}

// TestRequestExpiredDuringSuspensionIsNotRetried checks that a request that was refused by a
// backend server while the machine was suspended is not retried, and is reported as not run.
func TestRequestExpiredDuringSuspensionIsNotRetried(t *testing.T) {
	f := newFixture(t, 2)
	suspend := f.simulateSuspension()
	for _, s := range f.backends {
		s.InjectFaults(server.ShedSlowly)
	}
	time.AfterFunc(50*time.Millisecond, func() { suspend(5 * time.Second) })
	r := f.send("expired", "/bids/1", "body")
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	assert.Equal(t, len(f.backends[0].Arrivals())+len(f.backends[1].Arrivals()), 1)
	assert.Equal(t, len(f.runs()), 0)
}

// TestForwardedDeadlineExcludesSuspension checks that the time of a suspension is subtracted from
// the deadline that a backend server receives.
func TestForwardedDeadlineExcludesSuspension(t *testing.T) {
	f := newFixture(t, 2)
	suspend := f.simulateSuspension()
	for _, s := range f.backends {
		s.InjectFaults(server.ShedSlowly)
	}
	time.AfterFunc(50*time.Millisecond, func() {
		suspend(300 * time.Millisecond)
		for _, s := range f.backends {
			s.InjectFaults()
		}
	})
	f.assertServed(f.send("served", "/reads/1", ""), "served")
	runs := f.runs()
	assert.Equal(t, len(runs), 1)
	left, err := strconv.Atoi(runs[0].Header.Get(request.OwnNames.Deadline))
	assert.NilError(t, err)
	assert.Assert(t, left <= 150, "%d ms of 600 after 150 ms and a suspension of 300 ms", left)
}
