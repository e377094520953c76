// SPDX-License-Identifier: MIT

package version

import "math"

// GroupCount is the number of groups that the backend servers of a large service are divided
// into. A choice draws for each group, and then for the members of few of them, so that it
// looks at GroupCount and some hundredths of the servers.
const GroupCount = 128

// groupBits is the logarithm of GroupCount.
const groupBits = 7

// ungroupedUpTo is the number of backend servers up to which a service has one group: with several,
// a server that comes or leaves moves twice as many objects. A service that grows beyond it
// moves all its objects once.
const maxUngrouped = 1024

// Groups are the backend servers of a service by group.
type Groups struct {
	members []int32 // indexes in RoutedService.Backends, group by group
	start   [GroupCount + 1]int32
	// Slots are those of the members that are not closed.
	Slots [GroupCount]float64
}

// Members returns the indexes in RoutedService.Backends of the members of a group.
func (g *Groups) Members(group int) []int32 { return g.members[g.start[group]:g.start[group+1]] }

// Group returns that of a backend server of the service.
func (s *RoutedService) Group(u *RoutedBackend) int {
	if len(s.Backends) <= maxUngrouped {
		return 0
	}
	return int(u.Hash >> (64 - groupBits))
}

// groups divides the backend servers of a service.
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
		u := &r.Backends[i]
		group := s.Group(u)
		g.members[next[group]] = int32(k)
		next[group]++
		if !u.Closed {
			g.Slots[group] += float64(u.Slots)
		}
	}
	return g
}

// GroupDraw returns the distance of a group from an object for a weight of 1, as Draw does that
// of a backend server.
func GroupUnitDistance(object uint64, group int) float64 {
	return unitDistance(object ^ uint64(group+1)*0xd1342543de82ef95)
}

// draw mixes a number (the finalizer of MurmurHash3) and returns an exponentially distributed
// value.
func unitDistance(x uint64) float64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	const bits = 1 << 53
	uniform := (float64(x>>11) + 0.5) / bits
	return -math.Log(uniform)
}
