// SPDX-License-Identifier: MIT

package clock

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLatenessIsTheGreatestOfTheLastSecond checks looks that come in time, one that comes late,
// one that is overdue, and that a second later nothing of it counts.
func TestLatenessIsTheGreatestOfTheLastSecond(t *testing.T) {
	var l Lateness
	now := time.Hour
	assert.Equal(t, l.Most(now), time.Duration(0), "nothing is watched")
	l.wait(now)
	on := func(late time.Duration) {
		now += latePause + late
		l.look(now)
	}
	on(0)
	on(30 * time.Millisecond)
	on(0)
	assert.Equal(t, l.Most(now), 30*time.Millisecond)
	assert.Equal(t, l.Most(now+latePause+time.Minute), time.Minute, "whoever asks first after a suspension")
	for range int(lateSpan/latePause) + lateBins*2 {
		on(0)
	}
	assert.Equal(t, l.Most(now), time.Duration(0))
}

// TestLatenessEndsWithItsWatch checks that one that is watched no more grows no more.
func TestLatenessEndsWithItsWatch(t *testing.T) {
	var l Lateness
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan bool)
	go func() {
		l.Watch(ctx, Now, func() bool { return true })
		close(ended)
	}()
	time.Sleep(5 * latePause)
	cancel()
	<-ended
	assert.Equal(t, l.Most(Now()+time.Hour), time.Duration(0))
}

// BenchmarkLook measures a look and a question.
func BenchmarkLook(b *testing.B) {
	var l Lateness
	b.Run("look", func(b *testing.B) {
		for b.Loop() {
			l.look(Now())
		}
	})
	b.Run("most", func(b *testing.B) {
		for b.Loop() {
			l.Most(time.Hour)
		}
	})
}
