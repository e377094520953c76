// SPDX-License-Identifier: MIT

package cluster

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestTreeUsesLargeInstances checks that in a large fleet the sources of each instance are large ones:
// small ones may not follow all tables. In a small fleet all instances count as large.
func TestTreeUsesLargeInstances(t *testing.T) {
	for _, x := range []struct{ halls, size, large int }{{9, 110, 10}, {3, 110, 2}, {3, 60, 40}} {
		var all []Member
		for h := range x.halls {
			for i := range x.size {
				m := member(fmt.Sprintf("n%d-%03d", h, i), fmt.Sprintf("r%d", h%3), 1)
				m.Hall, m.Cores, m.Link = fmt.Sprintf("h%d", h), 0.16, 20
				if i < x.large {
					m.Cores, m.Link = 1.6, 1000
				}
				all = append(all, m)
			}
		}
		requests := make(map[string]int)
		for i := 0; i < len(all); i += 7 {
			m := NewMembers(all[i], func() time.Duration { return time.Hour })
			m.Merge(true, all...)
			m.MarkListed()
			for _, s := range m.Sources()[:headsPerMember] {
				assert.Assert(t, s.Cores > 1, "%s of %d x %d requests from %s", all[i].Name, x.halls, x.size, s.Name)
				requests[s.Name]++
			}
			assert.Assert(t, !m.Relay() || all[i].Cores > 1)
			assert.Assert(t, !m.Head() || all[i].Cores > 1)
		}
		assert.Assert(t, len(requests) >= min(x.large, headsPerMember)*x.halls, "%d serve requests", len(requests))
	}
}

// TestRegionCapacity checks the counts of large and free instances of the region.
func TestRegionCapacity(t *testing.T) {
	m, _ := newMembers()
	m.self.Cores, m.self.Link = 0.16, 20
	assert.Assert(t, m.RegionCapacity().SelfLarge, "the only instance")
	for i, cores := range []float64{1.6, 1.6, 0.16} {
		x := member(fmt.Sprint("n", i), "north", 1)
		x.Cores, x.Link, x.Busy = cores, 1000*cores, i == 1
		m.Merge(true, x)
	}
	far := member("far", "south", 1)
	far.Cores, far.Link = 16, 10000
	m.Merge(true, far)
	c := m.RegionCapacity()
	assert.Assert(t, c.Large == 2 && c.Free == 1 && !c.SelfLarge, "%v", c)
	assert.DeepEqual(t, names(c.Candidates), []string{"n0"})
}
