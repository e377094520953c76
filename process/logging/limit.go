// SPDX-License-Identifier: MIT

package logging

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Rate limits in lines per second, for each event.
const (
	defaultRate = 100
	// successRate is the limit of successEvents.
	successRate = 5
	// stopRate is the limit of what a planned stop logs of each request at its end. The queue of an AsyncWriter holds
	// it.
	stopRate = maxQueuedLines / 2
)

// rates are the limits of events that differ from defaultRate. Those that report a success have a lower limit than
// others, so that lines of failures and rejections are kept.
var rates = map[string]int{"answered": successRate, "request-cut": stopRate, "request-ended": stopRate}

// RateLimiter is a zerolog hook that limits the rate of lines for each event. The first
// line of an event after some were suppressed has their number in the field leftOut.
// Debug lines are not limited. Create one with NewRateLimiter.
type RateLimiter struct {
	now func() time.Time

	mu         sync.Mutex
	events     map[string]*eventCount
	suppressed int64
}

// eventCount counts the lines of one event in the current second.
type eventCount struct {
	second     int64
	written    int
	suppressed int
}

// NewRateLimiter returns a rate limiter that reads the time from now.
func NewRateLimiter(now func() time.Time) *RateLimiter {
	return &RateLimiter{now: now, events: make(map[string]*eventCount)}
}

// Run implements zerolog.Hook. It discards the line if the event has reached its limit.
func (l *RateLimiter) Run(e *zerolog.Event, level zerolog.Level, event string) {
	if level < zerolog.InfoLevel {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.events[event]
	if c == nil {
		c = &eventCount{}
		l.events[event] = c
	}
	if second := l.now().Unix(); second != c.second {
		c.second = second
		c.written = 0
	}
	if c.written >= maxRate(event) {
		c.suppressed++
		l.suppressed++
		e.Discard()
		return
	}
	c.written++
	if c.suppressed > 0 {
		e.Int("leftOut", c.suppressed)
		c.suppressed = 0
	}
}

// maxRate returns the limit of an event in lines per second.
func maxRate(event string) int {
	if rate, ok := rates[event]; ok {
		return rate
	}
	return defaultRate
}

// Suppressed returns the total number of suppressed lines.
func (l *RateLimiter) Suppressed() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.suppressed
}
