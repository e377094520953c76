// SPDX-License-Identifier: MIT

package clock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestMaxSchedulingDelayOfWindow checks waits that end in time, one that ends late and one that is
// overdue, and that delays expire after the window.
func TestMaxSchedulingDelayOfWindow(t *testing.T) {
	const pause = 50 * time.Millisecond
	var d SchedulingDelay
	now := time.Hour
	assert.Equal(t, d.Max(now), time.Duration(0), "no wait was recorded")
	wait := func(late time.Duration) {
		d.BeginWait(now + pause)
		now += pause + late
		d.EndWait(now)
	}
	wait(0)
	wait(30 * time.Millisecond)
	wait(0)
	assert.Equal(t, d.Max(now), 30*time.Millisecond)
	assert.Equal(t, d.Max(now+time.Second/2), 30*time.Millisecond, "the loop does not wait")
	d.BeginWait(now + pause)
	assert.Equal(t, d.Max(now+pause+time.Minute), time.Minute, "a caller that is scheduled before the loop after a suspension")
	for range int(delayWindow/pause) + 2 {
		wait(0)
	}
	assert.Equal(t, d.Max(now), time.Duration(0))
}

// BenchmarkSchedulingDelay measures recording a wait and a call of Max.
func BenchmarkSchedulingDelay(b *testing.B) {
	var d SchedulingDelay
	b.Run("wait", func(b *testing.B) {
		for b.Loop() {
			d.BeginWait(Now())
			d.EndWait(Now())
		}
	})
	b.Run("max", func(b *testing.B) {
		for b.Loop() {
			d.Max(time.Hour)
		}
	})
}
