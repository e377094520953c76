// SPDX-License-Identifier: MIT

package logging

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Bounds of lines, in lines a second and kind.
const (
	defaultRate = 100
	// successRate is that of events that tell of something that went well.
	successRate = 5
)

// successEvents are the events that are bounded more than others, so that
// failures and refusals have room.
var successEvents = map[string]bool{"answered": true}

// RateLimiter bounds the lines of each kind of event, a hook of zerolog. The first line
// of a kind after some were left out tells how many, in the field leftOut. Debug
// lines are not bounded. Use NewLimit.
type RateLimiter struct {
	now func() time.Time

	mu         sync.Mutex
	events     map[string]*eventCount
	suppressed int64
}

// eventCount counts the lines of one kind in the present second.
type eventCount struct {
	second     int64
	written    int
	suppressed int
}

// NewRateLimiter returns a limit on a clock.
func NewRateLimiter(now func() time.Time) *RateLimiter {
	return &RateLimiter{now: now, events: make(map[string]*eventCount)}
}

// Run decides on one line.
func (l *RateLimiter) Run(e *zerolog.Event, level zerolog.Level, event string) {
	if level < zerolog.InfoLevel {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.events[event]
	if k == nil {
		k = &eventCount{}
		l.events[event] = k
	}
	if second := l.now().Unix(); second != k.second {
		k.second = second
		k.written = 0
	}
	if k.written >= maxRate(event) {
		k.suppressed++
		l.suppressed++
		e.Discard()
		return
	}
	k.written++
	if k.suppressed > 0 {
		e.Int("leftOut", k.suppressed)
		k.suppressed = 0
	}
}

func maxRate(event string) int {
	if successEvents[event] {
		return successRate
	}
	return defaultRate
}

// Suppressed returns the number of lines that were left out.
func (l *RateLimiter) Suppressed() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.suppressed
}
