// SPDX-License-Identifier: MIT

package cluster

// roomyShare is the part of what the largest of some instances can carry from which another
// one is large among them.
const roomyShare = 0.5

// Room is what an instance can carry.
type Room struct {
	Link, Cores float64 // as in Member
}

// Largest returns the most that any of some instances can carry.
func Largest(of []Member) (r Room) {
	for _, m := range of {
		r.include(&m)
	}
	return r
}

func (r *Room) include(m *Member) {
	r.Link = max(r.Link, m.Link)
	r.Cores = max(r.Cores, m.Cores)
}

// Fills reports whether an instance can carry much, compared with that.
func (r Room) Fills(m *Member) bool {
	return m.Link >= roomyShare*r.Link && m.Cores >= roomyShare*r.Cores
}

// Capacity is how the instances of the own region stand.
type Capacity struct {
	// Large is the number of others that can carry much, compared with the largest, and may be at
	// work, and Free that of those of them that are alive and not busy.
	Large, Free int
	// Named are the free ones by name, or if there are none those that are alive.
	Named []Member
	// Self reports whether this instance is large, too.
	Self bool
}

// Capacity returns how the instances of the own region stand.
func (m *Members) Capacity() (c Capacity) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.countNear()
	var most Room
	most.include(&m.self)
	for _, k := range m.order {
		if k.Region == m.self.Region && !k.Leaving {
			most.include(&k.Member)
		}
	}
	var busy []Member
	for _, k := range m.order {
		if k.Region != m.self.Region || k.Leaving || !most.Fills(&k.Member) {
			continue
		}
		c.Large++
		switch {
		case !m.alive(k, now):
		case k.Busy:
			busy = append(busy, k.Member)
		default:
			c.Free++
			c.Named = append(c.Named, k.Member)
		}
	}
	if c.Free == 0 {
		c.Named = busy
	}
	c.Self = most.Fills(&m.self)
	return c
}
