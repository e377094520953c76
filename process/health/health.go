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

// Leaving is a backend server's word that one start of it takes no more work.
type Leaving struct {
	Backend string
	Boot    string
}

// Table keeps what is known of each backend server, by name. OnLeaving is set before
// use; it is called without a lock held when a fact is first learned.
type Table struct {
	OnLeaving func(Leaving)

	mu       sync.Mutex
	backends map[string]*backend
	leaving  map[Leaving]bool
	digest   uint64
	view     *version.View
	counters *version.Counters
	places   map[string]int32
}

type backend struct {
	boot     string
	cost     time.Duration
	failures int           // in a row
	closed   time.Duration // closed for failures until then, on the process's clock
	backoff  time.Duration // it asked for a backoff until then
	awaiting []awaiting
}

// awaiting is a call to make once the backend server is heard from.
type awaiting struct {
	since time.Duration
	then  func()
}

// Bounds of the reaction to failures.
const (
	failuresToClose = 3
	firstClose      = 500 * time.Millisecond
	maxClose        = 5 * time.Second
	costWeight      = 8 // one new time counts 1/8 in the mean
)

// Install puts a view in force.
func (t *Table) Install(v *version.View, n *version.Counters, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.backends == nil {
		t.backends = make(map[string]*backend)
	}
	t.view, t.counters = v, n
	t.places = make(map[string]int32, len(v.Backends))
	for i := range v.Backends {
		name := v.Backends[i].Name
		t.places[name] = int32(i)
		if t.backends[name] == nil {
			t.backends[name] = &backend{}
		}
	}
	for name, u := range t.backends {
		if _, ok := t.places[name]; !ok && len(u.awaiting) == 0 {
			delete(t.backends, name)
		}
	}
	t.publishAll(now)
}

// AwaitWord calls then once the backend server has answered something that was sent
// at since or later. It is called without a lock held.
func (t *Table) AwaitWord(name string, since time.Duration, then func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.backends[name]
	if u == nil {
		u = &backend{} // not in the version in force, but it may be again
		t.backends[name] = u
	}
	u.awaiting = append(u.awaiting, awaiting{since, then})
}

// Awaited reports whether a word of the backend server is waited for.
func (t *Table) Awaited(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.backends[name]
	return u != nil && len(u.awaiting) > 0
}

// heard removes and returns the calls to make after an answer to something
// that was sent at a time.
func (u *backend) heard(sent time.Duration) []awaiting {
	var due []awaiting
	u.awaiting = slices.DeleteFunc(u.awaiting, func(a awaiting) bool {
		if a.since <= sent {
			due = append(due, a)
			return true
		}
		return false
	})
	return due
}

// Answered notes an answer: how long it took, and the backend server's own word.
func (t *Table) Answered(name string, took time.Duration, state, boot string, now time.Duration) {
	t.mu.Lock()
	u := t.backends[name]
	if u == nil {
		t.mu.Unlock()
		return
	}
	u.failures = 0
	u.closed = 0
	if u.cost == 0 {
		u.cost = took
	}
	u.cost += (took - u.cost) / costWeight
	t.after(name, u, state, boot, took, now)
}

// TurnedAway notes that the backend server refused a request without running it, and for how
// long it asked to be left alone; zero: it did not. Its answers to what was sent before do
// not end that. The time that a refusal took says nothing of what an answer costs: one that
// turns everything away at once would look like the best of all.
func (t *Table) TurnedAway(name string, retryAfter time.Duration, state, boot string, took, now time.Duration) {
	t.mu.Lock()
	u := t.backends[name]
	if u == nil {
		t.mu.Unlock()
		return
	}
	u.failures = 0
	u.closed = 0
	u.backoff = max(u.backoff, now+retryAfter)
	t.after(name, u, state, boot, took, now)
}

// Probed notes a load report.
func (t *Table) Probed(name string, rep conn.Report, took time.Duration, now time.Duration) {
	t.mu.Lock()
	u := t.backends[name]
	if u == nil {
		t.mu.Unlock()
		return
	}
	if now >= u.closed {
		u.failures = 0
	}
	if u.cost == 0 {
		u.cost = took
	}
	t.after(name, u, rep.State, rep.Boot, took, now)
}

// after takes up the backend server's own word, and makes the calls that it was
// awaited for. It gives back the lock that the caller holds.
func (t *Table) after(name string, u *backend, state, boot string, took, now time.Duration) {
	fact, news := t.word(name, u, state, boot)
	due := u.heard(now - took)
	t.publish(name, now)
	t.mu.Unlock()
	for _, a := range due {
		a.then()
	}
	if news {
		t.OnLeaving(fact)
	}
}

// word takes up a backend server's own word. The caller holds the lock.
func (t *Table) word(name string, u *backend, state, boot string) (Leaving, bool) {
	if boot == "" {
		return Leaving{}, false
	}
	if u.boot != boot {
		u.backoff = 0 // another start asked for it
	}
	u.boot = boot
	if state != conn.StateLeaving {
		return Leaving{}, false
	}
	fact := Leaving{Backend: name, Boot: boot}
	return fact, t.add(fact)
}

func (t *Table) add(f Leaving) bool {
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

// Failed notes that an attempt or a probe got no whole answer.
func (t *Table) Failed(name string, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.backends[name]
	if u == nil {
		return
	}
	u.failures++
	if over := u.failures - failuresToClose; over >= 0 {
		u.closed = now + min(maxClose, firstClose<<min(over, 4))
	}
	t.publish(name, now)
}

// Merge takes up facts that a peer knows.
func (t *Table) Merge(facts []Leaving, now time.Duration) {
	var news []Leaving
	t.mu.Lock()
	for _, f := range facts {
		if t.add(f) {
			news = append(news, f)
			t.publish(f.Backend, now)
		}
	}
	t.mu.Unlock()
	for _, f := range news {
		t.OnLeaving(f)
	}
}

// Facts returns the leaving facts, unordered.
func (t *Table) Facts() []Leaving {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Leaving, 0, len(t.leaving))
	for f := range t.leaving {
		out = append(out, f)
	}
	return out
}

// Digest is equal for equal sets of facts.
func (t *Table) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digest
}

// Tick opens backend servers whose time of being closed has passed.
func (t *Table) Tick(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.view != nil {
		t.publishAll(now)
	}
}

func (t *Table) publishAll(now time.Duration) {
	for name := range t.places {
		t.publish(name, now)
	}
}

// publish writes what decisions read. The caller holds the lock.
func (t *Table) publish(name string, now time.Duration) {
	place, ok := t.places[name]
	if !ok {
		return
	}
	u := t.backends[name]
	t.counters.Cost[place].Store(int64(u.cost))
	t.counters.Closed[place].Store(now < u.closed || now < u.backoff || t.isLeaving(name, u))
}

// Leaving reports whether a backend server has said that it takes no more work.
func (t *Table) Leaving(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.backends[name]
	return u != nil && t.isLeaving(name, u)
}

// isLeaving reports whether the latest known start of a backend server is leaving.
// A fact about a start that was never seen here counts until it is.
func (t *Table) isLeaving(name string, u *backend) bool {
	if u.boot != "" {
		return t.leaving[Leaving{Backend: name, Boot: u.boot}]
	}
	for f := range t.leaving {
		if f.Backend == name {
			return true
		}
	}
	return false
}
