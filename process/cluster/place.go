// SPDX-License-Identifier: MIT

package cluster

// MarkListed records that the member list has been read.
func (m *Members) MarkListed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listedAt == 0 {
		m.listedAt = m.now()
	}
}

// Listed reports whether the member list has been read.
func (m *Members) Listed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listedAt != 0
}

// listComplete reports whether the member list is complete, or won't become so soon. The caller holds
// the lock.
func (m *Members) listComplete() bool {
	if m.listedAt != 0 && !m.initialStart {
		return true
	}
	return m.settled()
}

// settled reports whether the other instances are known, including those that started at the same
// time. The caller holds the lock.
func (m *Members) settled() bool {
	now := m.now()
	return m.listedAt != 0 && now-m.listedAt >= settleTime || now-m.startedAt >= listTimeout
}

// Count returns the number of instances that are not leaving, including this one; zero while the
// others are unknown.
func (m *Members) Count() int {
	_, count := m.Position()
	return count
}

// Position returns the index (from 0) of this instance among all that are not leaving, sorted by name, and
// their number; zeros while the others are unknown.
func (m *Members) Position() (index, count int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.settled() {
		return 0, 0
	}
	count = 1
	for _, ps := range m.sorted {
		if ps.Leaving {
			continue
		}
		count++
		if ps.Name < m.self.Name {
			index++
		}
	}
	return index, count
}
