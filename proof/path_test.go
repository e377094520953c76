// SPDX-License-Identifier: MIT

package proof

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"shalewick/load"
	"shalewick/request"
	"shalewick/standin/backend"
	"shalewick/standin/fleet"
)

// TestWholePath checks that requests of all classes are answered end to end, by 12 entries in
// 6 halls and 3 regions with 44 backend servers.
func TestWholePath(t *testing.T) {
	c := newCluster(t, clusterOptions{size: fleet.Caroni(), entries: 12, work: 5 * time.Millisecond})
	rep, _ := c.runUnderLoad(load.Options{Clients: c.callers(), Rate: 400, Duration: 5 * time.Second, Mix: c.mix()}, func() {})
	assert.Equal(t, rep.Faults(), 0)
	for _, l := range rep.Lines {
		assert.Equal(t, l.Answered, l.Sent, "%s: %v", l.Name, l.Refused)
	}
	assert.Assert(t, c.peakConcurrency() <= c.size.Slots)
	measureAddedLatency(t, c)
}

// measureAddedLatency logs the latency that an entry adds to a request. Requests directly to
// a backend server and through the entry alternate.
func measureAddedLatency(t *testing.T, c *cluster) {
	t.Helper()
	const pairs = 1000
	e := c.entries[0]
	upstream := c.backends[0].listen.String()
	direct, through := hdrhistogram.New(1, 1e7, 3), hdrhistogram.New(1, 1e7, 3)
	get := func(host string, h *hdrhistogram.Histogram) {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+host+"/?size=512", nil)
		assert.NilError(t, err)
		req.Header.Set(request.HeaderService, c.size.ReadService)
		start := time.Now()
		res, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, res.Body)
		assert.NilError(t, err)
		_ = res.Body.Close()
		assert.Equal(t, res.StatusCode, http.StatusOK)
		// Leaves out the time of work that the stand-in reports.
		worked, err := time.ParseDuration(res.Header.Get(backend.HeaderWork))
		assert.NilError(t, err)
		_ = h.RecordValue((time.Since(start) - worked).Microseconds())
	}
	for range pairs {
		get(upstream, direct)
		get(e.front, through)
	}
	us := func(h *hdrhistogram.Histogram, q float64) int64 { return h.ValueAtQuantile(q) }
	t.Logf("direct p50 %d us p99 %d us; through an entry p50 %d us p99 %d us; added p50 %d us",
		us(direct, 50), us(direct, 99), us(through, 50), us(through, 99), us(through, 50)-us(direct, 50))
}
