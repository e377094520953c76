// SPDX-License-Identifier: MIT

package balance

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"shalewick/clock"
	"shalewick/request"
	"shalewick/version"
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
	// linkProbeInterval is the pause between two probes of the links while they don't work.
	linkProbeInterval = 250 * time.Millisecond
	// suspicionInterval is the shortest time between two rounds of probes that find out whether a
	// failure is one of the links.
	suspicionInterval = 500 * time.Millisecond
)

// LinkState says whether the links of this instance to the backend servers work.
type LinkState uint8

// The states.
const (
	LinksUp       LinkState = iota
	LinksUnstable           // they work again, but not for long enough
	LinksDown               // no backend server has been reachable lately, although several were tried
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
// Backends is the number of backend servers.
func (r *reachability) recordUnreachable(u *backend, begunAt time.Duration, backends int, now time.Duration) {
	if begunAt <= r.contactAt {
		return
	}
	if r.unreachable == nil {
		r.unreachable = make(map[*backend]struct{})
	}
	r.unreachable[u] = struct{}{}
	r.stableFrom = 0
	if r.lostAt != 0 || len(r.unreachable) < min(minUnreachable, backends) {
		return
	}
	r.lostAt = now
	if r.restoredAt != 0 && now-r.restoredAt < relapseWindow {
		r.stableTime = min(max(minStableTime, 2*r.stableTime), maxStableTime)
	} else {
		r.stableTime = 0
	}
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

// recordUnreachable records that an attempt to reach a backend server, begun at a time, has failed.
// The caller holds the lock.
func (t *Table) recordUnreachable(u *backend, begunAt, now time.Duration) {
	t.reach.recordUnreachable(u, begunAt, len(t.states), now)
	t.suspectLinks(begunAt)
}

// suspectLinks lets WatchLinks probe the links after an attempt, begun at a time, has failed, unless a
// backend server has responded since. The caller holds the lock.
func (t *Table) suspectLinks(begunAt time.Duration) {
	if begunAt <= t.reach.contactAt {
		return
	}
	select {
	case t.linksSuspectedLocked() <- struct{}{}:
	default: // a signal is already pending
	}
}

// recordContact records that a backend server has responded or accepted a connection. The caller
// holds the lock.
func (t *Table) recordContact(now time.Duration) {
	if t.reach.recordContact(now) {
		t.endSuspensions(now)
	}
}

// endSuspensions lets suspended backend servers be probed at once, after the links of this instance
// have been restored. Their pauses have grown by failures that were not theirs. The caller holds the
// lock.
func (t *Table) endSuspensions(now time.Duration) {
	for _, u := range t.states {
		if u != nil && u.failures > 0 {
			u.failures = 1
			u.suspendedUntil = now
			u.probed = false
		}
	}
}

// state returns whether the links work.
func (r *reachability) state() LinkState {
	switch {
	case r.lostAt == 0:
		return LinksUp
	case r.stableFrom != 0:
		return LinksUnstable
	}
	return LinksDown
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

// Links returns whether the links to the backend servers work.
func (t *Table) Links() LinkState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reach.state()
}

// RefuseUnreachable returns the refusal of a request while no backend server can be reached.
func (t *Table) RefuseUnreachable() Refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Refusal{
		Code: request.NoBackend, RetryAfter: t.retryAfter(request.NoBackend, 0),
		Explanation: Explanation{Backends: len(t.states), LinksDown: true},
	}
}

// linksSuspectedLocked returns the channel that signals to WatchLinks that the links may have
// failed. The caller holds the lock.
func (t *Table) linksSuspectedLocked() chan struct{} {
	if t.linksSuspected == nil {
		t.linksSuspected = make(chan struct{}, 1)
	}
	return t.linksSuspected
}

// WatchLinks finds out after failures whether the links have failed, probes them while they don't work,
// and calls OnLinks, until the context ends. Without it, links that have failed are restored only by
// responses to requests that are in flight.
func (t *Table) WatchLinks(ctx context.Context) {
	t.mu.Lock()
	suspected := t.linksSuspectedLocked()
	t.mu.Unlock()
	for {
		select {
		case <-suspected:
		case <-ctx.Done():
			return
		}
		if t.probeSeveral() {
			clock.Sleep(ctx, suspicionInterval)
			continue
		}
		t.OnLinks(true)
		for t.Links() != LinksUp && ctx.Err() == nil {
			go t.probeSome(1) // the next probe does not wait for one that hangs
			clock.Sleep(ctx, linkProbeInterval)
		}
		t.OnLinks(false)
	}
}

// probeSeveral probes as many backend servers as must be unreachable for the links to count as failed.
// It reports whether the links work.
func (t *Table) probeSeveral() bool {
	t.probeSome(minUnreachable)
	return t.Links() == LinksUp
}

// probeSome opens connections to n random backend servers, and waits for the results.
func (t *Table) probeSome(n int) {
	t.mu.Lock()
	backends := t.randomBackends(n)
	begunAt := t.Now()
	if len(backends) == 0 || t.Probe == nil {
		t.recordContact(begunAt) // with nothing to reach, the links don't matter
	}
	t.mu.Unlock()
	if t.Probe == nil {
		return
	}
	var all sync.WaitGroup
	for _, u := range backends {
		all.Go(func() { t.probeLink(u, begunAt) })
	}
	all.Wait()
}

// probeLink opens a connection to a backend server and reports whether it accepted it. BegunAt is the
// time before.
func (t *Table) probeLink(u *backend, begunAt time.Duration) (accepted bool) {
	err := t.Probe(u.pool)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	if err != nil {
		t.reach.recordUnreachable(u, begunAt, len(t.states), now)
		return false
	}
	t.recordContact(now)
	return true
}

// randomBackends returns up to n random backend servers that are not closed, those that have not
// failed first. The caller holds the lock.
func (t *Table) randomBackends(n int) []*backend {
	var working, failing []*backend
	for _, i := range rand.Perm(len(t.states)) {
		if len(working) == n {
			break
		}
		switch u := t.states[i]; {
		case t.routing.Backends[i].Closed:
		case u != nil && u.failures > 0:
			failing = append(failing, u)
		default:
			working = append(working, t.state(int32(i)))
		}
	}
	return append(working, failing[:min(len(failing), n-len(working))]...)
}

// ForwardsAll reports whether other instances take the place of the backend servers in the routing.
func (t *Table) ForwardsAll() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.routing != nil && t.routing.BackendsAreInstances
}

// ReachesOther reports whether this instance reaches a backend server other than the named one, by
// opening a connection to one after the other of several. With no other one to reach it reports true.
func (t *Table) ReachesOther(name string) bool {
	t.mu.Lock()
	except := version.None
	if t.routing != nil {
		except = t.routing.FindBackend(name)
	}
	backends := t.randomBackends(minUnreachable + 1)
	if except != version.None {
		backends = slices.DeleteFunc(backends, func(u *backend) bool { return u == t.states[except] })
	}
	begunAt := t.Now()
	t.mu.Unlock()
	if len(backends) == 0 || t.Probe == nil {
		return true
	}
	for _, u := range backends[:min(len(backends), minUnreachable)] {
		if t.probeLink(u, begunAt) {
			return true
		}
	}
	return false
}
