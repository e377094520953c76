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
	// linkProbes is the number of backend servers that are probed to find out whether the links of this
	// instance work. They have failed if it reaches none of them.
	linkProbes = 3
	// minSilence is how long no backend server must have responded for a failure to be a reason to
	// probe: servers that are overloaded reset connections at once, while others respond.
	minSilence = 150 * time.Millisecond
	// suspicionInterval is the shortest time between two rounds of such probes.
	suspicionInterval = 500 * time.Millisecond
	// linkProbeInterval is the pause between two probes of links that don't work.
	linkProbeInterval = 250 * time.Millisecond
	// relapseWindow is the time after an outage of the links in which the next one counts as a
	// relapse: the links are then not used again before they have worked for minStableTime, doubled
	// with each relapse up to maxStableTime.
	relapseWindow = 10 * time.Second
	minStableTime = time.Second
	maxStableTime = 8 * time.Second
	// maxLinksDoubt is how long LostToLinks waits: longer than it takes until the links have been probed.
	maxLinksDoubt = 1500 * time.Millisecond
)

// LinkState says whether the links of this instance to the backend servers work.
type LinkState uint8

// The states.
const (
	LinksUp       LinkState = iota
	LinksUnstable           // they work again, but not for long enough
	LinksDown               // no backend server could be reached, although several were tried
)

// reachability tracks whether this instance reaches any backend server at all. One that can't be reached
// may be down. When none of several can, and none has responded meanwhile, the cause is more likely the
// instance's own links. The zero value is ready for use.
type reachability struct {
	contactAt  time.Duration // when a backend server last responded or accepted a connection
	lostAt     time.Duration // when the links counted as failed; zero: they work
	restoredAt time.Duration // when they last worked again; zero: they never failed
	stableTime time.Duration // how long the links must work before they are used again
	stableFrom time.Duration // since when they work, although they are not used yet; zero: they don't
	// settled is closed at the next contact, or when the links count as failed; nil if nobody waits.
	settled chan struct{}
}

// recordSilence records that no probe of several, begun at a time, was successful.
func (r *reachability) recordSilence(begunAt, now time.Duration) {
	if begunAt <= r.contactAt {
		return
	}
	r.stableFrom = 0
	if r.lostAt != 0 {
		return
	}
	r.lostAt = now
	r.settle()
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
	r.settle()
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

// settle ends the waiting of LostToLinks.
func (r *reachability) settle() {
	if r.settled != nil {
		close(r.settled)
		r.settled = nil
	}
}

// LostToLinks reports whether a request that was sent at a time and has just been lost says nothing about
// its backend server, since the links of this instance have failed meanwhile. It waits until a backend
// server responds or the links count as failed, but no longer than maxLinksDoubt.
func (t *Table) LostToLinks(sentAt time.Duration) bool {
	t.mu.Lock()
	if t.reach.lostAt != 0 || t.reach.restoredAt > sentAt {
		t.mu.Unlock()
		return true
	}
	if t.reach.settled == nil {
		t.reach.settled = make(chan struct{})
	}
	settled := t.reach.settled
	t.mu.Unlock()
	if !isClosedWithin(settled, minSilence) {
		t.mu.Lock()
		t.requestProbes()
		t.mu.Unlock()
		isClosedWithin(settled, maxLinksDoubt-minSilence)
	}
	return t.Links() != LinksUp
}

// isClosedWithin waits until a channel is closed, but no longer than a time, and reports whether it is.
func isClosedWithin(c <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-c:
		return true
	case <-timer.C:
		return false
	}
}

// suspectLinks lets WatchLinks probe the links after an attempt, begun at a time, has failed, unless a
// backend server has responded since or shortly before. The caller holds the lock.
func (t *Table) suspectLinks(begunAt, now time.Duration) {
	if begunAt > t.reach.contactAt && now-t.reach.contactAt >= minSilence {
		t.requestProbes()
	}
}

// requestProbes lets WatchLinks probe the links. The caller holds the lock.
func (t *Table) requestProbes() {
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
// and calls OnLinks, until the context ends.
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
		t.probeSeveral(linkProbes)
		if t.Links() == LinksUp {
			clock.Sleep(ctx, suspicionInterval)
			continue
		}
		t.OnLinks(true)
		for t.Links() != LinksUp && ctx.Err() == nil {
			go t.probeSeveral(1) // the next probe does not wait for one that hangs
			clock.Sleep(ctx, linkProbeInterval)
		}
		t.OnLinks(false)
	}
}

// probeSeveral opens connections to n random backend servers, and records whether any of them accepted.
func (t *Table) probeSeveral(n int) {
	t.mu.Lock()
	backends := t.randomBackends(n)
	begunAt := t.Now()
	if len(backends) == 0 || t.Probe == nil {
		t.recordContact(begunAt) // with nothing to reach, the links don't matter
		t.mu.Unlock()
		return
	}
	t.mu.Unlock()
	var probes sync.WaitGroup
	for _, u := range backends {
		probes.Go(func() { t.probeLink(u) })
	}
	probes.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reach.recordSilence(begunAt, t.Now())
}

// probeLink opens a connection to a backend server and reports whether it accepted it.
func (t *Table) probeLink(u *backend) (accepted bool) {
	if t.Probe(u.pool) != nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordContact(t.Now())
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
	backends := t.randomBackends(linkProbes + 1)
	if except != version.None {
		backends = slices.DeleteFunc(backends, func(u *backend) bool { return u == t.states[except] })
	}
	t.mu.Unlock()
	if len(backends) == 0 || t.Probe == nil {
		return true
	}
	for _, u := range backends[:min(len(backends), linkProbes)] {
		if t.probeLink(u) {
			return true
		}
	}
	return false
}
