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

// enableRateLimits gives the proxy a rate limiter that owns all limits, as on the only instance.
func (f *fixture) enableRateLimits() *ratelimit.Limiter {
	l := &ratelimit.Limiter{
		Now: f.proxy.Now, Instances: func() int { return 1 }, Send: func(string, []byte) {},
		Owner: func(string, uint64) ratelimit.Owner { return ratelimit.Owner{Name: "self"} },
	}
	f.proxy.Limits, f.table.Limits = l, l
	return l
}

// TestRateLimitedServiceRefusesImmediatelyWithSpreadRetryAfter guards against requests that queue
// for a service whose backend servers are all rate-limited, and against giving all callers
// the same Retry-After time.
func TestRateLimitedServiceRefusesImmediatelyWithSpreadRetryAfter(t *testing.T) {
	f := newFixture(t, 2)
	f.enableRateLimits()
	for _, s := range f.backends {
		s.SetLimit(2)
	}
	for i := range 4 {
		f.sendFor(strconv.Itoa(i), fmt.Sprint("learn", i), "/reads/1", "") // each backend server is used
	}
	from := time.Now()
	refused, waits := 0, map[string]bool{}
	for i := range 200 {
		start := time.Now()
		got := f.sendFor(strconv.Itoa(i), fmt.Sprint("r", i), "/reads/1", "")
		assert.Assert(t, time.Since(start) < 100*time.Millisecond)
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
		for _, a := range s.Arrivals() {
			if a.At.After(from) {
				ran++
			}
		}
	}
	took := time.Since(from).Seconds()
	assert.Equal(t, ran, 200-refused, "refused requests must not have run")
	assert.Assert(t, float64(ran) <= 2*2*took+2*3, "%d in %.1f s", ran, took)
	assert.Assert(t, len(waits) > refused/4, "%d waits for %d refusals", len(waits), refused)
}

// TestRetriesKeepRateLimit guards against retries that are sent to a rate-limited backend server
// without a permit.
func TestRetriesKeepRateLimit(t *testing.T) {
	f := newFixture(t, 2)
	f.enableRateLimits()
	healthy, limited := f.backends[0], f.backends[1]
	limited.SetLimit(1)
	for i := 0; len(limited.Notices()) == 0; i++ {
		f.sendFor(strconv.Itoa(i), fmt.Sprint("learn", i), "/reads/1", "")
	}
	from := time.Now()
	for i := range 100 {
		healthy.InjectFaults(server.Shed)
		f.sendFor(strconv.Itoa(i), fmt.Sprint("r", i), "/reads/1", "")
		time.Sleep(5 * time.Millisecond)
	}
	n := 0
	for _, a := range limited.Arrivals() {
		if a.At.After(from) {
			n++
		}
	}
	assert.Assert(t, float64(n) <= time.Since(from).Seconds()+3, "%d requests", n)
}

// TestRateLimitNamedAfterPickNeedsPermit guards against requests that wait for a connection while
// their backend server reports a rate limit for the first time.
func TestRateLimitNamedAfterPickNeedsPermit(t *testing.T) {
	f := newFixture(t, 1)
	limiter := f.enableRateLimits()
	pick, _ := f.table.Pick(&balance.Query{Route: f.table.Routing().Route("a.example", "/reads/1"), Left: time.Second})
	assert.Assert(t, pick != nil)
	tx := &transaction{p: f.proxy, c: &call{}}
	assert.Assert(t, tx.acquirePermit(t.Context(), pick) && tx.permitValid(pick))
	limiter.RecordResponse(pick.RateLimitBackend(), 0.001, f.proxy.Now())
	assert.Assert(t, !tx.permitValid(pick))
}

// TestMisdirectedAndInvalidRateLimitsAreIgnored guards against using a rate limit that another
// server than the picked one reported, or that is invalid.
func TestMisdirectedAndInvalidRateLimitsAreIgnored(t *testing.T) {
	f := newFixture(t, 1)
	limiter := f.enableRateLimits()
	f.backends[0].SetLimit(3)
	f.backends[0].InjectFaults(server.Misdirected)
	f.send("moved", "/reads/1", "")
	assert.Equal(t, limiter.LimitedCount(), 0)

	f = newFixture(t, 1)
	limiter = f.enableRateLimits()
	f.backends[0].SetLimit(3)
	f.backends[0].InjectFaults(server.Shed)
	f.send("refused", "/reads/1", "")
	assert.Equal(t, limiter.LimitedCount(), 1, "the limit in a refusal counts")

	f = newFixture(t, 1)
	limiter = f.enableRateLimits()
	var log syncBuffer
	f.proxy.Log = logging.New(&log)
	f.backends[0].SetLimit(1e300)
	f.assertServed(f.send("bad", "/reads/1", ""), "bad")
	assert.Equal(t, limiter.LimitedCount(), 0)
	assert.Equal(t, len(log.lines("rate-limit-skipped")), 1)
	var metrics strings.Builder
	assert.NilError(t, f.proxy.Metrics.Write(&metrics))
	assert.Assert(t, strings.Contains(metrics.String(), `rate_limits_bad_total{service="s"} 1`), metrics.String())
}

// TestConcurrentRequestsKeepRateLimit guards against concurrent requests that together exceed the
// rate limit.
func TestConcurrentRequestsKeepRateLimit(t *testing.T) {
	f := newFixture(t, 2)
	f.enableRateLimits()
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
	for _, a := range limited.Arrivals() {
		if a.At.After(from.Add(50 * time.Millisecond)) {
			n++
		}
	}
	assert.Assert(t, float64(n) <= 4*time.Since(from).Seconds()+3, "%d requests", n)
}
