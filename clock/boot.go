// SPDX-License-Identifier: MIT

package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was started, with the time in which it was
// suspended. Neither steps of the time of day move it nor is any of it left out, as Go's
// monotonic time leaves a suspension out; so it is the clock of all that has to be old after
// one: leases, tables, what is believed of others.
//
// The kernel is asked once a second, and whenever the time of day and Go's monotonic time have
// moved apart, as they do by a suspension. In between time.Now tells it, which is no
// system call.
func Now() time.Duration {
	t := time.Now()
	return defaultClock.now(t.Sub(reference()), t.UnixNano(), bootTime)
}

// bootTime asks the kernel.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return fallback() // kernels before 2.6.39 lack the clock
	}
	return time.Duration(ts.Nano())
}

const (
	// maxSampleAge is how long an answer of the kernel is good for, by Go's monotonic time.
	maxSampleAge = time.Second
	// minDivergence is by how much the time of day and monotonic time move apart in a suspension
	// that matters; adjustments of the time of day stay far below it within askPause.
	minDivergence = 10 * time.Millisecond
)

// sampledClock is a clock that is asked seldom. The zero value is ready.
type sampledClock struct{ last atomic.Pointer[sample] }

// sample is an answer of the kernel with the readings of the other clocks at that moment.
type sample struct {
	boot, monotonic time.Duration
	wall            int64 // time of day, ns
}

var defaultClock sampledClock

// now returns the time at a reading of the other clocks: Go's monotonic one, and the time of day
// in nanoseconds.
func (s *sampledClock) now(steady time.Duration, wall int64, ask func() time.Duration) time.Duration {
	if last := s.last.Load(); last != nil {
		passed := steady - last.monotonic
		apart := time.Duration(wall-last.wall) - passed
		if passed >= 0 && passed < maxSampleAge && apart.Abs() < minDivergence {
			return last.boot + passed
		}
	}
	boot := ask()
	s.last.Store(&sample{boot: boot, monotonic: steady, wall: wall})
	return boot
}

var reference = sync.OnceValue(time.Now)

// fallback is a clock that leaves suspensions out.
func fallback() time.Duration { return time.Since(reference()) + time.Hour }

// SuspensionDetector finds the suspensions of a machine by comparing Now with a clock that leaves
// them out. The zero value is ready.
type SuspensionDetector struct {
	known     bool
	monotonic time.Time
	now       time.Duration
}

// minSuspension is what two readings of the clocks one after the other may differ by since
// the thread was held up in between.
const minSuspension = 100 * time.Millisecond

// Observe compares the clocks, and returns how long the machine was suspended since the last
// call; zero: it was not.
func (s *SuspensionDetector) Observe(now time.Duration, steady time.Time) time.Duration {
	if !s.known {
		s.known, s.now, s.monotonic = true, now, steady
		return 0
	}
	lost := (now - s.now) - steady.Sub(s.monotonic)
	if lost < minSuspension {
		return 0
	}
	s.now, s.monotonic = now, steady
	return lost
}
