// SPDX-License-Identifier: MIT

package cluster

import (
	"math/rand/v2"
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
	StoreUnreachable bool `json:"c,omitempty"`
	// Link is what its network link carries, in Mbit/s, and Cores its share of
	// processors; zero: not told.
	Link  float64 `json:"m,omitempty"`
	Cores float64 `json:"u,omitempty"`
	// Busy says that most of what it can carry is in use.
	Busy bool `json:"b,omitempty"`
}

// Times of liveness.
const (
	// Beat is the pause between two rounds of datagrams.
	HeartbeatInterval = 500 * time.Millisecond
	// aliveFor is how long an instance of the own region counts as alive after
	// it was heard, when each tells all others at each beat.
	directTimeout = 1800 * time.Millisecond
	// aliveTold is that time for a region in which the news that an instance lives
	// reaches some only by way of others. In larger regions instances are probed, and aliveFar is
	// how long one that leaves counts as at work.
	gossipTimeout = 2400 * time.Millisecond
	probedTimeout = 3600 * time.Millisecond
	// grace is how long an instance counts as alive that was only read of.
	initialGrace = 4 * time.Second
	// settleTime is how long after an instance has read which others there are
	// those that read it at the same time are heard of.
	settleTime = 300 * time.Millisecond
	// unknownFor is how long after its start an instance that could not read it
	// takes itself to know the others.
	listTimeout = 3 * time.Second
	// cutFor is how long after a call of the store that was not answered an
	// instance counts as cut off from it, unless it is answered again.
	storeUnreachableFor = 10 * time.Second
	// cutLeast is how long it counts as cut off even so: some calls may be
	// answered while others are not.
	minStoreUnreachable = 2 * time.Second
	// forgetAfter is how long an instance is kept that was not heard, nor read
	// of.
	forgetAfter = 2 * time.Minute
)

// Members are the instances that one knows of. Use NewMembers.
type Members struct {
	mu            sync.Mutex
	self          Member
	busy          bool
	hash          uint64        // of the own name
	storeFailedAt time.Duration // when the store last did not answer; zero: never
	storeAnswered bool          // it has answered since
	startedAt     time.Duration
	listedAt      time.Duration // when it was first read which others there are; zero: not yet
	unknownSince  time.Duration // since when news is of instances that are not known; zero: it is not
	initialStart  bool          // others write that they are there at the same time
	others        map[string]*peerState
	sorted        []*peerState // the others by name
	now           func() time.Duration
	shuffle       func(n int, swap func(i, j int)) // rand.Shuffle, but in a model
	// What follows is of use where the region is probed.
	regionPeers    int                     // other instances of the region, as counted last
	probeQueue     []*peerState            // whose turn to be probed is still to come
	probes         []*probe                // that may still be answered
	checks         []*indirectCheck        // asked for others
	pendingReports map[*peerState]struct{} // of which there is evidence to tell
	cachedTree     *distributionTree       // of a large fleet, as of treeAt and for what this instance was then
	cachedTreeAt   time.Duration
	cachedTreeFor  Member
	cachedMaxima   regionMaxima // as of roomsAt
	cachedMaximaAt time.Duration
	lastForget     time.Duration // when forget last looked
	regionLastSeen time.Duration // when any of the region spoke last; zero: never
	suspectedAt    time.Duration // when one did not answer twice, or was found to be lost, last; zero: never
}

type peerState struct {
	Member
	hash         uint64        // of the name
	lastSeen     time.Duration // when it was alive last, by its own word or that of others; zero: not known
	firstSeen    time.Duration // when this start of it was first known
	lastReported time.Duration // when it was last known from whatever source
	callFailedAt time.Duration // when a call to it last failed; zero: never
	// lostAt is when it was found that it does not answer, and evidence what is told of it.
	downAt time.Duration
	report statusReport
}

// NewMembers returns the members that an instance knows of at its start.
func NewMembers(self Member, now func() time.Duration) *Members {
	return &Members{self: self, hash: xxhash.Sum64String(self.Name), others: make(map[string]*peerState), now: now, startedAt: now(), shuffle: rand.Shuffle}
}

// AwaitOthers says that all instances start for the first time, so that those of
// which it is read at first are not all that there are.
func (m *Members) SetInitialStart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.initialStart = true
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
	out.Busy = m.busy
	silence := m.now() - m.storeFailedAt
	out.StoreUnreachable = m.storeFailedAt != 0 && (silence < minStoreUnreachable || silence < storeUnreachableFor && !m.storeAnswered)
	return out
}

// StoreCalled notes whether a call of the store was answered, and reports whether
// the instance counts as cut off from it now and did not before.
func (m *Members) RecordStoreCall(answered bool) (cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.selfNow().StoreUnreachable
	if !answered {
		m.storeFailedAt = m.now()
	}
	m.storeAnswered = answered
	return !before && m.selfNow().StoreUnreachable
}

// SetBusy notes whether most of what this instance can carry is in use.
func (m *Members) SetBusy(busy bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.busy = busy
}

// Leave marks the instance itself as leaving.
func (m *Members) SetLeaving() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Leaving = true
}

// alive reports whether an instance counts as alive. One of another region is
// heard seldom, so it does until a call to it fails, or it is found to be lost. The caller holds
// the lock, and has counted those of the region.
func (m *Members) live(ps *peerState, now time.Duration) bool {
	if ps.Leaving || ps.down() {
		return false
	}
	if ps.callFailedAt > ps.lastSeen && ps.callFailedAt != 0 && (!m.usesProbing() || now-ps.callFailedAt <= callFailureFor) {
		return false
	}
	if ps.Region != m.self.Region {
		return true
	}
	if m.usesProbing() {
		return !m.isolated(now)
	}
	return now-ps.lastSeen <= m.livenessTimeout() && ps.lastSeen != 0 || ps.lastSeen == 0 && now-ps.firstSeen <= initialGrace
}

// heardFor returns how long an instance of the own region counts as alive after
// it was heard. The caller holds the lock, and has counted those of the region.
func (m *Members) livenessTimeout() time.Duration {
	switch {
	case m.regionPeers <= minRegionTargets:
		return directTimeout
	case m.regionPeers <= maxLiveness:
		return gossipTimeout
	}
	return probedTimeout
}

// eachLive calls f for the instances that are alive, ordered by name, the own
// one included unless it is leaving. The caller holds the lock.
func (m *Members) eachLive(f func(*peerState)) {
	now := m.now()
	m.countNear()
	selfDone := m.self.Leaving
	self := func() {
		if !selfDone {
			f(&peerState{Member: m.selfNow(), hash: m.hash, lastSeen: now})
			selfDone = true
		}
	}
	for _, ps := range m.sorted {
		if ps.Name > m.self.Name {
			self()
		}
		if m.live(ps, now) {
			f(ps)
		}
	}
	self()
}

// Live returns the instances that are alive, the own one included unless it is
// leaving, ordered by name.
func (m *Members) Live() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Member, 0, len(m.sorted)+1)
	m.eachLive(func(ps *peerState) { out = append(out, ps.Member) })
	return out
}

// Known returns the instances that may be at work, the own one included: those that
// have not said that they leave.
func (m *Members) NotLeaving() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []Member{m.selfNow()}
	for _, ps := range m.sorted {
		if !ps.Leaving {
			out = append(out, ps.Member)
		}
	}
	return out
}

// All returns all other instances, ordered by name.
func (m *Members) Others() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return toMembers(m.sorted)
}

// Called notes whether a call to an instance was answered.
func (m *Members) RecordCall(name string, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	ps := m.others[name]
	if ps == nil {
		return
	}
	if ok {
		m.markSeen(ps, m.now())
		return
	}
	ps.callFailedAt = m.now()
	if m.usesProbing() {
		m.probeQueue = append(m.probeQueue, ps) // its turn is next
	}
}
