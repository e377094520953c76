// SPDX-License-Identifier: MIT

package edge

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"shalewick/process/cluster"
	"shalewick/version"
)

const (
	// spareLook is the pause between two looks at whether an instance is spare.
	spareCheckInterval = 500 * time.Millisecond
	// spareAfter is how long an instance must have had no reason to follow the backend servers
	// before it stops, so that it neither stops nor begins with each death.
	spareDelay = 20 * time.Second
	// spareStart is how long after its start it does so at once: what others there are is learned
	// step by step.
	spareStartTime = 30 * time.Second
	// leastFree is the number of free large instances of a region below which the small ones are
	// needed, and freeShare the part of the large ones that must be free.
	minFree   = 2 * minPerHall
	freeShare = 0.5
	// mostOnward is how many large instances a spare one passes requests on to, and leastOnward how
	// many of them must be left; till then it keeps them, since each change is a new version.
	maxForwardTargets = 8
	minForwardTargets = 4
	// onwardSlots is how many requests one of them takes from it at a time.
	forwardSlots = 1000
)

// spare is whether an instance has no use for the backend servers: it is one of the small ones
// of a large fleet, and callers are sent to large ones. There each row of a backend server would go
// to ten times as many instances as use it. Requests that come all the same are passed on to large
// ones, which stand in for the backend servers. The zero value is ready.
type spare struct {
	active      atomic.Bool
	usesKeys    atomic.Bool  // callers show keys, which are not passed on
	checkedAt   atomic.Int64 // when that was found out, by Edge.now; zero: never
	neededUntil atomic.Int64 // until when it is needed; zero: it never was

	mu        sync.Mutex
	forwardTo []cluster.Member
}

// isSpare reports whether this instance does without the backend servers.
func (e *Edge) isSpare() bool {
	now := e.now()
	if looked := e.spare.checkedAt.Load(); looked != 0 && now-time.Duration(looked) < spareCheckInterval {
		return e.spare.active.Load()
	}
	e.spare.checkedAt.Store(int64(now))
	large := e.followsInstances.Load() || e.members.Count() > smallFleet
	var c cluster.Capacity
	if large {
		c = e.members.Capacity()
	}
	if !large || e.rolloutState.followRecords.Load() || e.spare.usesKeys.Load() || neededInRegion(c) {
		lasts := spareDelay
		if e.uptime() < spareStartTime {
			lasts = 0
		}
		e.spare.neededUntil.Store(int64(now + lasts))
	}
	is := large && now > time.Duration(e.spare.neededUntil.Load())
	others := e.spare.updateTargets(c.Named)
	if e.spare.active.Swap(is) != is {
		e.log.Info().Bool("spare", is).Int("large", c.Large).Int("free", c.Free).Msg("spare")
		go e.recompile()
	} else if is && others {
		go e.recompile()
	}
	return is
}

// servesCallers reports whether callers may be sent to an instance as its region stands.
func neededInRegion(c cluster.Capacity) bool {
	return c.Self || c.Free < max(minFree, int(freeShare*float64(c.Large)))
}

// take takes up which large instances there are, and reports whether requests are to be passed on
// to others than before.
func (s *spare) updateTargets(large []cluster.Member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := 0
	for _, m := range s.forwardTo {
		if slices.ContainsFunc(large, func(x cluster.Member) bool { return x.Name == m.Name && x.Incarnation == m.Incarnation }) {
			left++
		}
	}
	if left >= min(minForwardTargets, len(large)) && left > 0 {
		return false
	}
	rand.Shuffle(len(large), func(i, j int) { large[i], large[j] = large[j], large[i] })
	changed := len(s.forwardTo) > 0 || len(large) > 0
	s.forwardTo = large[:min(len(large), maxForwardTargets)]
	return changed
}

// addOnward lets large instances stand in for the backend servers of a configuration.
func (s *spare) addForwardTargets(c *version.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Onward = true
	for _, service := range c.List(version.KindService) {
		for _, m := range s.forwardTo {
			address, err := netip.ParseAddrPort(m.Front)
			if err != nil {
				continue // it takes no requests; it was told by an instance of another release
			}
			c.Announced = append(c.Announced, version.NewAnnounced(service.Name+"/"+m.Name, m.Incarnation, &version.Backend{
				Service: service.Name, Hall: m.Hall, Address: address, Slots: forwardSlots, Incarnation: m.Incarnation,
			}))
		}
	}
	slices.SortFunc(c.Announced, func(a, b *version.Announced) int { return strings.Compare(a.Name, b.Name) })
}
