// SPDX-License-Identifier: MIT

package cluster

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// membersPerHead is the number of instances of a hall from which a further one of
// them asks the relay of its region. Each of the others asks two heads, so that
// a head answers some 16 of them, whatever the size of hall and region, and a relay
// the heads besides.
const membersPerHead = 8

// headsAsked is the number of heads of its hall that an instance asks.
const headsPerMember = 2

// tree is the way that tables travel in, as one instance sees it: from the store
// to the relay of each region, from there to the heads of each hall, and from
// those to the others of the hall. All instances that know the same ones see the
// same tree.
type distributionTree struct {
	relays map[string]*peerState // by region
	hall   []*peerState          // of the own hall, by hash; in a large fleet the large ones first
	large  int                   // how many of these are large
}

// treeFor is how long a tree of a large fleet is good for: each look at it would walk all
// instances, and an instance looks at it many times a second.
const treeTTL = 100 * time.Millisecond

// growTree returns the tree over the instances that are alive. It must not be changed. The caller
// holds the lock.
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

// rooms is the largest instance of each region of a large fleet. Those that are small beside it
// may not follow all tables (Capacity), so they pass them on last. Nil: all count alike.
type regionMaxima map[string]Resources

// roomsFor is how long what they can carry is good for: it changes as instances come and go.
const maximaTTL = time.Second

// rooms returns what the instances that are alive can carry. The caller holds the lock.
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

// before reports whether an instance is the relay of its region rather than
// another one: it is not cut off from the store, or both are, it is large, or both are, and its
// hash is lower.
func (r regionMaxima) preferredRelay(ps, o *peerState) bool {
	if ps.StoreUnreachable != o.StoreUnreachable {
		return !ps.StoreUnreachable
	}
	if a, b := r.large(ps), r.large(o); a != b {
		return a
	}
	return ps.hash < o.hash
}

// heads returns those of the hall that ask the relay of the region: two at least,
// so that the others have two to ask, and none that is small if there are enough others.
func (t *distributionTree) heads() []*peerState {
	n := (len(t.hall) + membersPerHead - 1) / membersPerHead
	if t.large >= headsPerMember {
		n = min(n, t.large)
	}
	return t.hall[:min(len(t.hall), max(headsPerMember, n))]
}

// Relay reports whether this instance asks the store for its region. Before it
// knows which others there are it is none, unless that takes long.
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

// Head reports whether this instance is one of those of its hall that the others
// ask. While all start for the first time it is none: there is nothing to tell yet.
func (m *Members) Head() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listedAt == 0 || m.initialStart {
		return false
	}
	t := m.currentTree()
	return slices.ContainsFunc(t.heads(), m.isSelf)
}

// Relays returns the relay of each region, that of the own region first, then
// in an order that differs by instance. The own instance may be among them. An
// instance that is cut off from the store is the relay only if all of its region
// are.
func (m *Members) Relays() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.currentTree()
	return toMembers(m.orderedRelays(&t))
}

// orderedRelays returns the relays, that of the own region first. The caller
// holds the lock.
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

// Sources returns the instances that this one learns tables from, the best
// first. For most these are two heads of the hall, for a head the relay of the
// region, for a relay those of the other regions; after them the others of these,
// for when the first are gone.
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
