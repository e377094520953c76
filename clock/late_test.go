// SPDX-License-Identifier: MIT

package clock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLatenessIsTheGreatestOfTheLastSecond checks waits that end in time, one that ends late, one
// that is overdue, one that is over, and that a second later nothing of it counts.
func TestLatenessIsTheGreatestOfTheLastSecond(t *testing.T) {
	const pause = 50 * time.Millisecond
	var l SchedulingDelay
	now := time.Hour
	assert.Equal(t, l.Max(now), time.Duration(0), "nothing waits")
	wait := func(late time.Duration) {
		l.BeginWait(now + pause)
		now += pause + late
		l.EndWait(now)
	}
	wait(0)
	wait(30 * time.Millisecond)
	wait(0)
	assert.Equal(t, l.Max(now), 30*time.Millisecond)
	assert.Equal(t, l.Max(now+time.Second/2), 30*time.Millisecond, "the loop does not wait")
	l.BeginWait(now + pause)
	assert.Equal(t, l.Max(now+pause+time.Minute), time.Minute, "whoever asks first after a suspension")
	for range int(delayWindow/pause) + 2 {
		wait(0)
	}
	assert.Equal(t, l.Max(now), time.Duration(0))
}

// BenchmarkLateness measures a wait and a question.
func BenchmarkLateness(b *testing.B) {
	var l SchedulingDelay
	b.Run("wait", func(b *testing.B) {
		for b.Loop() {
			l.BeginWait(Now())
			l.EndWait(Now())
		}
	})
	b.Run("most", func(b *testing.B) {
		for b.Loop() {
			l.Max(time.Hour)
		}
	})
}
