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

// What follows is of machines that are suspended while requests are under way. Seen in the
// code, not in a play: the time of a request was kept by a clock that stands still meanwhile.
// How: a machine that was suspended for 5 s went on with requests as if these were 5 s
// younger, told backend servers that there were seconds left, and sent to further ones what
// its caller had given up. Proof: here the clock that goes on jumps, and the other does not.

// suspendable lets the clock that goes on while the machine is suspended jump.
func (f *fixture) simulateSuspension() (suspend func(time.Duration)) {
	var jumped atomic.Int64
	now := f.proxy.Now
	f.proxy.Now = func() time.Duration { return now() + time.Duration(jumped.Load()) }
	f.table.Now = f.proxy.Now
	return func(d time.Duration) { jumped.Add(int64(d)) }
}

// TestRequestThatAgedInASuspensionEnds checks that a request whose time passed while the
// machine was suspended gets its final answer as soon as that is known, and one that has time
// left does not.
func TestRequestExpiredDuringSuspensionIsCancelled(t *testing.T) {
	f := newFixture(t, 1)
	suspend := f.simulateSuspension()
	f.backends[0].Work = 250 * time.Millisecond
	go func() {
		time.Sleep(50 * time.Millisecond)
		suspend(200 * time.Millisecond)
		f.proxy.CancelExpired()
	}()
	f.assertServed(f.send("younger", "/reads/1", ""), "younger")
	go func() {
		time.Sleep(50 * time.Millisecond)
		suspend(5 * time.Second)
		f.proxy.CancelExpired()
	}()
	r := f.send("lapsed", "/bids/1", "body")
	assert.Equal(t, r.status, http.StatusGatewayTimeout)
	assert.Assert(t, r.took < 150*time.Millisecond, "%s", r.took)
}

// TestNothingIsSentOnForARequestThatAged checks that a request that was refused while the
// machine was suspended is sent to no further backend server, and says that it has not run.
func TestRequestExpiredDuringSuspensionIsNotRetried(t *testing.T) {
	f := newFixture(t, 2)
	suspend := f.simulateSuspension()
	for _, s := range f.backends {
		s.Next(server.ShedLate)
	}
	time.AfterFunc(50*time.Millisecond, func() { suspend(5 * time.Second) })
	r := f.send("aged", "/bids/1", "body")
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	assert.Equal(t, len(f.backends[0].Came())+len(f.backends[1].Came()), 1)
	assert.Equal(t, len(f.runs()), 0)
}

// TestBackendIsToldTheTimeThatIsLeft checks that a suspension comes off the time that a
// backend server is told.
func TestForwardedDeadlineExcludesSuspension(t *testing.T) {
	f := newFixture(t, 2)
	suspend := f.simulateSuspension()
	for _, s := range f.backends {
		s.Next(server.ShedLate)
	}
	time.AfterFunc(50*time.Millisecond, func() {
		suspend(300 * time.Millisecond)
		for _, s := range f.backends {
			s.Next()
		}
	})
	f.assertServed(f.send("told", "/reads/1", ""), "told")
	runs := f.runs()
	assert.Equal(t, len(runs), 1)
	left, err := strconv.Atoi(runs[0].Header.Get(request.OwnNames.Deadline))
	assert.NilError(t, err)
	assert.Assert(t, left <= 150, "%d ms of 600 after 150 ms and a suspension of 300 ms", left)
}
