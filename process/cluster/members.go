// SPDX-License-Identifier: MIT

package cluster

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member is one start of an instance.
type Member struct {
	Name string `json:"n"`
	// Incarnation rises with each start of the instance.
	Incarnation int64  `json:"i"`
	Front       string `json:"f"` // address for clients
	Peer        string `json:"p"` // address for other instances, TCP and UDP
	Hall        string `json:"h"`
	Region      string `json:"r"`
	Leaving     bool   `json:"l,omitempty"`
	// Cut says that the store does not answer the instance.
	Cut bool `json:"c,omitempty"`
}

// Times of liveness.
const (
	// Beat is the pause between two datagrams to one instance.
	Beat = 500 * time.Millisecond
	// aliveFor is how long an instance of the own region counts as alive after
	// it was heard, when each tells all others at each beat.
	aliveFor = 1800 * time.Millisecond
	// longestAlive bounds that for a large region, where each is told less often:
	// clients must not be sent for long to an instance that died.
	longestAlive = 4800 * time.Millisecond
	// grace is how long an instance counts as alive that was only read of.
	grace = 2 * time.Second
	// settleTime is how long after an instance has read which others there are
	// those that read it at the same time are heard of.
	settleTime = 300 * time.Millisecond
	// unknownFor is how long after its start an instance that could not read it
	// takes itself to know the others.
	unknownFor = 3 * time.Second
	// cutFor is how long after a call of the store that was not answered an
	// instance counts as cut off from it, unless it is answered again.
	cutFor = 10 * time.Second
	// cutLeast is how long it counts as cut off even so: some calls may be
	// answered while others are not.
	cutLeast = 2 * time.Second
	// forgetAfter is how long an instance is kept that was not heard.
	forgetAfter = time.Minute
)

// Members are the instances that one knows of. Use NewMembers.
type Members struct {
	mu        sync.Mutex
	self      Member
	cutFailed time.Duration // when the store last did not answer; zero: never
	answered  bool          // it has answered since
	started   time.Duration
	readAt    time.Duration // when it was first read which others there are; zero: not yet
	others    map[string]*known
	now       func() time.Duration
}

type known struct {
	Member
	heard   time.Duration // zero: never
	learned time.Duration
	failed  time.Duration // when a call to it last failed; zero: never
}

// NewMembers returns the members that an instance knows of at its start.
func NewMembers(self Member, now func() time.Duration) *Members {
	return &Members{self: self, others: make(map[string]*known), now: now, started: now()}
}

// Self returns the instance itself.
func (m *Members) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selfNow()
}

// selfNow returns the instance itself as it is now. The caller holds the lock.
func (m *Members) selfNow() Member {
	out := m.self
	silence := m.now() - m.cutFailed
	out.Cut = m.cutFailed != 0 && (silence < cutLeast || silence < cutFor && !m.answered)
	return out
}

// StoreCalled notes whether a call of the store was answered, and reports whether
// the instance counts as cut off from it now and did not before.
func (m *Members) StoreCalled(answered bool) (cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.selfNow().Cut
	if !answered {
		m.cutFailed = m.now()
	}
	m.answered = answered
	return !before && m.selfNow().Cut
}

// Leave marks the instance itself as leaving.
func (m *Members) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Leaving = true
}

// Learn takes up what is said of other instances; heard is true when an
// instance said it of itself just now.
func (m *Members) Learn(heard bool, list ...Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	for _, x := range list {
		if x.Name == "" || x.Name == m.self.Name {
			continue
		}
		k := m.others[x.Name]
		if k == nil || k.Incarnation < x.Incarnation || heard && k.Incarnation != x.Incarnation && now-k.heard > aliveFor {
			// A lower incarnation that speaks while the higher one is silent
			// was started after a step of the clock.
			k = &known{Member: x, learned: now}
			m.others[x.Name] = k
		}
		if k.Incarnation > x.Incarnation {
			continue
		}
		k.Leaving = k.Leaving || x.Leaving
		if heard {
			k.heard = now
			k.Cut = x.Cut
		}
	}
	m.forget(now)
}

func (m *Members) forget(now time.Duration) {
	for name, k := range m.others {
		if now-max(k.heard, k.learned) > forgetAfter {
			delete(m.others, name)
		}
	}
}

// alive reports whether an instance counts as alive. One of another region is
// heard seldom, so it does until a call to it fails.
func (k *known) alive(region string, heardFor, now time.Duration) bool {
	if k.Leaving {
		return false
	}
	if k.failed > k.heard && k.failed != 0 {
		return false
	}
	if k.Region != region {
		return true
	}
	return now-k.heard <= heardFor && k.heard != 0 || k.heard == 0 && now-k.learned <= grace
}

// heardFor returns how long an instance of the own region counts as alive after
// it was heard: at least one further turn in which it tells all others, if it
// needs several beats for that. The caller holds the lock.
func (m *Members) heardFor() time.Duration {
	near := 0
	for _, k := range m.others {
		if k.Region == m.self.Region && !k.Leaving {
			near++
		}
	}
	beats := (near + nearBeats - 1) / nearBeats
	return min(longestAlive, aliveFor+time.Duration(max(0, beats-1))*2*Beat)
}

// Live returns the instances that are alive, the own one included unless it is
// leaving, ordered by name.
func (m *Members) Live() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	var out []Member
	if !m.self.Leaving {
		out = append(out, m.selfNow())
	}
	heardFor := m.heardFor()
	for _, k := range m.others {
		if k.alive(m.self.Region, heardFor, now) {
			out = append(out, k.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Read notes that it was read which others there are.
func (m *Members) Read() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.readAt == 0 {
		m.readAt = m.now()
	}
}

// settled reports whether the others are known. The caller holds the lock.
func (m *Members) settled() bool {
	now := m.now()
	return m.readAt != 0 && now-m.readAt >= settleTime || now-m.started >= unknownFor
}

// Count returns the number of instances that may be at work, this one included;
// zero while the others are not known.
func (m *Members) Count() int {
	_, of := m.Place()
	return of
}

// Place returns the place of this instance in the order of the names of all
// that may be at work, from 0, and their number; zero while the others are not
// known.
func (m *Members) Place() (place, of int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.settled() {
		return 0, 0
	}
	of = 1
	for _, k := range m.others {
		if k.Leaving {
			continue
		}
		of++
		if k.Name < m.self.Name {
			place++
		}
	}
	return place, of
}

// All returns all other instances.
func (m *Members) All() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Member, 0, len(m.others))
	for _, k := range m.others {
		out = append(out, k.Member)
	}
	return out
}

// Called notes whether a call to an instance was answered.
func (m *Members) Called(name string, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.others[name]
	if k == nil {
		return
	}
	if ok {
		k.heard = m.now()
		return
	}
	k.failed = m.now()
}

// Relays returns the relay of each region, that of the own region first, then
// in an order that differs by instance. The own instance may be among them. An
// instance that is cut off from the store is the relay only if all of its region
// are.
func (m *Members) Relays() []Member {
	live := m.Live()
	self := m.Self()
	best := make(map[string]Member)
	for _, x := range live {
		b, ok := best[x.Region]
		if !ok || b.Cut && !x.Cut || b.Cut == x.Cut && xxhash.Sum64String(x.Name) < xxhash.Sum64String(b.Name) {
			best[x.Region] = x
		}
	}
	out := make([]Member, 0, len(best))
	for _, x := range best {
		out = append(out, x)
	}
	order := func(x Member) uint64 {
		if x.Region == self.Region {
			return 0
		}
		return xxhash.Sum64String(self.Name+x.Region) | 1
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(order(a), order(b)) })
	return out
}
