// SPDX-License-Identifier: MIT

package quota

import (
	"math"
	"time"
)

// meter measures how often something happens, by an average that forgets. The zero
// value has measured nothing.
type meter struct {
	rate      float64 // a second, as of at
	updatedAt time.Duration
}

// meterTime is the time over which a meter forgets. Origin: long enough to see the
// rate of a workspace with one request a second, short enough to follow a burst.
const meterTimeConstant = 1500 * time.Millisecond

// add counts n events.
func (m *meter) add(n float64, now time.Duration) {
	m.rate = m.rateAt(now) + n/meterTimeConstant.Seconds()
	m.updatedAt = now
}

// now returns the rate.
func (m *meter) rateAt(rateAt time.Duration) float64 {
	return m.rate * math.Exp(-float64(rateAt-m.updatedAt)/float64(meterTimeConstant))
}

// pace lets events through at a rate. The zero value is full.
type rateLimiter struct {
	deficit   float64 // tokens that are missing, as of at
	updatedAt time.Duration
}

// has reports whether one more event may come through, if no more than rate a second
// come and depth at once. The caller adds it to used. No more than the depth is missing, also
// where that was larger before.
func (p *rateLimiter) allows(rate, depth float64, now time.Duration) bool {
	p.deficit = max(0, min(p.deficit, depth)-rate*(now-p.updatedAt).Seconds())
	p.updatedAt = now
	return p.deficit+1 <= max(1, depth)
}
