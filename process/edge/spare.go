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
	// spareCheckInterval is the pause between two checks of whether an instance is spare.
	spareCheckInterval = 500 * time.Millisecond
	// spareDelay is how long an instance must have had no reason to follow the backend servers
	// before it stops doing so, so that it does not switch with each failure of an instance.
	spareDelay = 20 * time.Second
	// spareStartTime is the time after the start in which spareDelay does not apply, since the
	// other instances are discovered step by step.
	spareStartTime = 30 * time.Second
	// minFree is the number of free large instances of a region below which the small ones are
	// needed, and freeShare the share of the large ones below which they are.
	minFree   = 2 * minPerHall
	freeShare = 0.5
	// maxForwardTargets is how many large instances a spare one forwards requests to. It keeps them
	// while at least minForwardTargets of them are left, since each change is a new version.
	maxForwardTargets = 8
	minForwardTargets = 4
	// forwardSlots is how many concurrent requests are forwarded to each of them.
	forwardSlots = 1000
)

// spare is the state of an instance that may do without the backend servers: it is one of the small
// instances of a large fleet, and clients are sent to the large ones. In such a fleet the row of a
// backend server would be sent to ten times as many instances as use it. Requests that arrive
// nevertheless are forwarded to large instances, which are configured in place of the backend
// servers. The zero value is ready for use.
type spare struct {
	active      atomic.Bool
	usesKeys    atomic.Bool  // callers send keys, which are not forwarded
	checkedAt   atomic.Int64 // by Edge.now; zero: never
	neededUntil atomic.Int64 // by Edge.now; zero: it never was

	mu        sync.Mutex
	forwardTo []cluster.Member
}

// isSpare reports whether this instance does without the backend servers.
func (e *Edge) isSpare() bool {
	now := e.now()
	if checked := e.spare.checkedAt.Load(); checked != 0 && now-time.Duration(checked) < spareCheckInterval {
		return e.spare.active.Load()
	}
	e.spare.checkedAt.Store(int64(now))
	large := e.followsInstances.Load() || e.members.Count() > smallFleet
	var c cluster.RegionCapacity
	if large {
		c = e.members.RegionCapacity()
	}
	if !large || e.rolloutState.followRecords.Load() || e.spare.usesKeys.Load() || neededInRegion(c) {
		delay := spareDelay
		if e.uptime() < spareStartTime {
			delay = 0
		}
		e.spare.neededUntil.Store(int64(now + delay))
	}
	active := large && now > time.Duration(e.spare.neededUntil.Load())
	changed := e.spare.updateTargets(c.Candidates)
	if e.spare.active.Swap(active) != active {
		e.log.Info().Bool("spare", active).Int("large", c.Large).Int("free", c.Free).Msg("spare")
		go e.recompile()
	} else if active && changed {
		go e.recompile()
	}
	return active
}

// neededInRegion reports whether clients may be sent to this instance, given the capacity in its
// region.
func neededInRegion(c cluster.RegionCapacity) bool {
	return c.SelfLarge || c.Free < max(minFree, int(freeShare*float64(c.Large)))
}

// updateTargets updates the forward targets from the large instances, and reports whether they have
// changed.
func (s *spare) updateTargets(large []cluster.Member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining := 0
	for _, m := range s.forwardTo {
		if slices.ContainsFunc(large, func(x cluster.Member) bool { return x.Name == m.Name && x.Incarnation == m.Incarnation }) {
			remaining++
		}
	}
	if remaining >= min(minForwardTargets, len(large)) && remaining > 0 {
		return false
	}
	rand.Shuffle(len(large), func(i, j int) { large[i], large[j] = large[j], large[i] })
	changed := len(s.forwardTo) > 0 || len(large) > 0
	s.forwardTo = large[:min(len(large), maxForwardTargets)]
	return changed
}

// addForwardTargets puts the forward targets in place of the backend servers of a configuration.
func (s *spare) addForwardTargets(c *version.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.BackendsAreInstances = true
	for _, service := range c.List(version.KindService) {
		for _, m := range s.forwardTo {
			address, err := netip.ParseAddrPort(m.Front)
			if err != nil {
				continue // it accepts no requests; it was announced by an instance of another release
			}
			c.Announced = append(c.Announced, version.NewAnnouncedBackend(service.Name+"/"+m.Name, m.Incarnation, &version.Backend{
				Service: service.Name, Hall: m.Hall, Address: address, Slots: forwardSlots, Incarnation: m.Incarnation,
			}))
		}
	}
	slices.SortFunc(c.Announced, func(a, b *version.AnnouncedBackend) int { return strings.Compare(a.Name, b.Name) })
}
