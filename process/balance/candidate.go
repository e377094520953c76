// SPDX-License-Identifier: MIT

package balance

import (
	"math"
	"slices"
	"time"

	"shalewick/version"
)

// candidate is a backend server that may get the request.
type candidate struct {
	index     int32
	near, far float64 // distances in the two orders
	place     int     // in the order of choices
	wait      time.Duration
	cost      time.Duration
	unseen    bool // the backend server has not worked on the object lately
}

// search finds the candidates of one choice. The orders of an object are over all backend servers
// of a service, but a search looks at few: groups come in the order of their own distances,
// and none of a group comes before its group does. In both orders the distance of a server
// is that of its group, times its own over the least of the group, so that each gets the
// share of objects that its weight is of all (hierarchical weighted rendezvous hashing).
type search struct {
	t       *Table
	q       *Query
	s       *version.RoutedService
	object  uint64
	among   eligibility
	now     time.Duration
	bound   int // requests at a time at one backend server
	weights weights
	near    *[version.GroupCount]float64
	far     *[version.GroupCount]float64
	visited [version.GroupCount]bool
	c       []candidate
	why     Why
	// missed is the suspended one that would come first.
	missed     int32
	missedNear float64
}

// candidates lists the backend servers of one eligibility that may get the request now, the
// first choices of its object only, and counts those that may not among those that it looked
// at; whole lets it look at all. The list is good until the next call. The caller holds the
// lock.
func (t *Table) candidates(q *Query, part *version.RoutePart, s *version.RoutedService, object uint64, among eligibility, now time.Duration, whole bool) ([]candidate, Why) {
	x := search{
		t: t, q: q, s: s, object: object, among: among, now: now, bound: t.connections(s), c: t.scratch[:0],
		weights: t.weightsFor(q.Route, part, s), near: &t.nearGroups, far: &t.farGroups, why: Why{Backends: len(s.Backends)}, missed: version.None,
	}
	x.orderGroups()
	if whole {
		for g := range version.GroupCount {
			x.visit(g)
		}
	}
	x.find(x.near, t.Policy.NearChoices, func(c *candidate) float64 { return c.near })
	least(x.c, t.Policy.NearChoices, func(c *candidate) float64 { return c.near })
	x.find(x.far, t.Policy.NearChoices+t.Policy.FarChoices, func(c *candidate) float64 { return c.far })
	t.scratch = x.c[:0]
	c := t.firstChoices(x.c)
	if x.missed != version.None && (len(c) == 0 || x.missedNear < c[0].near) {
		t.reach(t.routing.Backends[x.missed].Name, t.state(x.missed), now)
	}
	for k := range c {
		t.weigh(q, object, &c[k], k, now)
	}
	return c, x.why
}

// weigh estimates what a candidate of a place in the order of choices would cost. The caller
// holds the lock.
func (t *Table) weigh(q *Query, object uint64, c *candidate, place int, now time.Duration) {
	v := &t.routing.Backends[c.index]
	u := t.state(c.index)
	work := u.workNow(now)
	c.place = place
	c.wait = u.wait(now, v.Slots)
	c.cost = c.wait + time.Duration(place)*t.Policy.PlaceCost + work - u.usualWork()
	c.unseen = q.Route.Sticky && !t.seen.has(object, v.IncarnationHash, now, t.Policy.SeenFor)
	if place > 0 && c.unseen {
		c.cost += time.Duration(t.Policy.UnseenCost * float64(work))
	}
}

// weights are those of a service's backend servers for the requests of a region. The zero value
// gives all the weight 1.
type weights struct{ *version.Weights }

// weightsOf returns the weights of a service's backend servers for requests of this region.
func (t *Table) weightsOf(part *version.RoutePart, s *version.RoutedService) weights {
	if t.region == version.None || len(part.Weights) <= int(t.region) || len(part.Weights[t.region].Backends) != len(s.Backends) {
		return weights{}
	}
	return weights{&part.Weights[t.region]}
}

// of returns the weight of the k-th backend server of the service.
func (w weights) of(k int32) float64 {
	if w.Weights == nil {
		return 1
	}
	return w.Backends[k]
}

// groupWeight returns the weight of a group of a service that has members.
func groupWeight(s *version.RoutedService, w weights, group int) float64 {
	if w.Weights == nil {
		return float64(len(s.Groups.Members(group)))
	}
	return w.Groups[group]
}

// groupDistance returns the distance of a group of a weight from an object, by its draw. One
// without weight, as all its members are closed, comes last.
func groupDistance(draw, weight float64) float64 { return min(draw/weight, math.MaxFloat64) }

// orderGroups sets the distances of the groups. Those that have no members are infinitely far.
func (x *search) orderGroups() {
	for g := range version.GroupCount {
		x.near[g], x.far[g] = math.Inf(1), math.Inf(1)
		if len(x.s.Groups.Members(g)) > 0 {
			draw := version.GroupUnitDistance(x.object, g)
			x.near[g] = groupDistance(draw, groupWeight(x.s, x.weights, g))
			x.far[g] = groupDistance(draw, x.s.Groups.Slots[g])
		}
	}
}

// find visits groups in an order until the first n candidates of that order are known, or all
// groups were visited.
func (x *search) find(order *[version.GroupCount]float64, n int, distance func(*candidate) float64) {
	for {
		next, far := -1, math.Inf(1)
		for g, d := range order {
			if d < far && !x.visited[g] {
				next, far = g, d
			}
		}
		if next < 0 || x.known(n, far, distance) {
			return
		}
		x.visit(next)
	}
}

// known reports whether n candidates are no further than a distance.
func (x *search) known(n int, far float64, distance func(*candidate) float64) bool {
	for i := range x.c {
		if distance(&x.c[i]) <= far {
			n--
		}
	}
	return n <= 0
}

// visit looks at the members of a group.
func (x *search) visit(group int) {
	if x.visited[group] {
		return
	}
	x.visited[group] = true
	x.t.looked += len(x.s.Groups.Members(group))
	first := len(x.c)
	leastNear, leastFar := math.Inf(1), math.Inf(1)
	missed, missedNear := version.None, 0.0
	for _, k := range x.s.Groups.Members(group) {
		i := x.s.Backends[k]
		v := &x.t.routing.Backends[i]
		if v.Closed {
			x.why.Closed++
			continue
		}
		u := x.t.states[i]
		draw := v.UnitDistance(x.object)
		near, far := draw/x.weights.of(k), draw/float64(v.Slots)
		leastNear, leastFar = min(leastNear, near), min(leastFar, far)
		if u != nil {
			near, far = near/u.share.kept, far/u.share.kept
		}
		switch x.state(v, u) {
		case takesIt:
			x.c = append(x.c, candidate{index: i, near: near, far: far})
		case suspendedNow:
			if missed == version.None || near < missedNear {
				missed, missedNear = i, near
			}
		}
	}
	for i := first; i < len(x.c); i++ {
		x.c[i].near *= x.near[group] / leastNear
		x.c[i].far *= x.far[group] / leastFar
	}
	missedNear *= x.near[group] / leastNear
	if missed != version.None && (x.missed == version.None || missedNear < x.missedNear) {
		x.missed, x.missedNear = missed, missedNear
	}
}

// found is what a search finds of a backend server.
type found uint8

const (
	leftOut found = iota
	takesIt
	suspendedNow
)

// state tells whether a backend server that is not closed may get the request, and counts why it
// may not. Nil: nothing is known of it.
func (x *search) state(v *version.RoutedBackend, u *backend) found {
	if x.q.Route.Home != nil && !x.q.Route.Home[v.Region] {
		x.why.Foreign++
		return leftOut
	}
	e := eligible
	if u != nil && u.notices != nil {
		e = x.t.eligibilityFor(x.q, u, x.now)
	}
	switch {
	case e != x.among:
		x.why.leftOut(u, e, x.now)
	case u != nil && !u.usable(x.now):
		x.why.Suspended++
		return suspendedNow
	case u != nil && u.inFlight >= x.bound:
		x.why.Full++
	case slices.Contains(x.q.Tried, v.Name):
		x.why.Tried++
	case x.t.overLimit(x.q, v):
		x.why.Limited++
	default:
		return takesIt
	}
	return leftOut
}

// firstChoices keeps the first of the near order and then the first others of
// the far order.
func (t *Table) firstChoices(c []candidate) []candidate {
	near, far := t.Policy.NearChoices, t.Policy.FarChoices
	least(c, near, func(x *candidate) float64 { return x.near })
	if len(c) <= near {
		return c
	}
	least(c[near:], far, func(x *candidate) float64 { return x.far })
	return c[:min(len(c), near+far)]
}

// least moves the n candidates of the least distance to the front, in order.
func least(c []candidate, n int, distance func(*candidate) float64) {
	for i := range min(n, len(c)) {
		first := i
		for k := i + 1; k < len(c); k++ {
			if distance(&c[k]) < distance(&c[first]) {
				first = k
			}
		}
		c[i], c[first] = c[first], c[i]
	}
}
