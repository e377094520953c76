// SPDX-License-Identifier: MIT

package cluster

import "time"

// Active returns the instances that may have requests in flight by name, including this one: those that
// are live, and those that are leaving but have not stopped yet.
func (m *Members) Active() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.countRegionPeers()
	now, timeout := m.now(), m.livenessTimeout()
	out := make([]Member, 0, len(m.sorted)+1)
	selfDone := false
	for _, ps := range m.sorted {
		if ps.Name > m.self.Name && !selfDone {
			out = append(out, m.selfNow())
			selfDone = true
		}
		stopping := ps.Leaving && ps.lastSeen != 0 && now-ps.lastSeen <= timeout && ps.callFailedAt <= ps.lastSeen
		if stopping || m.live(ps, now) {
			out = append(out, ps.Member)
		}
	}
	if !selfDone {
		out = append(out, m.selfNow())
	}
	return out
}

// Unresponsive returns the other instances that count as live but have not been seen for more than
// minSilence. Relevant selects the instances of interest; it must not call methods of Members.
func (m *Members) Unresponsive(minSilence time.Duration, relevant func(Member) bool) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	var out []Member
	m.eachLive(func(ps *peerState) {
		if !m.isSelf(ps) && now-ps.lastSeen > minSilence && relevant(ps.Member) {
			out = append(out, ps.Member)
		}
	})
	return out
}
