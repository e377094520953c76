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
const headsAsked = 2

// tree is the way that tables travel in, as one instance sees it: from the store
// to the relay of each region, from there to the heads of each hall, and from
// those to the others of the hall. All instances that know the same ones see the
// same tree.
type tree struct {
	relays map[string]*known // by region
	hall   []*known          // of the own hall, by hash; in a large fleet the large ones first
	large  int               // how many of these are large
}

// treeFor is how long a tree of a large fleet is good for: each look at it would walk all
// instances, and an instance looks at it many times a second.
const treeFor = 100 * time.Millisecond

// growTree returns the tree over the instances that are alive. It must not be changed. The caller
// holds the lock.
func (m *Members) growTree() tree {
	now := m.now()
	large := len(m.order) > MostIntroduced
	if large && m.tree != nil && now-m.treeAt < treeFor && m.treeOf == m.selfNow() {
		return *m.tree
	}
	t := m.growNew()
	if large {
		m.tree, m.treeAt, m.treeOf = &t, now, m.selfNow()
	}
	return t
}

func (m *Members) growNew() tree {
	t := tree{relays: make(map[string]*known)}
	rooms := m.rooms()
	m.eachLive(func(k *known) {
		if b := t.relays[k.Region]; b == nil || rooms.before(k, b) {
			t.relays[k.Region] = k
		}
		if k.Hall == m.self.Hall && k.Region == m.self.Region {
			t.hall = append(t.hall, k)
			if rooms.large(k) {
				t.large++
			}
		}
	})
	slices.SortFunc(t.hall, func(a, b *known) int {
		if x, y := rooms.large(a), rooms.large(b); x != y {
			return boolOrder(x)
		}
		return cmp.Compare(a.hash, b.hash)
	})
	return t
}

func boolOrder(first bool) int {
	if first {
		return -1
	}
	return 1
}

// rooms is the largest instance of each region of a large fleet. Those that are small beside it
// may not follow all tables (Capacity), so they pass them on last. Nil: all count alike.
type rooms map[string]Room

// roomsFor is how long what they can carry is good for: it changes as instances come and go.
const roomsFor = time.Second

// rooms returns what the instances that are alive can carry. The caller holds the lock.
func (m *Members) rooms() rooms {
	if len(m.order) <= MostIntroduced {
		return nil
	}
	if now := m.now(); m.roomsOf == nil || now-m.roomsAt >= roomsFor {
		m.roomsOf, m.roomsAt = make(rooms), now
		m.eachLive(func(k *known) {
			r := m.roomsOf[k.Region]
			r.include(&k.Member)
			m.roomsOf[k.Region] = r
		})
	}
	return m.roomsOf
}

func (r rooms) large(k *known) bool { return r == nil || r[k.Region].Fills(&k.Member) }

// before reports whether an instance is the relay of its region rather than
// another one: it is not cut off from the store, or both are, it is large, or both are, and its
// hash is lower.
func (r rooms) before(k, o *known) bool {
	if k.Cut != o.Cut {
		return !k.Cut
	}
	if a, b := r.large(k), r.large(o); a != b {
		return a
	}
	return k.hash < o.hash
}

// heads returns those of the hall that ask the relay of the region: two at least,
// so that the others have two to ask, and none that is small if there are enough others.
func (t *tree) heads() []*known {
	n := (len(t.hall) + membersPerHead - 1) / membersPerHead
	if t.large >= headsAsked {
		n = min(n, t.large)
	}
	return t.hall[:min(len(t.hall), max(headsAsked, n))]
}

// Relay reports whether this instance asks the store for its region. Before it
// knows which others there are it is none, unless that takes long.
func (m *Members) Relay() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.listed() {
		return false
	}
	t := m.growTree()
	r := t.relays[m.self.Region]
	return r != nil && r.Name == m.self.Name
}

// Head reports whether this instance is one of those of its hall that the others
// ask. While all start for the first time it is none: there is nothing to tell yet.
func (m *Members) Head() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.readAt == 0 || m.awaits {
		return false
	}
	t := m.growTree()
	return slices.ContainsFunc(t.heads(), m.isSelf)
}

// Relays returns the relay of each region, that of the own region first, then
// in an order that differs by instance. The own instance may be among them. An
// instance that is cut off from the store is the relay only if all of its region
// are.
func (m *Members) Relays() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.growTree()
	return plain(m.orderedRelays(&t))
}

// orderedRelays returns the relays, that of the own region first. The caller
// holds the lock.
func (m *Members) orderedRelays(t *tree) []*known {
	out := make([]*known, 0, len(t.relays))
	for _, x := range t.relays {
		out = append(out, x)
	}
	order := func(x *known) uint64 {
		if x.Region == m.self.Region {
			return 0
		}
		return xxhash.Sum64String(m.self.Name+x.Region) | 1
	}
	slices.SortFunc(out, func(a, b *known) int { return cmp.Compare(order(a), order(b)) })
	return out
}

// Sources returns the instances that this one learns tables from, the best
// first. For most these are two heads of the hall, for a head the relay of the
// region, for a relay those of the other regions; after them the others of these,
// for when the first are gone.
func (m *Members) Sources() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.growTree()
	var out []*known
	add := func(k *known) {
		if !m.isSelf(k) && !slices.Contains(out, k) {
			out = append(out, k)
		}
	}
	heads := t.heads()
	if !slices.ContainsFunc(heads, m.isSelf) {
		first := int(m.hash % uint64(max(1, len(heads))))
		for i := range min(headsAsked, len(heads)) {
			add(heads[(first+i)%len(heads)])
		}
	}
	for _, r := range m.orderedRelays(&t) {
		add(r)
	}
	if len(out) == 0 {
		m.eachLive(func(k *known) {
			if len(out) == 0 {
				add(k)
			}
		})
	}
	return plain(out)
}

func (m *Members) isSelf(k *known) bool { return k.Name == m.self.Name }

func plain(list []*known) []Member {
	out := make([]Member, 0, len(list))
	for _, k := range list {
		out = append(out, k.Member)
	}
	return out
}
