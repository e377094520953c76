// SPDX-License-Identifier: MIT

package cluster

// roomyShare is the part of what the largest of some instances can carry from which another
// one is large among them.
const largeShare = 0.5

// Room is what an instance can carry.
type Resources struct {
	Link, Cores float64 // as in Member
}

// Largest returns the most that any of some instances can carry.
func MaxResources(of []Member) (r Resources) {
	for _, m := range of {
		r.include(&m)
	}
	return r
}

func (r *Resources) include(m *Member) {
	r.Link = max(r.Link, m.Link)
	r.Cores = max(r.Cores, m.Cores)
}

// Fills reports whether an instance can carry much, compared with that.
func (r Resources) MatchedBy(m *Member) bool {
	return m.Link >= largeShare*r.Link && m.Cores >= largeShare*r.Cores
}

// Capacity is how the instances of the own region stand.
type RegionCapacity struct {
	// Large is the number of others that can carry much, compared with the largest, and may be at
	// work, and Free that of those of them that are alive and not busy.
	Large, Free int
	// Named are the free ones by name, or if there are none those that are alive.
	Candidates []Member
	// Self reports whether this instance is large, too.
	SelfLarge bool
}

// Capacity returns how the instances of the own region stand.
func (m *Members) RegionCapacity() (c RegionCapacity) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.countNear()
	var most Resources
	most.include(&m.self)
	for _, ps := range m.sorted {
		if ps.Region == m.self.Region && !ps.Leaving {
			most.include(&ps.Member)
		}
	}
	var busy []Member
	for _, ps := range m.sorted {
		if ps.Region != m.self.Region || ps.Leaving || !most.MatchedBy(&ps.Member) {
			continue
		}
		c.Large++
		switch {
		case !m.live(ps, now):
		case ps.Busy:
			busy = append(busy, ps.Member)
		default:
			c.Free++
			c.Candidates = append(c.Candidates, ps.Member)
		}
	}
	if c.Free == 0 {
		c.Candidates = busy
	}
	c.SelfLarge = most.MatchedBy(&m.self)
	return c
}
