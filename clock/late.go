// SPDX-License-Identifier: MIT

package clock

import (
	"sync"
	"time"
)

const (
	// delayWindow is how far back Most looks, in lateBins parts. Origin: beside 24 busy threads on
	// 8 processors 0.02 of the answers that were 1.6 times slower than usual were so by more than
	// the greatest lateness of the last second, 0.1 by more than that of the last 100 ms.
	delayWindow = time.Second
	delayBins   = 10
)

// SchedulingDelay is how late a process is given its turns by its machine: the time by which it wakes
// later than it asked for. It is noted by a loop that waits anyway: a loop of its own with a
// hundred looks a second took 1% of a processor. The zero value is ready.
type SchedulingDelay struct {
	mu   sync.Mutex
	bins [delayBins + 1]struct {
		number int64
		most   time.Duration
	}
	due time.Duration // when the loop wakes; zero: it does not wait
}

// BeginWait notes that the loop waits until a time, by a clock that goes on in a suspension.
func (l *SchedulingDelay) BeginWait(until time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.due = until
}

// EndWait notes that the loop goes on.
func (l *SchedulingDelay) EndWait(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	number := int64(now / (delayWindow / delayBins))
	b := &l.bins[number%int64(len(l.bins))]
	if b.number != number {
		b.number, b.most = number, 0
	}
	b.most = max(b.most, now-l.due)
	l.due = 0
}

// Max returns the greatest lateness of the last second. A wait that is overdue counts: whoever
// asks may be given his turn before the loop.
func (l *SchedulingDelay) Max(now time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := time.Duration(0)
	if l.due > 0 {
		most = max(0, now-l.due)
	}
	first := int64((now - delayWindow) / (delayWindow / delayBins))
	for i := range l.bins {
		if b := &l.bins[i]; b.number >= first {
			most = max(most, b.most)
		}
	}
	return most
}
