// SPDX-License-Identifier: MIT

package cluster

// Read notes that it was read which others there are.
func (m *Members) MarkListed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listedAt == 0 {
		m.listedAt = m.now()
	}
}

// KnowsOthers reports whether it was read which others there are.
func (m *Members) Listed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listedAt != 0
}

// listed reports whether the list of the others is whole, or will not become so
// soon. The caller holds the lock.
func (m *Members) listComplete() bool {
	if m.listedAt != 0 && !m.initialStart {
		return true
	}
	return m.settled()
}

// settled reports whether the others are known, with those that started at the
// same time. The caller holds the lock.
func (m *Members) settled() bool {
	now := m.now()
	return m.listedAt != 0 && now-m.listedAt >= settleTime || now-m.startedAt >= listTimeout
}

// Count returns the number of instances that may be at work, this one included;
// zero while the others are not known.
func (m *Members) Count() int {
	_, of := m.Position()
	return of
}

// Place returns the place of this instance in the order of the names of all
// that may be at work, from 0, and their number; zero while the others are not
// known.
func (m *Members) Position() (place, of int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.settled() {
		return 0, 0
	}
	of = 1
	for _, ps := range m.sorted {
		if ps.Leaving {
			continue
		}
		of++
		if ps.Name < m.self.Name {
			place++
		}
	}
	return place, of
}
