// SPDX-License-Identifier: MIT

package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was started, with the time in which it was
// suspended. Neither steps of the time of day move it nor is any of it left out, as Go's
// monotonic time leaves a suspension out; so it is the clock of all that has to be old after
// one: leases, tables, what is believed of others.
//
// It is a system call: 0.27 to 0.77 us where time.Now takes 0.06 to 0.1, both on a busy
// machine (BenchmarkNow).
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return fallback() // kernels before 2.6.39 lack the clock
	}
	return time.Duration(ts.Nano())
}

var loaded = sync.OnceValue(time.Now)

// fallback is a clock that leaves suspensions out.
func fallback() time.Duration { return time.Since(loaded()) + time.Hour }

// Suspension finds the suspensions of a machine by comparing Now with a clock that leaves
// them out. The zero value is ready.
type Suspension struct {
	known  bool
	steady time.Time
	now    time.Duration
}

// leastSuspension is what two readings of the clocks one after the other may differ by since
// the thread was held up in between.
const leastSuspension = 100 * time.Millisecond

// Note compares the clocks, and returns how long the machine was suspended since the last
// call; zero: it was not.
func (s *Suspension) Note(now time.Duration, steady time.Time) time.Duration {
	if !s.known {
		s.known, s.now, s.steady = true, now, steady
		return 0
	}
	lost := (now - s.now) - steady.Sub(s.steady)
	if lost < leastSuspension {
		return 0
	}
	s.now, s.steady = now, steady
	return lost
}
