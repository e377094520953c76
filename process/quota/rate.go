// SPDX-License-Identifier: MIT

package quota

import (
	"math"
	"time"
)

// meter measures how often something happens, by an average that forgets. The zero
// value has measured nothing.
type meter struct {
	rate float64 // a second, as of at
	at   time.Duration
}

// meterTime is the time over which a meter forgets. Origin: long enough to see the
// rate of a workspace with one request a second, short enough to follow a burst.
const meterTime = 1500 * time.Millisecond

// add counts n events.
func (m *meter) add(n float64, now time.Duration) {
	m.rate = m.now(now) + n/meterTime.Seconds()
	m.at = now
}

// now returns the rate.
func (m *meter) now(now time.Duration) float64 {
	return m.rate * math.Exp(-float64(now-m.at)/float64(meterTime))
}

// pace lets events through at a rate. The zero value is full.
type pace struct {
	used float64 // tokens that are missing, as of at
	at   time.Duration
}

// has reports whether one more event may come through, if no more than rate a second
// come and depth at once. The caller adds it to used. No more than the depth is missing, also
// where that was larger before.
func (p *pace) has(rate, depth float64, now time.Duration) bool {
	p.used = max(0, min(p.used, depth)-rate*(now-p.at).Seconds())
	p.at = now
	return p.used+1 <= max(1, depth)
}
