// SPDX-License-Identifier: MIT

package clock

import (
	"context"
	"sync"
	"time"
)

const (
	// latePause is the pause between two looks of Lateness. Origin: the times that it is
	// compared with are those of answers, some ms; a look costs some us (BenchmarkLook).
	latePause = 10 * time.Millisecond
	// lateSpan is how far back Most looks, in lateBins parts. Origin: beside 24 busy threads on
	// 8 processors 0.02 of the answers that were 1.6 times slower than usual were so by more than
	// the greatest lateness of the last second, 0.1 by more than that of the last 100 ms.
	lateSpan = time.Second
	lateBins = 10
)

// Lateness is how late a process is given its turns by its machine: the time by which it wakes
// later than it asked for. The zero value is ready.
type Lateness struct {
	mu   sync.Mutex
	bins [lateBins + 1]struct {
		number int64
		most   time.Duration
	}
	due time.Duration // of the look that is waited for; zero: none is
}

// Watch looks until the context ends or it is no longer wanted, by a clock that goes on in a
// suspension.
func (l *Lateness) Watch(ctx context.Context, now func() time.Duration, wanted func() bool) {
	l.wait(now())
	defer l.wait(-latePause)
	for wanted() && Sleep(ctx, latePause) {
		l.look(now())
	}
}

// wait notes that a look is due a pause after a time.
func (l *Lateness) wait(from time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.due = from + latePause
}

// look notes a look, and waits for the next one.
func (l *Lateness) look(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	number := int64(now / (lateSpan / lateBins))
	b := &l.bins[number%int64(len(l.bins))]
	if b.number != number {
		b.number, b.most = number, 0
	}
	b.most = max(b.most, now-l.due)
	l.due = now + latePause
}

// Most returns the greatest lateness of the last second. A look that is overdue counts: whoever
// asks may be given his turn before it.
func (l *Lateness) Most(now time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := time.Duration(0)
	if l.due > 0 {
		most = max(0, now-l.due)
	}
	first := int64((now - lateSpan) / (lateSpan / lateBins))
	for i := range l.bins {
		if b := &l.bins[i]; b.number >= first {
			most = max(most, b.most)
		}
	}
	return most
}
