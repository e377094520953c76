// SPDX-License-Identifier: MIT

package balance

import (
	"math/rand/v2"
	"time"
)

const (
	// minUnreachable is the number of backend servers that must be unreachable, with no contact to
	// any other, before the links of this instance count as failed. Where there are fewer, all of
	// them must be.
	minUnreachable = 3
	// relapseWindow is the time after an outage of the links in which the next one counts as a
	// relapse: the links are then not used again before they have worked for minStableTime, doubled
	// with each relapse up to maxStableTime.
	relapseWindow = 10 * time.Second
	minStableTime = time.Second
	maxStableTime = 8 * time.Second
)

// reachability tracks whether this instance reaches any backend server at all. A single server that
// can't be reached may be down. When several can't, and none has responded since, the cause is more
// likely the instance's own links. The zero value is ready for use.
type reachability struct {
	contactAt time.Duration // when a backend server last responded or accepted a connection
	// unreachable holds the backend servers that could not be reached since, of attempts that began
	// after contactAt.
	unreachable map[*backend]struct{}
	lostAt      time.Duration // when the links counted as failed; zero: they work
	restoredAt  time.Duration // when they last worked again; zero: they never failed
	stableTime  time.Duration // how long the links must work before they are used again
	stableFrom  time.Duration // since when they work, although they are not used yet; zero: they don't
}

// recordUnreachable records that an attempt to reach a backend server, begun at a time, has failed.
// Backends is the number of backend servers. It reports whether an outage of the links begins.
func (r *reachability) recordUnreachable(u *backend, begunAt time.Duration, backends int, now time.Duration) (lost bool) {
	if begunAt <= r.contactAt {
		return false
	}
	if r.unreachable == nil {
		r.unreachable = make(map[*backend]struct{})
	}
	r.unreachable[u] = struct{}{}
	r.stableFrom = 0
	if r.lostAt != 0 || len(r.unreachable) < min(minUnreachable, backends) {
		return false
	}
	r.lostAt = now
	if r.restoredAt != 0 && now-r.restoredAt < relapseWindow {
		r.stableTime = min(max(minStableTime, 2*r.stableTime), maxStableTime)
	} else {
		r.stableTime = 0
	}
	return true
}

// recordContact records that a backend server has responded or accepted a connection, and reports
// whether this ends an outage of the links.
func (r *reachability) recordContact(now time.Duration) (restored bool) {
	r.contactAt = now
	clear(r.unreachable)
	if r.lostAt == 0 {
		return false
	}
	if r.stableFrom == 0 {
		r.stableFrom = now
	}
	if now-r.stableFrom < r.stableTime {
		return false
	}
	r.lostAt, r.stableFrom, r.restoredAt = 0, 0, now
	return true
}

// recordUnreachable records that an attempt to reach a backend server has failed. The caller holds
// the lock.
func (t *Table) recordUnreachable(u *backend, begunAt, now time.Duration) {
	if t.reach.recordUnreachable(u, begunAt, len(t.states), now) && t.OnLinks != nil {
		t.OnLinks(true)
	}
}

// recordContact records that a backend server has responded or accepted a connection. The caller
// holds the lock.
func (t *Table) recordContact(now time.Duration) {
	if t.reach.recordContact(now) && t.OnLinks != nil {
		t.OnLinks(false)
	}
}

// Reachability describes how many backend servers this instance can't reach.
type Reachability struct {
	// Lost is how long no backend server has been reachable; zero: at least one is.
	Lost time.Duration
	// Backends is the number of backend servers, and Suspended the number of those that get no
	// requests because of failures.
	Backends, Suspended int
	// LastContact is how long ago a backend server last responded; negative: none ever has.
	LastContact time.Duration
}

// Reachability returns how many backend servers this instance can't reach.
func (t *Table) Reachability() Reachability {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	out := Reachability{Backends: len(t.states), LastContact: -1}
	if t.reach.contactAt != 0 {
		out.LastContact = now - t.reach.contactAt
	}
	if t.reach.lostAt != 0 {
		out.Lost = max(1, now-t.reach.lostAt)
	}
	for _, u := range t.states {
		if u != nil && u.failures > 0 {
			out.Suspended++
		}
	}
	return out
}

// LinksLost reports whether no backend server has been reachable lately, although several were
// tried.
func (t *Table) LinksLost() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reach.lostAt != 0
}

// ForwardsAll reports whether other instances take the place of the backend servers in the routing.
func (t *Table) ForwardsAll() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.routing != nil && t.routing.BackendsAreInstances
}

// ProbeLinks opens a connection to a random backend server and reports whether it accepted the
// connection. With none to probe it reports true.
func (t *Table) ProbeLinks() bool {
	t.mu.Lock()
	u := t.randomBackend()
	begunAt := t.Now()
	if u == nil || t.Probe == nil {
		t.recordContact(begunAt) // with nothing to reach, the links don't matter
		t.mu.Unlock()
		return true
	}
	t.mu.Unlock()
	err := t.Probe(u.pool)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.recordUnreachable(u, begunAt, t.Now())
		return false
	}
	t.recordContact(t.Now())
	return true
}

// randomBackend returns a random backend server that is not closed, or nil if there is none. The
// caller holds the lock.
func (t *Table) randomBackend() *backend {
	if t.routing == nil || len(t.states) == 0 {
		return nil
	}
	first := rand.IntN(len(t.states))
	for k := range t.states {
		i := (first + k) % len(t.states)
		if !t.routing.Backends[i].Closed {
			return t.state(int32(i))
		}
	}
	return nil
}
