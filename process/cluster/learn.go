// SPDX-License-Identifier: MIT

package cluster

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Learn takes up what is said of other instances; heard is true when an
// instance said it of itself just now.
func (m *Members) Learn(heard bool, list ...Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	for _, x := range list {
		m.learn(heard, x, now)
	}
	m.forget(now)
}

// learn takes up what is said of one other instance. The caller holds the lock.
func (m *Members) learn(heard bool, x Member, now time.Duration) {
	if x.Name == "" || x.Name == m.self.Name {
		return
	}
	k := m.others[x.Name]
	if k == nil {
		k = &known{Member: x, hash: xxhash.Sum64String(x.Name), learned: now}
		m.add(k)
	}
	if k.Incarnation < x.Incarnation || heard && k.Incarnation != x.Incarnation && now-k.heard > aliveFor {
		// A lower incarnation that speaks while the higher one is silent was
		// started after a step of the clock.
		*k = known{Member: x, hash: k.hash, learned: now}
	}
	if k.Incarnation > x.Incarnation {
		return
	}
	k.told = now
	if x.Leaving && !k.Leaving && m.probes() {
		m.note(k, verdictLeaving, now, now)
	}
	k.Leaving = k.Leaving || x.Leaving
	if heard {
		m.noteHeard(k, now)
		k.Cut = x.Cut
		k.Busy = x.Busy
	}
}

// add adds an instance in the order of the names. The caller holds the lock.
func (m *Members) add(k *known) {
	m.others[k.Name] = k
	at, _ := slices.BinarySearchFunc(m.order, k.Name, func(o *known, name string) int { return cmp.Compare(o.Name, name) })
	m.order = slices.Insert(m.order, at, k)
}

// forgetPause is the pause between two looks at who is to be forgotten.
const forgetPause = time.Second

func (m *Members) forget(now time.Duration) {
	if now-m.forgot < forgetPause {
		return
	}
	m.forgot = now
	m.order = slices.DeleteFunc(m.order, func(k *known) bool {
		old := now-max(k.heard, k.told) > forgetAfter
		if old {
			delete(m.others, k.Name)
		}
		return old
	})
}
