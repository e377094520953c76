// SPDX-License-Identifier: MIT

package edge

import (
	"sync"
	"time"

	"shalewick/process/cluster"
)

// placeFor is how long the place of an instance is good for.
const placeFor = 250 * time.Millisecond

// placed is the place of an instance among those that share what must be shared.
type placed struct {
	mu        sync.Mutex
	place, of int
	at        time.Duration // zero: not known
}

// place returns the place of this instance, from 0, among those that share what all
// instances may give a cold backend server, and their number; zero while they are not
// known. An instance that clients are sent to shares it with the others of that
// kind, since they take nearly all requests. One that clients are not sent to has its
// part of an equal share among all: what comes in there stays below a second share of
// the whole, and a cold server bears half as much again and some requests besides.
func (e *Edge) place() (place, of int) {
	p := &e.placed
	p.mu.Lock()
	defer p.mu.Unlock()
	now := e.now()
	if p.at != 0 && now-p.at < placeFor {
		return p.place, p.of
	}
	p.place, p.of = e.members.Position()
	if p.of == 0 {
		return 0, 0
	}
	p.at = now
	if place, of := placeAmongLarge(e.members.NotLeaving(), e.settings.Instance); of > 0 {
		p.place, p.of = place, of
	}
	return p.place, p.of
}

// placeAmongLarge returns the place of an instance among the large ones of all regions,
// and their number; zero if it is none of them.
func placeAmongLarge(known []cluster.Member, self string) (place, of int) {
	found := false
	rooms := make(map[string]cluster.Resources) // by region
	for _, m := range known {
		r, ok := rooms[m.Region]
		if !ok {
			r = cluster.MaxResources(inRegion(known, m.Region))
			rooms[m.Region] = r
		}
		if !r.MatchedBy(&m) {
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
