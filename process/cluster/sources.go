// SPDX-License-Identifier: MIT

package cluster

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// membersPerHead is the number of instances of a hall per head, which requests the tables from the
// relay of its region. Each of the others requests them from two heads, so a head serves some 16 of
// them, whatever the size of hall and region, and a relay serves the heads besides.
const membersPerHead = 8

// headsPerMember is the number of heads of its hall that an instance requests tables from.
const headsPerMember = 2

// distributionTree is the tree that tables are distributed along, as seen by one instance: from the
// store to the relay of each region, from there to the heads of each hall, and from those to the other
// instances of the hall. All instances that know the same members compute the same tree.
type distributionTree struct {
	relays map[string]*peerState // by region
	hall   []*peerState          // instances of the own hall by hash; in a large fleet the large ones first
	large  int                   // number of large ones among these
}

// treeTTL is how long the tree of a large fleet is cached: building it iterates over all instances, and
// it is used many times a second.
const treeTTL = 100 * time.Millisecond

// currentTree returns the tree over the live instances. It must not be modified. The caller holds the
// lock.
func (m *Members) currentTree() distributionTree {
	now := m.now()
	large := len(m.sorted) > MaxSmallFleet
	if large && m.cachedTree != nil && now-m.cachedTreeAt < treeTTL && m.cachedTreeFor == m.selfNow() {
		return *m.cachedTree
	}
	t := m.buildTree()
	if large {
		m.cachedTree, m.cachedTreeAt, m.cachedTreeFor = &t, now, m.selfNow()
	}
	return t
}

func (m *Members) buildTree() distributionTree {
	t := distributionTree{relays: make(map[string]*peerState)}
	maxima := m.regionMaxima()
	m.eachLive(func(ps *peerState) {
		if b := t.relays[ps.Region]; b == nil || maxima.preferredRelay(ps, b) {
			t.relays[ps.Region] = ps
		}
		if ps.Hall == m.self.Hall && ps.Region == m.self.Region {
			t.hall = append(t.hall, ps)
			if maxima.large(ps) {
				t.large++
			}
		}
	})
	slices.SortFunc(t.hall, func(a, b *peerState) int {
		if x, y := maxima.large(a), maxima.large(b); x != y {
			return trueFirst(x)
		}
		return cmp.Compare(a.hash, b.hash)
	})
	return t
}

func trueFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}

// regionMaxima holds the maximum resources of each region of a large fleet. Instances that are small
// in comparison may not follow all tables (RegionCapacity), so they distribute them only if there is
// no choice. Nil: all instances count as large.
type regionMaxima map[string]Resources

// maximaTTL is how long the maxima are cached; they change as instances start and stop.
const maximaTTL = time.Second

// regionMaxima returns the maximum resources of the live instances. The caller holds the lock.
func (m *Members) regionMaxima() regionMaxima {
	if len(m.sorted) <= MaxSmallFleet {
		return nil
	}
	if now := m.now(); m.cachedMaxima == nil || now-m.cachedMaximaAt >= maximaTTL {
		m.cachedMaxima, m.cachedMaximaAt = make(regionMaxima), now
		m.eachLive(func(ps *peerState) {
			r := m.cachedMaxima[ps.Region]
			r.include(&ps.Member)
			m.cachedMaxima[ps.Region] = r
		})
	}
	return m.cachedMaxima
}

func (r regionMaxima) large(ps *peerState) bool {
	return r == nil || r[ps.Region].MatchedBy(&ps.Member)
}

// preferredRelay reports whether an instance is preferred to another as the relay of their region: one
// that reaches the store comes first, then a large one, then the one with the lower hash.
func (r regionMaxima) preferredRelay(ps, o *peerState) bool {
	if ps.StoreUnreachable != o.StoreUnreachable {
		return !ps.StoreUnreachable
	}
	if a, b := r.large(ps), r.large(o); a != b {
		return a
	}
	return ps.hash < o.hash
}

// heads returns the instances of the hall that request tables from the relay of the region: at least
// two, so that the others have two sources, and no small ones if there are enough large ones.
func (t *distributionTree) heads() []*peerState {
	n := (len(t.hall) + membersPerHead - 1) / membersPerHead
	if t.large >= headsPerMember {
		n = min(n, t.large)
	}
	return t.hall[:min(len(t.hall), max(headsPerMember, n))]
}

// Relay reports whether this instance queries the store for its region. It does not until the other
// instances are known, unless that takes long.
func (m *Members) Relay() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.listComplete() {
		return false
	}
	t := m.currentTree()
	r := t.relays[m.self.Region]
	return r != nil && r.Name == m.self.Name
}

// Head reports whether this instance is a head of its hall. During the initial start of the fleet it is
// not: there is nothing to distribute yet.
func (m *Members) Head() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listedAt == 0 || m.initialStart {
		return false
	}
	t := m.currentTree()
	return slices.ContainsFunc(t.heads(), m.isSelf)
}

// Relays returns the relay of each region, that of the own region first, then in an order that differs
// by instance. This instance may be among them. An instance that does not reach the store is a relay
// only if none of its region does.
func (m *Members) Relays() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.currentTree()
	return toMembers(m.orderedRelays(&t))
}

// orderedRelays returns the relays in the order of Relays. The caller holds the lock.
func (m *Members) orderedRelays(t *distributionTree) []*peerState {
	out := make([]*peerState, 0, len(t.relays))
	for _, x := range t.relays {
		out = append(out, x)
	}
	order := func(x *peerState) uint64 {
		if x.Region == m.self.Region {
			return 0
		}
		return xxhash.Sum64String(m.self.Name+x.Region) | 1
	}
	slices.SortFunc(out, func(a, b *peerState) int { return cmp.Compare(order(a), order(b)) })
	return out
}

// Sources returns the instances that this one requests tables from, best first: for most instances two
// heads of the hall, for a head the relay of the region, for a relay those of the other regions. The
// relays follow as a fallback for when the first are down.
func (m *Members) Sources() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.currentTree()
	var out []*peerState
	add := func(ps *peerState) {
		if !m.isSelf(ps) && !slices.Contains(out, ps) {
			out = append(out, ps)
		}
	}
	heads := t.heads()
	if !slices.ContainsFunc(heads, m.isSelf) {
		first := int(m.hash % uint64(max(1, len(heads))))
		for i := range min(headsPerMember, len(heads)) {
			add(heads[(first+i)%len(heads)])
		}
	}
	for _, r := range m.orderedRelays(&t) {
		add(r)
	}
	if len(out) == 0 {
		m.eachLive(func(ps *peerState) {
			if len(out) == 0 {
				add(ps)
			}
		})
	}
	return toMembers(out)
}

func (m *Members) isSelf(ps *peerState) bool { return ps.Name == m.self.Name }

func toMembers(list []*peerState) []Member {
	out := make([]Member, 0, len(list))
	for _, ps := range list {
		out = append(out, ps.Member)
	}
	return out
}
