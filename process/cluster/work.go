// SPDX-License-Identifier: MIT

package cluster

import "time"

// AtWork returns the instances that may have requests in flight, the own one included,
// ordered by name: those that are alive, and those that are leaving and have not ended.
func (m *Members) AtWork() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.countNear()
	now, heardFor := m.now(), m.heardFor()
	out := make([]Member, 0, len(m.order)+1)
	selfDone := false
	for _, k := range m.order {
		if k.Name > m.self.Name && !selfDone {
			out = append(out, m.selfNow())
			selfDone = true
		}
		ending := k.Leaving && k.heard != 0 && now-k.heard <= heardFor && k.failed <= k.heard
		if ending || m.alive(k, now) {
			out = append(out, k.Member)
		}
	}
	if !selfDone {
		out = append(out, m.selfNow())
	}
	return out
}

// Silent returns those of the other instances that count as alive, and were not heard for
// a time. Of asks whether one matters; it must not call the members.
func (m *Members) Silent(least time.Duration, of func(Member) bool) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	var out []Member
	m.eachLive(func(k *known) {
		if !m.isSelf(k) && now-k.heard > least && of(k.Member) {
			out = append(out, k.Member)
		}
	})
	return out
}
