// SPDX-License-Identifier: MIT

package clock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestNowGoesOnWithTheSteadyClock checks that, without a suspension, both go on alike.
func TestNowGoesOnWithTheSteadyClock(t *testing.T) {
	begun, now := time.Now(), Now()
	time.Sleep(50 * time.Millisecond)
	differs := (Now() - now) - time.Since(begun)
	assert.Assert(t, differs.Abs() < 20*time.Millisecond, "%s", differs)
}

// TestSuspensionIsFoundOnce checks clocks of which one alone goes on, and one that is late.
func TestSuspensionIsFoundOnce(t *testing.T) {
	var s SuspensionDetector
	now, steady := time.Hour, time.Unix(1000, 0)
	on := func(both, suspended time.Duration) time.Duration {
		now += both + suspended
		steady = steady.Add(both)
		return s.Observe(now, steady)
	}
	assert.Equal(t, on(0, 0), time.Duration(0))
	assert.Equal(t, on(5*time.Second, 0), time.Duration(0))
	assert.Equal(t, on(time.Second, 4*time.Second), 4*time.Second)
	assert.Equal(t, on(time.Second, 0), time.Duration(0))
	assert.Equal(t, on(time.Second, 50*time.Millisecond), time.Duration(0), "held up between the readings")
	assert.Equal(t, on(time.Second, -50*time.Millisecond), time.Duration(0))
	assert.Equal(t, on(0, 2*time.Second), 2*time.Second)
}

// BenchmarkNow measures a reading of each clock.
func BenchmarkNow(b *testing.B) {
	b.Run("boot", func(b *testing.B) {
		for b.Loop() {
			Now()
		}
	})
	b.Run("steady", func(b *testing.B) {
		for b.Loop() {
			time.Now()
		}
	})
}

// TestSampledClockSeesSuspensions checks that a suspension counts at the first reading after it,
// that steps of the time of day do not count, and that the kernel is asked seldom. Each
// reading was a system call, and an instance of a large fleet reads the clock thousands of
// times a second.
func TestSampledClockSeesSuspensions(t *testing.T) {
	var s sampledClock
	steady, wall, boot, asks := time.Minute, int64(1e18), time.Hour, 0
	now := func() time.Duration {
		return s.now(steady, wall, func() time.Duration { asks++; return boot })
	}
	for range 1000 {
		steady, wall, boot = steady+time.Millisecond, wall+int64(time.Millisecond), boot+time.Millisecond
		assert.Equal(t, now(), boot)
	}
	assert.Assert(t, asks <= 2, "%d", asks)
	wall, boot = wall+int64(3*time.Second), boot+3*time.Second // suspended
	assert.Equal(t, now(), boot)
	wall -= int64(5 * time.Second) // the time of day was set back
	assert.Equal(t, now(), boot)
}
