// SPDX-License-Identifier: MIT

package edge

import (
	"sync"
	"time"

	"shalewick/process/cluster"
)

// placeFor is how long the place of an instance is good for.
const positionLifetime = 250 * time.Millisecond

// placed is the place of an instance among those that share what must be shared.
type cachedPosition struct {
	mu           sync.Mutex
	index, count int
	at           time.Duration // zero: not known
}

// place returns the place of this instance, from 0, among those that share what all
// instances may give a cold backend server, and their number; zero while they are not
// known. An instance that clients are sent to shares it with the others of that
// kind, since they take nearly all requests. One that clients are not sent to has its
// part of an equal share among all: what comes in there stays below a second share of
// the whole, and a cold server bears half as much again and some requests besides.
func (e *Edge) sharePosition() (sharePosition, of int) {
	p := &e.position
	p.mu.Lock()
	defer p.mu.Unlock()
	now := e.now()
	if p.at != 0 && now-p.at < positionLifetime {
		return p.index, p.count
	}
	p.index, p.count = e.members.Place()
	if p.count == 0 {
		return 0, 0
	}
	p.at = now
	if place, of := positionAmongLarge(e.members.Known(), e.settings.Instance); of > 0 {
		p.index, p.count = place, of
	}
	return p.index, p.count
}

// placeAmongLarge returns the place of an instance among the large ones of all regions,
// and their number; zero if it is none of them.
func positionAmongLarge(known []cluster.Member, self string) (place, of int) {
	found := false
	rooms := make(map[string]cluster.Room) // by region
	for _, m := range known {
		r, ok := rooms[m.Region]
		if !ok {
			r = cluster.Largest(inRegion(known, m.Region))
			rooms[m.Region] = r
		}
		if !r.Fills(&m) {
			continue
		}
		of++
		switch {
		case m.Name == self:
			found = true
		case m.Name < self:
			place++
		}
	}
	if !found {
		return 0, 0
	}
	return place, of
}
