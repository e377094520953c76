// SPDX-License-Identifier: MIT

package health

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"shalewick/conn"
	"shalewick/version"
)

// Leaving is a backend server's statement that one start of it accepts no more
// requests.
type Leaving struct {
	Backend string
	Boot    string
}

// Table records what is known of each backend server, by name. OnLeaving is set
// before use. It is called, with no lock held, when a fact is first learned.
type Table struct {
	OnLeaving func(Leaving)

	mu        sync.Mutex
	backends  map[string]*backend
	contactAt time.Duration // when a backend server last responded or answered a probe
	leaving   map[Leaving]bool
	digest    uint64
	view      *version.View
	counters  *version.Counters
	indexes   map[string]int32
}

type backend struct {
	boot          string
	cost          time.Duration
	failures      int           // consecutive
	unreachableAt time.Duration // when it was last found unreachable
	closedUntil   time.Duration // after failures; on the process's clock
	backoffUntil  time.Duration // end of the backoff that the backend server asked for
	pending       []pendingCall
}

// pendingCall is a call to make once the backend server has responded to something
// that was sent at since or later.
type pendingCall struct {
	since time.Duration
	then  func()
}

// Parameters of the reaction to failures.
const (
	failureThreshold = 3
	initialCloseTime = 500 * time.Millisecond
	maxCloseTime     = 5 * time.Second
	costWeight       = 8 // a new value counts 1/8 in the moving average
	// minOutage is longer than the interval of probes, so that one backend server that responds keeps
	// others that are down from counting as an outage of this instance's links. minUnreachable is the
	// number of backend servers that must be unreachable, or all if there are fewer.
	minOutage      = 1500 * time.Millisecond
	minUnreachable = 3
)

// Install puts a view in force.
func (t *Table) Install(v *version.View, counters *version.Counters, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.backends == nil {
		t.backends = make(map[string]*backend)
	}
	t.view, t.counters = v, counters
	t.indexes = make(map[string]int32, len(v.Backends))
	for i := range v.Backends {
		name := v.Backends[i].Name
		t.indexes[name] = int32(i)
		if t.backends[name] == nil {
			t.backends[name] = &backend{}
		}
	}
	for name, b := range t.backends {
		if _, ok := t.indexes[name]; !ok && len(b.pending) == 0 {
			delete(t.backends, name)
		}
	}
	t.publishAll(now)
}

// AwaitResponse calls then once the backend server has responded to something that
// was sent at since or later. It is called with no lock held.
func (t *Table) AwaitResponse(name string, since time.Duration, then func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.backends[name]
	if b == nil {
		b = &backend{} // not in the version in force, but may be in a later one
		t.backends[name] = b
	}
	b.pending = append(b.pending, pendingCall{since, then})
}

// AwaitsResponse reports whether a call waits for a response of the backend server.
func (t *Table) AwaitsResponse(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.backends[name]
	return b != nil && len(b.pending) > 0
}

// takeDue removes and returns the calls to make after a response to something that
// was sent at sentAt.
func (b *backend) takeDue(sentAt time.Duration) []pendingCall {
	var due []pendingCall
	b.pending = slices.DeleteFunc(b.pending, func(a pendingCall) bool {
		if a.since <= sentAt {
			due = append(due, a)
			return true
		}
		return false
	})
	return due
}

// RecordResponse records a response: how long it took, and the state and boot id that
// the backend server reported.
func (t *Table) RecordResponse(name string, took time.Duration, state, boot string, now time.Duration) {
	t.mu.Lock()
	b := t.backends[name]
	if b == nil {
		t.mu.Unlock()
		return
	}
	t.recordContact(now)
	b.failures = 0
	b.closedUntil = 0
	if b.cost == 0 {
		b.cost = took
	}
	b.cost += (took - b.cost) / costWeight
	t.finishReport(name, b, state, boot, took, now)
}

// RecordRejection records that the backend server rejected a request without running
// it, and the backoff that it asked for, or 0. Responses to requests that were sent
// earlier do not end the backoff. The duration does not count towards the cost:
// otherwise a backend server that rejects everything at once would appear to be the
// fastest.
func (t *Table) RecordRejection(name string, retryAfter time.Duration, state, boot string, took, now time.Duration) {
	t.mu.Lock()
	b := t.backends[name]
	if b == nil {
		t.mu.Unlock()
		return
	}
	t.recordContact(now)
	b.failures = 0
	b.closedUntil = 0
	b.backoffUntil = max(b.backoffUntil, now+retryAfter)
	t.finishReport(name, b, state, boot, took, now)
}

// RecordProbe records a load report.
func (t *Table) RecordProbe(name string, report conn.Report, took time.Duration, now time.Duration) {
	t.mu.Lock()
	b := t.backends[name]
	if b == nil {
		t.mu.Unlock()
		return
	}
	t.recordContact(now)
	if now >= b.closedUntil {
		b.failures = 0
	}
	if b.cost == 0 {
		b.cost = took
	}
	t.finishReport(name, b, report.State, report.Boot, took, now)
}

// finishReport applies the state that the backend server reported, and makes the calls
// that waited for its response. The caller holds the lock, which finishReport releases.
func (t *Table) finishReport(name string, b *backend, state, boot string, took, now time.Duration) {
	fact, added := t.applyState(name, b, state, boot)
	due := b.takeDue(now - took)
	t.publish(name, now)
	t.mu.Unlock()
	for _, a := range due {
		a.then()
	}
	if added {
		t.OnLeaving(fact)
	}
}

// applyState records the boot id and whether that start of the backend server is
// leaving, and reports whether this is a new fact. The caller holds the lock.
func (t *Table) applyState(name string, b *backend, state, boot string) (Leaving, bool) {
	if boot == "" {
		return Leaving{}, false
	}
	if b.boot != boot {
		b.backoffUntil = 0 // the backoff was asked for by an earlier start
	}
	b.boot = boot
	if state != conn.StateLeaving {
		return Leaving{}, false
	}
	fact := Leaving{Backend: name, Boot: boot}
	return fact, t.addFact(fact)
}

// addFact adds a fact and reports whether it is new. The caller holds the lock.
func (t *Table) addFact(f Leaving) bool {
	if t.leaving[f] {
		return false
	}
	if t.leaving == nil {
		t.leaving = make(map[Leaving]bool)
	}
	t.leaving[f] = true
	t.digest ^= xxhash.Sum64String(f.Backend + "\x00" + f.Boot)
	return true
}

// RecordFailure records that a request that was sent got no complete response.
func (t *Table) RecordFailure(name string, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordFailure(name, now)
}

// RecordUnreachable records that no connection could be opened, or that a probe got no response.
func (t *Table) RecordUnreachable(name string, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.backends[name]; b != nil {
		b.unreachableAt = now
	}
	t.recordFailure(name, now)
}

// recordFailure closes the backend server after several failures. The caller holds the lock.
func (t *Table) recordFailure(name string, now time.Duration) {
	b := t.backends[name]
	if b == nil {
		return
	}
	b.failures++
	if excess := b.failures - failureThreshold; excess >= 0 {
		b.closedUntil = now + min(maxCloseTime, initialCloseTime<<min(excess, 4))
	}
	t.publish(name, now)
}

// recordContact records that a backend server has responded or answered a probe. If none has for
// minOutage, while several were found unreachable, this instance's own links were down, and the pauses
// that began or grew meanwhile end. The caller holds the lock.
func (t *Table) recordContact(now time.Duration) {
	previous := t.contactAt
	t.contactAt = now
	if now-previous < minOutage {
		return
	}
	var unreachable []*backend
	for _, b := range t.backends {
		if b.unreachableAt > previous {
			unreachable = append(unreachable, b)
		}
	}
	if len(unreachable) < min(minUnreachable, len(t.indexes)) {
		return
	}
	for _, b := range unreachable {
		b.failures = 0
		b.closedUntil = 0
	}
	t.publishAll(now)
}

// Merge adds facts that a peer knows.
func (t *Table) Merge(facts []Leaving, now time.Duration) {
	var added []Leaving
	t.mu.Lock()
	for _, f := range facts {
		if t.addFact(f) {
			added = append(added, f)
			t.publish(f.Backend, now)
		}
	}
	t.mu.Unlock()
	for _, f := range added {
		t.OnLeaving(f)
	}
}

// LeavingFacts returns the leaving facts, unordered.
func (t *Table) LeavingFacts() []Leaving {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Leaving, 0, len(t.leaving))
	for f := range t.leaving {
		out = append(out, f)
	}
	return out
}

// Digest returns a hash that is the same for equal sets of facts.
func (t *Table) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digest
}

// Tick reopens backend servers whose closed time or backoff has passed.
func (t *Table) Tick(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.view != nil {
		t.publishAll(now)
	}
}

func (t *Table) publishAll(now time.Duration) {
	for name := range t.indexes {
		t.publish(name, now)
	}
}

// publish updates the counters that decisions read. The caller holds the lock.
func (t *Table) publish(name string, now time.Duration) {
	index, ok := t.indexes[name]
	if !ok {
		return
	}
	b := t.backends[name]
	t.counters.Cost[index].Store(int64(b.cost))
	t.counters.Closed[index].Store(now < b.closedUntil || now < b.backoffUntil || t.isLeaving(name, b))
}

// Failing reports whether a backend server gets no requests because of failures.
func (t *Table) Failing(name string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.backends[name]
	return b != nil && now < b.closedUntil
}

// Leaving reports whether a backend server has announced that it accepts no more
// requests.
func (t *Table) Leaving(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.backends[name]
	return b != nil && t.isLeaving(name, b)
}

// isLeaving reports whether the latest known start of a backend server is leaving. As
// long as no start was observed here, a fact about any start counts.
func (t *Table) isLeaving(name string, b *backend) bool {
	if b.boot != "" {
		return t.leaving[Leaving{Backend: name, Boot: b.boot}]
	}
	for f := range t.leaving {
		if f.Backend == name {
			return true
		}
	}
	return false
}
