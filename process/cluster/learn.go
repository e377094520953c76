// SPDX-License-Identifier: MIT

package cluster

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Merge merges information about other instances. Direct says that each instance in the list just
// sent it itself.
func (m *Members) Merge(direct bool, list ...Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	for _, x := range list {
		m.merge(direct, x, now)
	}
	m.forget(now)
}

// merge merges information about one other instance. The caller holds the lock.
func (m *Members) merge(direct bool, x Member, now time.Duration) {
	if x.Name == "" || x.Name == m.self.Name {
		return
	}
	ps := m.others[x.Name]
	if ps == nil {
		if len(m.others) >= maxInstances {
			m.ignored++
			return
		}
		ps = &peerState{Member: x, hash: xxhash.Sum64String(x.Name), firstSeen: now}
		m.insert(ps)
	}
	if ps.Incarnation < x.Incarnation || direct && ps.Incarnation != x.Incarnation && now-ps.lastSeen > directTimeout {
		// A lower incarnation that sends while the higher one does not was started after the clock
		// of its machine stepped back.
		*ps = peerState{Member: x, hash: ps.hash, firstSeen: now}
	}
	if ps.Incarnation > x.Incarnation {
		return
	}
	ps.lastReported = now
	if x.Leaving && !ps.Leaving && m.usesProbing() {
		m.queueReport(ps, statusLeaving, now, now)
	}
	ps.Leaving = ps.Leaving || x.Leaving
	if direct {
		m.markSeen(ps, now)
		ps.StoreUnreachable = x.StoreUnreachable
		ps.BackendsUnreachable = x.BackendsUnreachable
		ps.Busy = x.Busy
	}
}

// Ignored returns how often an instance was not remembered since there were too many.
func (m *Members) Ignored() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ignored
}

// insert adds an instance, keeping the list sorted by name. The caller holds the lock.
func (m *Members) insert(ps *peerState) {
	m.others[ps.Name] = ps
	at, _ := slices.BinarySearchFunc(m.sorted, ps.Name, func(o *peerState, name string) int { return cmp.Compare(o.Name, name) })
	m.sorted = slices.Insert(m.sorted, at, ps)
}

// forgetInterval is the interval between two scans for instances to forget.
const forgetInterval = time.Second

func (m *Members) forget(now time.Duration) {
	if now-m.lastForget < forgetInterval {
		return
	}
	m.lastForget = now
	m.sorted = slices.DeleteFunc(m.sorted, func(ps *peerState) bool {
		old := now-max(ps.lastSeen, ps.lastReported) > forgetAfter
		if old {
			delete(m.others, ps.Name)
		}
		return old
	})
}
