// SPDX-License-Identifier: MIT

package metric

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func text(t *testing.T, s *Set) string {
	t.Helper()
	var out bytes.Buffer
	assert.NilError(t, s.Write(&out))
	return out.String()
}

// TestSoftwareMetrics checks the metrics of two versions of a service's software, and that an
// empty version has none.
func TestSoftwareMetrics(t *testing.T) {
	s := NewSet()
	s.Software("bids", "v1", false, 20*time.Millisecond)
	s.Software("bids", "v2", true, 90*time.Millisecond)
	s.Software("bids", "", true, time.Millisecond)
	got := text(t, s)
	for _, l := range strings.Split(strings.TrimSpace(got), "\n") {
		assert.Assert(t, sample.MatchString(l), "%q", l)
	}
	for _, want := range []string{
		`shalewick_software_requests_total{service="bids",software="v1"} 1`,
		`shalewick_software_failures_total{service="bids",software="v1"} 0`,
		`shalewick_software_failures_total{service="bids",software="v2"} 1`,
		`shalewick_software_latency_us{service="bids",software="v1",quantile="0.5"} 20000`,
		`shalewick_software_latency_us_count{service="bids",software="v2"} 0`,
	} {
		assert.Assert(t, strings.Contains(got, want), "%s in\n%s", want, got)
	}
	assert.Equal(t, strings.Count(got, "software_requests_total"), 2)
}

// TestSoftwareVersionsAreLimitedByService checks that the most recently used versions have
// separate metrics, that merging loses no counts, and that one service does not affect another.
func TestSoftwareVersionsAreLimitedByService(t *testing.T) {
	s := NewSet()
	s.Software("calm", "v0", false, time.Millisecond)
	for i := range 3 * maxSoftware {
		s.Software("bids", "first", false, time.Millisecond)
		for range i + 1 {
			s.Software("bids", fmt.Sprintf("v%d", i), i%2 == 0, time.Millisecond)
		}
	}
	got := text(t, s)
	assert.Equal(t, strings.Count(got, `software_requests_total{service="bids"`), maxSoftware+1)
	for _, want := range []string{
		`requests_total{service="calm",software="v0"} 1`,
		`requests_total{service="bids",software="first"} 12`,
		`requests_total{service="bids",software="v11"} 12`,
		`requests_total{service="bids",software="v9"} 10`,
		`requests_total{service="bids",software="(others)"} 45`,
		`failures_total{service="bids",software="(others)"} 25`,
		`latency_us_count{service="bids",software="(others)"} 20`,
	} {
		assert.Assert(t, strings.Contains(got, "software_"+want), "%s in\n%s", want, got)
	}
}

// TestSoftwareMetricsAreSafeForConcurrentUse records and prints metrics concurrently, for the
// race detector.
func TestSoftwareMetricsAreSafeForConcurrentUse(t *testing.T) {
	s := NewSet()
	var group sync.WaitGroup
	for i := range 4 {
		group.Go(func() {
			for n := range 500 {
				s.Software("s", fmt.Sprint("v", (n/50+i)%6), n%3 == 0, time.Millisecond)
			}
		})
	}
	group.Go(func() { _ = text(t, s) })
	group.Wait()
}
