// SPDX-License-Identifier: MIT

package version

import "math"

// GroupCount is the number of groups that the backend servers of a large service are divided
// into. Rendezvous hashing first ranks the groups, and then the members of a few of them, so
// that a choice computes GroupCount distances and those of a few percent of the servers.
const GroupCount = 128

// groupBits is the binary logarithm of GroupCount.
const groupBits = 7

// maxUngrouped is the number of backend servers up to which a service has a single group: with
// several groups, adding or removing a server moves twice as many objects. A service that grows
// beyond it moves all its objects once.
const maxUngrouped = 1024

// Groups holds the backend servers of a service by group.
type Groups struct {
	members []int32 // indexes in RoutedService.Backends, group by group
	start   [GroupCount + 1]int32
	// Slots is the total number of slots of the open members, by group.
	Slots [GroupCount]float64
}

// Members returns the members of a group, as indexes into RoutedService.Backends.
func (g *Groups) Members(group int) []int32 { return g.members[g.start[group]:g.start[group+1]] }

// Group returns the group of a backend server of the service.
func (s *RoutedService) Group(b *RoutedBackend) int {
	if len(s.Backends) <= maxUngrouped {
		return 0
	}
	return int(b.Hash >> (64 - groupBits))
}

// groupBackends divides the backend servers of a service into groups.
func (r *Routing) groupBackends(s *RoutedService) *Groups {
	g := &Groups{members: make([]int32, len(s.Backends))}
	for _, i := range s.Backends {
		g.start[s.Group(&r.Backends[i])+1]++
	}
	for i := range GroupCount {
		g.start[i+1] += g.start[i]
	}
	next := g.start
	for k, i := range s.Backends {
		b := &r.Backends[i]
		group := s.Group(b)
		g.members[next[group]] = int32(k)
		next[group]++
		if !b.Closed {
			g.Slots[group] += float64(b.Slots)
		}
	}
	return g
}

// GroupUnitDistance returns the distance of a group from an object for a weight of 1, like
// RoutedBackend.UnitDistance for a backend server.
func GroupUnitDistance(object uint64, group int) float64 {
	return unitDistance(object ^ uint64(group+1)*0xd1342543de82ef95)
}

// unitDistance maps a hash to an exponentially distributed value. It mixes the hash with the
// finalizer of MurmurHash3.
func unitDistance(x uint64) float64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	const scale = 1 << 53
	uniform := (float64(x>>11) + 0.5) / scale
	return -math.Log(uniform)
}
