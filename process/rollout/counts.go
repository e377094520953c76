// SPDX-License-Identifier: MIT

package rollout

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Counts are the response counts of one version.
type Counts struct {
	Requests int64
	Failed   int64
	// Timed counts the responses whose latency is significant: from a backend server that was not
	// cold, on a route whose typical latency is known, and clearly slow or not
	// (typicalLatency.classify).
	Timed int64
	Slow  int64 // of Timed
}

func (c *Counts) add(x Counts) {
	c.Requests += x.Requests
	c.Failed += x.Failed
	c.Timed += x.Timed
	c.Slow += x.Slow
}

// since returns the difference from an earlier value of the same counts. It is never negative, so
// that reports which overtake each other count nothing twice.
func (c Counts) since(old Counts) Counts {
	return Counts{
		Requests: max(0, c.Requests-old.Requests), Failed: max(0, c.Failed-old.Failed),
		Timed: max(0, c.Timed-old.Timed), Slow: max(0, c.Slow-old.Slow),
	}
}

// bad returns how many responses failed or were slow.
func (c Counts) bad() int64 { return c.Failed + c.Slow }

func (c Counts) String() string {
	return fmt.Sprintf("%d answers, %d failed, %d of %d slow", c.Requests, c.Failed, c.Slow, c.Timed)
}

// versionCounts are the counts of both versions.
type versionCounts struct{ base, target Counts }

func (p *versionCounts) add(x versionCounts) {
	p.base.add(x.base)
	p.target.add(x.target)
}

func (p versionCounts) since(old versionCounts) versionCounts {
	return versionCounts{base: p.base.since(old.base), target: p.target.since(old.target)}
}

// max returns the greater of each count.
func (p versionCounts) max(old versionCounts) versionCounts {
	old.add(p.since(old))
	return old
}

// routeHash identifies a route in messages.
type routeHash uint32

// otherRoutes stands for all routes beyond maxRoutes.
const otherRoutes routeHash = 0

func hashOfRoute(name string) routeHash { return routeHash(xxhash.Sum64String(name)>>32) | 1 }

func hashOfService(name string) uint64 { return xxhash.Sum64String(name) }
