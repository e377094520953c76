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
func (m *meter) rateAt(rateAt time.Duration) float64 {
	return m.rate * math.Exp(-float64(rateAt-m.updatedAt)/float64(meterTimeConstant))
}

// rateLimiter is a token bucket that counts the missing tokens. The zero value is full.
type rateLimiter struct {
	deficit   float64 // missing tokens at updatedAt
	updatedAt time.Duration
}

// allows reports whether a bucket of this rate and depth has a token left. The caller adds
// the token to the deficit if it takes it. The deficit is limited to the depth, also if that
// was larger before.
func (p *rateLimiter) allows(rate, depth float64, now time.Duration) bool {
	p.deficit = max(0, min(p.deficit, depth)-rate*(now-p.updatedAt).Seconds())
	p.updatedAt = now
	return p.deficit+1 <= max(1, depth)
}
