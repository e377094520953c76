// SPDX-License-Identifier: MIT

package clock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestNowFollowsMonotonicTime checks that both clocks advance equally without a suspension.
func TestNowFollowsMonotonicTime(t *testing.T) {
	start, now := time.Now(), Now()
	time.Sleep(50 * time.Millisecond)
	difference := (Now() - now) - time.Since(start)
	assert.Assert(t, difference.Abs() < 20*time.Millisecond, "%s", difference)
}

// TestSuspensionIsReportedOnce checks that a suspension is reported by one call only, and that
// differences below minSuspension are not reported.
func TestSuspensionIsReportedOnce(t *testing.T) {
	var s SuspensionDetector
	now, monotonic := time.Hour, time.Unix(1000, 0)
	advance := func(both, suspended time.Duration) time.Duration {
		now += both + suspended
		monotonic = monotonic.Add(both)
		return s.Observe(now, monotonic)
	}
	assert.Equal(t, advance(0, 0), time.Duration(0))
	assert.Equal(t, advance(5*time.Second, 0), time.Duration(0))
	assert.Equal(t, advance(time.Second, 4*time.Second), 4*time.Second)
	assert.Equal(t, advance(time.Second, 0), time.Duration(0))
	assert.Equal(t, advance(time.Second, 50*time.Millisecond), time.Duration(0), "stalled between the readings")
	assert.Equal(t, advance(time.Second, -50*time.Millisecond), time.Duration(0))
	assert.Equal(t, advance(0, 2*time.Second), 2*time.Second)
}

// BenchmarkNow compares the cost of Now and time.Now.
func BenchmarkNow(b *testing.B) {
	b.Run("boot", func(b *testing.B) {
		for b.Loop() {
			Now()
		}
	})
	b.Run("monotonic", func(b *testing.B) {
		for b.Loop() {
			time.Now()
		}
	})
}

// TestSampledClockIncludesSuspensions checks that the first reading after a suspension includes
// it, that changes of the wall clock have no effect, and that the kernel clock is read rarely. Now
// used to be a system call each time, and an instance of a large fleet calls it thousands of times
// per second.
func TestSampledClockIncludesSuspensions(t *testing.T) {
	var s sampledClock
	monotonic, wall, boot, reads := time.Minute, int64(1e18), time.Hour, 0
	now := func() time.Duration {
		return s.now(monotonic, wall, func() time.Duration { reads++; return boot })
	}
	for range 1000 {
		monotonic, wall, boot = monotonic+time.Millisecond, wall+int64(time.Millisecond), boot+time.Millisecond
		assert.Equal(t, now(), boot)
	}
	assert.Assert(t, reads <= 2, "%d", reads)
	wall, boot = wall+int64(3*time.Second), boot+3*time.Second // suspended
	assert.Equal(t, now(), boot)
	wall -= int64(5 * time.Second) // the wall clock was set back
	assert.Equal(t, now(), boot)
}
