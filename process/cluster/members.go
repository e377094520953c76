// SPDX-License-Identifier: MIT

package cluster

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member is one incarnation of an instance.
type Member struct {
	Name string `json:"n"`
	// Incarnation increases with each start of the instance.
	Incarnation int64  `json:"i"`
	Front       string `json:"f"` // address for clients
	Peer        string `json:"p"` // address for other instances, TCP and UDP
	Hall        string `json:"h"`
	Region      string `json:"r"`
	Leaving     bool   `json:"l,omitempty"`
	// StoreUnreachable says that the store does not respond to the instance.
	StoreUnreachable bool `json:"c,omitempty"`
	// BackendsUnreachable says that the instance reaches no backend server.
	BackendsUnreachable bool `json:"d,omitempty"`
	// Link is the capacity of its network link in Mbit/s, and Cores its share of the processors;
	// zero: unknown.
	Link  float64 `json:"m,omitempty"`
	Cores float64 `json:"u,omitempty"`
	// Busy says that most of its capacity is in use.
	Busy bool `json:"b,omitempty"`
}

// Timing of failure detection.
const (
	// HeartbeatInterval is the mean interval between two heartbeats.
	HeartbeatInterval = 500 * time.Millisecond
	// directTimeout is how long an instance of the own region counts as live after it was last
	// seen, in a region where each instance sends each heartbeat to all others.
	directTimeout = 1800 * time.Millisecond
	// gossipTimeout is that time for a region where heartbeats reach some instances only through
	// others. Larger regions use probes instead; there probedTimeout is how long a leaving
	// instance counts as active.
	gossipTimeout = 2400 * time.Millisecond
	probedTimeout = 3600 * time.Millisecond
	// initialGrace is how long an instance counts as live that is only known from its row or a
	// member list.
	initialGrace = 4 * time.Second
	// settleTime is how long after an instance has read the member list it has learned of the
	// instances that read theirs at the same time.
	settleTime = 300 * time.Millisecond
	// listTimeout is how long after its start an instance that could not read the member list
	// assumes that it knows the others.
	listTimeout = 3 * time.Second
	// storeUnreachableFor is how long after a failed store call the store counts as unreachable,
	// unless a later call succeeds.
	storeUnreachableFor = 10 * time.Second
	// minStoreUnreachable is how long it counts so even if a later call succeeds: some calls may
	// be answered while others are not.
	minStoreUnreachable = 2 * time.Second
	// maxInstances bounds the other instances that are remembered; further ones are ignored until some are forgotten.
	maxInstances = 4096
	// forgetAfter is how long an instance is remembered that was neither seen nor reported.
	forgetAfter = 2 * time.Minute
)

// Members is the set of instances that one instance knows of. Use NewMembers.
type Members struct {
	mu            sync.Mutex
	self          Member
	busy          bool
	hash          uint64        // of the own name
	storeFailedAt time.Duration // time of the last failed store call; zero: none
	storeAnswered bool          // a store call succeeded since
	startedAt     time.Duration
	listedAt      time.Duration         // when the member list was first read; zero: not yet
	unknownSince  time.Duration         // since when liveness entries refer to unknown instances; zero: they don't
	initialStart  bool                  // the other instances register at the same time
	others        map[string]*peerState // at most maxInstances
	ignored       int64                 // instances that were not added to others
	sorted        []*peerState          // the others by name
	now           func() time.Duration
	shuffle       func(n int, swap func(i, j int)) // rand.Shuffle, except in simulations
	// The fields below, up to pendingReports, are used in regions that use probing.
	regionPeers    int                     // number of other instances of the region, as last counted
	probeQueue     []*peerState            // still to be probed in this round
	probes         []*probe                // awaiting a response
	checks         []*indirectCheck        // probes on behalf of others
	pendingReports map[*peerState]struct{} // instances whose status report is being gossiped
	cachedTree     *distributionTree       // tree of a large fleet, valid for cachedTreeAt and cachedTreeFor
	cachedTreeAt   time.Duration
	cachedTreeFor  Member
	cachedMaxima   regionMaxima // valid for cachedMaximaAt
	cachedMaximaAt time.Duration
	lastForget     time.Duration // when forget last scanned the instances
	regionLastSeen time.Duration // when any instance of the region was last seen; zero: never
	suspectedAt    time.Duration // when an instance was last suspected or found to be down; zero: never
}

// peerState is what an instance knows of another one.
type peerState struct {
	Member
	hash         uint64        // of the name
	lastSeen     time.Duration // when it was last known to be live, directly or by gossip; zero: unknown
	firstSeen    time.Duration // when this incarnation became known
	lastReported time.Duration // when any source last named it
	callFailedAt time.Duration // when a call to it last failed; zero: never
	// downAt is when it was found to be down, and report the status report about it to gossip.
	downAt time.Duration
	report statusReport
}

// NewMembers returns the members that an instance knows at its start: itself only.
func NewMembers(self Member, now func() time.Duration) *Members {
	return &Members{self: self, hash: xxhash.Sum64String(self.Name), others: make(map[string]*peerState), now: now, startedAt: now(), shuffle: rand.Shuffle}
}

// SetInitialStart records that the whole fleet starts for the first time, so that the first member
// list read is incomplete.
func (m *Members) SetInitialStart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.initialStart = true
}

// Self returns this instance.
func (m *Members) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selfNow()
}

// selfNow returns the current state of this instance. The caller holds the lock.
func (m *Members) selfNow() Member {
	out := m.self
	out.Busy = m.busy
	sinceFailure := m.now() - m.storeFailedAt
	out.StoreUnreachable = m.storeFailedAt != 0 && (sinceFailure < minStoreUnreachable || sinceFailure < storeUnreachableFor && !m.storeAnswered)
	return out
}

// RecordStoreCall records whether a store call was answered, and reports whether the store has just
// become unreachable.
func (m *Members) RecordStoreCall(answered bool) (lost bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	wasUnreachable := m.selfNow().StoreUnreachable
	if !answered {
		m.storeFailedAt = m.now()
	}
	m.storeAnswered = answered
	return !wasUnreachable && m.selfNow().StoreUnreachable
}

// SetBusy sets whether most of the capacity of this instance is in use.
func (m *Members) SetBusy(busy bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.busy = busy
}

// SetBackendsUnreachable sets whether this instance reaches no backend server.
func (m *Members) SetBackendsUnreachable(unreachable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.BackendsUnreachable = unreachable
}

// SetLeaving marks this instance as leaving.
func (m *Members) SetLeaving() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Leaving = true
}

// live reports whether an instance counts as live. An instance of another region is seldom seen, so
// it counts as live until a call to it fails or it is found to be down. The caller holds the lock
// and has called countRegionPeers.
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

// livenessTimeout returns how long an instance of the own region counts as live after it was last
// seen. The caller holds the lock and has called countRegionPeers.
func (m *Members) livenessTimeout() time.Duration {
	switch {
	case m.regionPeers <= minRegionTargets:
		return directTimeout
	case m.regionPeers <= maxLiveness:
		return gossipTimeout
	}
	return probedTimeout
}

// eachLive calls f for each live instance by name, including this one unless it is leaving. The
// caller holds the lock.
func (m *Members) eachLive(f func(*peerState)) {
	now := m.now()
	m.countRegionPeers()
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

// Live returns the live instances by name, including this one unless it is leaving.
func (m *Members) Live() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Member, 0, len(m.sorted)+1)
	m.eachLive(func(ps *peerState) { out = append(out, ps.Member) })
	return out
}

// NotLeaving returns this instance and all known others that have not announced that they leave.
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

// Others returns all other instances by name.
func (m *Members) Others() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return toMembers(m.sorted)
}

// AnySeen reports whether any other instance was ever known to be live.
func (m *Members) AnySeen() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(m.sorted, func(ps *peerState) bool { return ps.lastSeen != 0 })
}

// RecordCall records whether a call to an instance was answered.
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
		m.probeQueue = append(m.probeQueue, ps) // probe it next
	}
}
