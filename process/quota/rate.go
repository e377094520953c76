// SPDX-License-Identifier: MIT

package quota

import (
	"math"
	"time"
)

// meter measures an event rate as an exponentially decaying average. The zero value has
// measured no events.
type meter struct {
	rate      float64 // events per second at updatedAt
	updatedAt time.Duration
}

// meterTimeConstant is long enough to measure a workspace with one request per second, and
// short enough to follow a burst.
const meterTimeConstant = 1500 * time.Millisecond

// add counts n events.
func (m *meter) add(n float64, now time.Duration) {
	m.rate = m.rateAt(now) + n/meterTimeConstant.Seconds()
	m.updatedAt = now
}

// rateAt returns the rate at a time.
func (m *meter) rateAt(now time.Duration) float64 {
	return m.rate * math.Exp(-float64(now-m.updatedAt)/float64(meterTimeConstant))
}

// rateLimiter is a token bucket that counts the missing tokens. The zero value is full.
type rateLimiter struct {
	deficit   float64 // missing tokens at updatedAt
	updatedAt time.Duration
}

// allows reports whether a bucket of this rate and depth has a token left. A caller that takes
// it adds it to the deficit. The deficit is limited to the depth, which may have been larger
// before.
func (l *rateLimiter) allows(rate, depth float64, now time.Duration) bool {
	l.deficit = max(0, min(l.deficit, depth)-rate*(now-l.updatedAt).Seconds())
	l.updatedAt = now
	return l.deficit+1 <= max(1, depth)
}
