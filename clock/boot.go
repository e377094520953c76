// SPDX-License-Identifier: MIT

package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was booted, including the time for which it was
// suspended. It is not affected by changes of the wall clock, and unlike Go's monotonic time it
// continues during a suspension. It is therefore used for everything that has to expire after a
// suspension: leases, tables, and state received from other instances.
//
// The kernel clock is only read if the last reading is older than maxSampleAge, or if wall clock and
// monotonic time have diverged since, as they do during a suspension. Otherwise Now adds the time
// that has elapsed according to time.Now, which needs no system call.
func Now() time.Duration {
	t := time.Now()
	return defaultClock.now(t.Sub(reference()), t.UnixNano(), bootTime)
}

// bootTime reads the kernel clock.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return fallback() // the clock requires Linux 2.6.39
	}
	return time.Duration(ts.Nano())
}

const (
	// maxSampleAge is the maximum age of a reading of the kernel clock, in monotonic time.
	maxSampleAge = time.Second
	// minDivergence is the divergence of wall clock and monotonic time from which a suspension
	// is assumed. Gradual adjustments of the wall clock are far smaller within maxSampleAge.
	minDivergence = 10 * time.Millisecond
)

// sampledClock extrapolates a clock from infrequent readings. The zero value is ready to use.
type sampledClock struct{ last atomic.Pointer[sample] }

// sample is a reading of the kernel clock, with simultaneous readings of the other clocks.
type sample struct {
	boot, monotonic time.Duration
	wall            int64 // nanoseconds since the Unix epoch
}

var defaultClock sampledClock

// now returns the boot time for the given monotonic time and wall clock time in nanoseconds. It
// calls read if the last reading is outdated.
func (s *sampledClock) now(monotonic time.Duration, wall int64, read func() time.Duration) time.Duration {
	if last := s.last.Load(); last != nil {
		elapsed := monotonic - last.monotonic
		divergence := time.Duration(wall-last.wall) - elapsed
		if elapsed >= 0 && elapsed < maxSampleAge && divergence.Abs() < minDivergence {
			return last.boot + elapsed
		}
	}
	boot := read()
	s.last.Store(&sample{boot: boot, monotonic: monotonic, wall: wall})
	return boot
}

// reference is the time of the first call, from which monotonic time is counted.
var reference = sync.OnceValue(time.Now)

// fallback returns a monotonic time that does not include suspensions.
func fallback() time.Duration { return time.Since(reference()) + time.Hour }

// SuspensionDetector detects suspensions of the machine by comparing Now with a clock that does
// not include them. The zero value is ready to use.
type SuspensionDetector struct {
	known     bool
	monotonic time.Time
	now       time.Duration
}

// minSuspension is the shortest suspension that is detected. Shorter differences can result from
// a stall of the thread between the readings of the two clocks.
const minSuspension = 100 * time.Millisecond

// Observe compares readings of the clocks. It returns for how long the machine was suspended since
// the last call, or zero if it was not.
func (s *SuspensionDetector) Observe(now time.Duration, monotonic time.Time) time.Duration {
	if !s.known {
		s.known, s.now, s.monotonic = true, now, monotonic
		return 0
	}
	suspended := (now - s.now) - monotonic.Sub(s.monotonic)
	if suspended < minSuspension {
		return 0
	}
	s.now, s.monotonic = now, monotonic
	return suspended
}
