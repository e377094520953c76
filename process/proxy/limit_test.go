// SPDX-License-Identifier: MIT

package proxy

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/process/balance"
	"shalewick/process/logging"
	"shalewick/process/ratelimit"
	"shalewick/standin/server"
)

// limited lets the proxy of a fixture keep rate limits, as the only instance.
func (f *fixture) limited() *ratelimit.Limiter {
	l := &ratelimit.Limiter{
		Now: f.proxy.Now, Instances: func() int { return 1 }, Send: func(string, []byte) {},
		Owner: func(string, uint64) ratelimit.Owner { return ratelimit.Owner{Name: "self"} },
	}
	f.proxy.Limits, f.table.Limits = l, l
	return l
}

// TestLimitedServiceRefusesAtOnceAndSpreadsCallers guards against requests that wait for a service
// all of whose servers are limited, and against callers that are all told to come back at one
// moment.
func TestLimitedServiceRefusesAtOnceAndSpreadsCallers(t *testing.T) {
	f := newFixture(t, 2)
	f.limited()
	for _, s := range f.backends {
		s.SetLimit(2)
	}
	for i := range 4 {
		f.sendFor(strconv.Itoa(i), fmt.Sprint("learn", i), "/reads/1", "") // each server is met
	}
	from := time.Now()
	refused, waits := 0, map[string]bool{}
	for i := range 200 {
		begun := time.Now()
		got := f.sendFor(strconv.Itoa(i), fmt.Sprint("r", i), "/reads/1", "")
		assert.Assert(t, time.Since(begun) < 100*time.Millisecond)
		if got.status == http.StatusServiceUnavailable {
			refused++
			wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			assert.NilError(t, err)
			assert.Assert(t, wait > 0)
			waits[got.header.Get("Retry-After")] = true
		}
		time.Sleep(5 * time.Millisecond)
	}
	ran := 0
	for _, s := range f.backends {
		for _, a := range s.Came() {
			if a.At.After(from) {
				ran++
			}
		}
	}
	took := time.Since(from).Seconds()
	assert.Equal(t, ran, 200-refused, "a refusal means that it has not run")
	assert.Assert(t, float64(ran) <= 2*2*took+2*3, "%d in %.1f s", ran, took)
	assert.Assert(t, len(waits) > refused/4, "%d waits for %d refusals", len(waits), refused)
}

// TestFurtherAttemptsKeepTheLimit guards against further attempts, which go where the first one did
// not, that are sent without a permit.
func TestFurtherAttemptsKeepTheLimit(t *testing.T) {
	f := newFixture(t, 2)
	f.limited()
	healthy, limited := f.backends[0], f.backends[1]
	limited.SetLimit(1)
	for i := 0; len(limited.Notices()) == 0; i++ {
		f.sendFor(strconv.Itoa(i), fmt.Sprint("learn", i), "/reads/1", "")
	}
	from := time.Now()
	for i := range 100 {
		healthy.Next(server.Shed)
		f.sendFor(strconv.Itoa(i), fmt.Sprint("r", i), "/reads/1", "")
		time.Sleep(5 * time.Millisecond)
	}
	n := 0
	for _, a := range limited.Came() {
		if a.At.After(from) {
			n++
		}
	}
	assert.Assert(t, float64(n) <= time.Since(from).Seconds()+3, "%d requests", n)
}

// TestRequestChosenBeforeTheLimitWasNamedNeedsAPermit guards against requests that wait for a
// connection while their server names a limit.
func TestRequestChosenBeforeTheLimitWasNamedNeedsAPermit(t *testing.T) {
	f := newFixture(t, 1)
	limiter := f.limited()
	pick, _ := f.table.Pick(&balance.Query{Route: f.table.Routing().Route("a.example", "/reads/1"), Left: time.Second})
	assert.Assert(t, pick != nil)
	trial := &trial{p: f.proxy, c: &call{}}
	assert.Assert(t, trial.permitted(t.Context(), pick) && trial.withinLimit(pick))
	limiter.RecordAnswer(pick.RateLimitBackend(), 0.001, f.proxy.Now())
	assert.Assert(t, !trial.withinLimit(pick))
}

// TestLimitsOfOtherServersAndBadOnesChangeNothing guards against a limit that is not the chosen
// server's word, or none that can be read.
func TestLimitsOfOtherServersAndBadOnesChangeNothing(t *testing.T) {
	f := newFixture(t, 1)
	limiter := f.limited()
	f.backends[0].SetLimit(3)
	f.backends[0].Next(server.Moved)
	f.send("moved", "/reads/1", "")
	assert.Equal(t, limiter.LimitedCount(), 0)

	f = newFixture(t, 1)
	limiter = f.limited()
	f.backends[0].SetLimit(3)
	f.backends[0].Next(server.Shed)
	f.send("refused", "/reads/1", "")
	assert.Equal(t, limiter.LimitedCount(), 1, "a refusal is its server's word")

	f = newFixture(t, 1)
	limiter = f.limited()
	var log syncBuffer
	f.proxy.Log = logging.New(&log)
	f.backends[0].SetLimit(1e300)
	f.own(f.send("bad", "/reads/1", ""), "bad")
	assert.Equal(t, limiter.LimitedCount(), 0)
	assert.Equal(t, len(log.lines("rate-limit-skipped")), 1)
	var metrics strings.Builder
	assert.NilError(t, f.proxy.Metrics.Write(&metrics))
	assert.Assert(t, strings.Contains(metrics.String(), `rate_limits_bad_total{service="s"} 1`), metrics.String())
}

// TestManyRequestsAtOnceKeepTheLimit guards against requests that are decided on at the same moment.
func TestManyRequestsAtOnceKeepTheLimit(t *testing.T) {
	f := newFixture(t, 2)
	f.limited()
	limited := f.backends[1]
	limited.SetLimit(4)
	for i := 0; len(limited.Notices()) == 0; i++ {
		f.sendFor(strconv.Itoa(i), fmt.Sprint("learn", i), "/reads/1", "")
	}
	from := time.Now()
	var callers sync.WaitGroup
	for c := range 16 {
		callers.Go(func() {
			for i := range 40 {
				f.sendFor(strconv.Itoa(40*c+i), fmt.Sprintf("%d-%d", c, i), "/reads/1", "")
			}
		})
	}
	callers.Wait()
	n := 0
	for _, a := range limited.Came() {
		if a.At.After(from.Add(50 * time.Millisecond)) {
			n++
		}
	}
	assert.Assert(t, float64(n) <= 4*time.Since(from).Seconds()+3, "%d requests", n)
}
