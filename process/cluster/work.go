// SPDX-License-Identifier: MIT

package cluster

import "time"

// AtWork returns the instances that may have requests in flight, the own one included,
// ordered by name: those that are alive, and those that are leaving and have not ended.
func (m *Members) Active() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.countNear()
	now, heardFor := m.now(), m.livenessTimeout()
	out := make([]Member, 0, len(m.sorted)+1)
	selfDone := false
	for _, ps := range m.sorted {
		if ps.Name > m.self.Name && !selfDone {
			out = append(out, m.selfNow())
			selfDone = true
		}
		ending := ps.Leaving && ps.lastSeen != 0 && now-ps.lastSeen <= heardFor && ps.callFailedAt <= ps.lastSeen
		if ending || m.live(ps, now) {
			out = append(out, ps.Member)
		}
	}
	if !selfDone {
		out = append(out, m.selfNow())
	}
	return out
}

// Silent returns those of the other instances that count as alive, and were not heard for
// a time. Of asks whether one matters; it must not call the members.
func (m *Members) Unresponsive(least time.Duration, of func(Member) bool) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	var out []Member
	m.eachLive(func(ps *peerState) {
		if !m.isSelf(ps) && now-ps.lastSeen > least && of(ps.Member) {
			out = append(out, ps.Member)
		}
	})
	return out
}
