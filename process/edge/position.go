// SPDX-License-Identifier: MIT

package edge

import (
	"sync"
	"time"

	"shalewick/process/cluster"
)

// positionLifetime is how long a computed position is used.
const positionLifetime = 250 * time.Millisecond

// cachedPosition is the position of an instance among those that share a common allowance.
type cachedPosition struct {
	mu           sync.Mutex
	index, count int
	at           time.Duration // when it was computed; zero: unknown
}

// sharePosition returns this instance's index, from 0, among the instances that share what all of
// them together may send to a cold backend server, and their number; zeros while they are not
// known. The instances that are listed for clients divide it among themselves, since they get
// nearly all requests. An instance that is not listed takes its part of an equal division among all
// instances: the requests that arrive there add less than a second whole allowance, and a cold
// backend server tolerates half as much again and some requests more.
func (e *Edge) sharePosition() (index, count int) {
	pos := &e.position
	pos.mu.Lock()
	defer pos.mu.Unlock()
	now := e.now()
	if pos.at != 0 && now-pos.at < positionLifetime {
		return pos.index, pos.count
	}
	pos.index, pos.count = e.members.Position()
	if pos.count == 0 {
		return 0, 0
	}
	pos.at = now
	if index, count := positionAmongLarge(e.members.NotLeaving(), e.settings.Instance); count > 0 {
		pos.index, pos.count = index, count
	}
	return pos.index, pos.count
}

// positionAmongLarge returns the index of an instance among the large instances of all regions, and
// their number; zeros if it is not one of them.
func positionAmongLarge(known []cluster.Member, self string) (index, count int) {
	found := false
	largest := make(map[string]cluster.Resources) // by region
	for _, m := range known {
		r, ok := largest[m.Region]
		if !ok {
			r = cluster.MaxResources(inRegion(known, m.Region))
			largest[m.Region] = r
		}
		if !r.MatchedBy(&m) {
			continue
		}
		count++
		switch {
		case m.Name == self:
			found = true
		case m.Name < self:
			index++
		}
	}
	if !found {
		return 0, 0
	}
	return index, count
}
