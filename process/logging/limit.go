// SPDX-License-Identifier: MIT

package logging

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Bounds of lines, in lines a second and kind.
const (
	usualRate = 100
	// successRate is that of events that tell of something that went well.
	successRate = 5
)

// successes are the events that are bounded more than others, so that
// failures and refusals have room.
var successes = map[string]bool{"answered": true}

// Limit bounds the lines of each kind of event, a hook of zerolog. The first line
// of a kind after some were left out tells how many, in the field leftOut. Debug
// lines are not bounded. Use NewLimit.
type Limit struct {
	now func() time.Time

	mu      sync.Mutex
	kinds   map[string]*kindCount
	leftOut int64
}

// kindCount counts the lines of one kind in the present second.
type kindCount struct {
	second  int64
	written int
	leftOut int
}

// NewLimit returns a limit on a clock.
func NewLimit(now func() time.Time) *Limit {
	return &Limit{now: now, kinds: make(map[string]*kindCount)}
}

// Run decides on one line.
func (l *Limit) Run(e *zerolog.Event, level zerolog.Level, event string) {
	if level < zerolog.InfoLevel {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.kinds[event]
	if k == nil {
		k = &kindCount{}
		l.kinds[event] = k
	}
	if second := l.now().Unix(); second != k.second {
		k.second = second
		k.written = 0
	}
	if k.written >= rate(event) {
		k.leftOut++
		l.leftOut++
		e.Discard()
		return
	}
	k.written++
	if k.leftOut > 0 {
		e.Int("leftOut", k.leftOut)
		k.leftOut = 0
	}
}

func rate(event string) int {
	if successes[event] {
		return successRate
	}
	return usualRate
}

// LeftOut returns the number of lines that were left out.
func (l *Limit) LeftOut() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leftOut
}
