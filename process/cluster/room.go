// SPDX-License-Identifier: MIT

package cluster

// largeShare is the share of the maximum resources in a group from which an instance of it counts as
// large.
const largeShare = 0.5

// Resources are the resources of an instance.
type Resources struct {
	Link, Cores float64 // as in Member
}

// MaxResources returns the maximum of each resource over some instances.
func MaxResources(members []Member) (r Resources) {
	for _, m := range members {
		r.include(&m)
	}
	return r
}

func (r *Resources) include(m *Member) {
	r.Link = max(r.Link, m.Link)
	r.Cores = max(r.Cores, m.Cores)
}

// MatchedBy reports whether an instance counts as large where these are the maximum resources.
func (r Resources) MatchedBy(m *Member) bool {
	return m.Link >= largeShare*r.Link && m.Cores >= largeShare*r.Cores
}

// RegionCapacity describes the other instances of the own region.
type RegionCapacity struct {
	// Large is the number of large instances that are not leaving, and Free the number of those
	// that are live and not busy.
	Large, Free int
	// Candidates are the free ones by name, or if there are none the live large ones.
	Candidates []Member
	// SelfLarge reports whether this instance is large.
	SelfLarge bool
}

// RegionCapacity returns the capacity of the own region.
func (m *Members) RegionCapacity() (c RegionCapacity) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.countRegionPeers()
	var maxima Resources
	maxima.include(&m.self)
	for _, ps := range m.sorted {
		if ps.Region == m.self.Region && !ps.Leaving {
			maxima.include(&ps.Member)
		}
	}
	var busy []Member
	for _, ps := range m.sorted {
		if ps.Region != m.self.Region || ps.Leaving || !maxima.MatchedBy(&ps.Member) {
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
	c.SelfLarge = maxima.MatchedBy(&m.self)
	return c
}
