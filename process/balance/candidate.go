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
	rank      int     // position among the choices
	wait      time.Duration
	cost      time.Duration
	unseen    bool // the backend server has not processed the object lately
}

// search finds the candidates for one request. The orders of an object cover all backend servers
// of a service, but a search examines few of them: groups are visited by their own distance, and
// no member of a group comes before its group. In both orders the distance of a server is that of
// its group, times its own over the smallest in the group, so that each gets a share of the
// objects in proportion to its weight (hierarchical weighted rendezvous hashing).
type search struct {
	t           *Table
	q           *Query
	s           *version.RoutedService
	object      uint64
	among       eligibility
	now         time.Duration
	maxInFlight int // concurrent requests to one backend server
	weights     weights
	near        *[version.GroupCount]float64
	far         *[version.GroupCount]float64
	visited     [version.GroupCount]bool
	found       []candidate
	explanation Explanation
	// suspended is the suspended backend server that would come first, at the distance
	// suspendedNear; version.None: there is none.
	suspended     int32
	suspendedNear float64
}

// candidates lists the first choices for an object among the backend servers of one eligibility,
// and counts the reasons why others that it examined may not get the request. If examineAll is set,
// it examines all of them. The list is valid until the next call. The caller holds the lock.
func (t *Table) candidates(q *Query, part *version.RoutePart, s *version.RoutedService, object uint64, among eligibility, now time.Duration, examineAll bool) ([]candidate, Explanation) {
	x := search{
		t: t, q: q, s: s, object: object, among: among, now: now, maxInFlight: t.connections(s), found: t.scratch[:0],
		weights: t.weightsFor(q.Route, part, s), near: &t.nearGroups, far: &t.farGroups, explanation: Explanation{Backends: len(s.Backends)}, suspended: version.None,
	}
	x.orderGroups()
	if examineAll {
		for g := range version.GroupCount {
			x.visit(g)
		}
	}
	x.extend(x.near, t.Policy.NearChoices, func(c *candidate) float64 { return c.near })
	moveNearestFirst(x.found, t.Policy.NearChoices, func(c *candidate) float64 { return c.near })
	x.extend(x.far, t.Policy.NearChoices+t.Policy.FarChoices, func(c *candidate) float64 { return c.far })
	t.scratch = x.found[:0]
	c := t.firstChoices(x.found)
	if x.suspended != version.None && (len(c) == 0 || x.suspendedNear < c[0].near) {
		t.probe(t.routing.Backends[x.suspended].Name, t.state(x.suspended), now)
	}
	for k := range c {
		t.estimateCost(q, object, &c[k], k, now)
	}
	return c, x.explanation
}

// estimateCost sets what a candidate of a rank would cost. The caller holds the lock.
func (t *Table) estimateCost(q *Query, object uint64, c *candidate, rank int, now time.Duration) {
	v := &t.routing.Backends[c.index]
	u := t.state(c.index)
	work := u.currentWork(now)
	c.rank = rank
	c.wait = u.expectedWait(now, v.Slots)
	c.cost = c.wait + time.Duration(rank)*t.Policy.RankCost + work - u.typicalWork()
	c.unseen = q.Route.Sticky && !t.seen.has(object, v.IncarnationHash, now, t.Policy.SeenTTL)
	if rank > 0 && c.unseen {
		c.cost += time.Duration(t.Policy.UnseenCost * float64(work))
	}
}

// weights holds the weights of a service's backend servers for the requests of a region. The zero
// value gives each the weight 1.
type weights struct{ *version.Weights }

// regionWeights returns the weights of a service's backend servers for requests of this instance's
// region.
func (t *Table) regionWeights(part *version.RoutePart, s *version.RoutedService) weights {
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

// groupWeight returns the weight of a group that has members.
func groupWeight(s *version.RoutedService, w weights, group int) float64 {
	if w.Weights == nil {
		return float64(len(s.Groups.Members(group)))
	}
	return w.Groups[group]
}

// groupDistance returns the distance of a group from an object, from its unit distance and its
// weight. A group without weight, all of whose members are closed, comes last.
func groupDistance(unitDistance, weight float64) float64 {
	return min(unitDistance/weight, math.MaxFloat64)
}

// orderGroups sets the distances of the groups. Empty groups are infinitely far.
func (x *search) orderGroups() {
	for g := range version.GroupCount {
		x.near[g], x.far[g] = math.Inf(1), math.Inf(1)
		if len(x.s.Groups.Members(g)) > 0 {
			unitDistance := version.GroupUnitDistance(x.object, g)
			x.near[g] = groupDistance(unitDistance, groupWeight(x.s, x.weights, g))
			x.far[g] = groupDistance(unitDistance, x.s.Groups.Slots[g])
		}
	}
}

// extend visits groups in an order until the first n candidates of that order are known, or all
// groups were visited.
func (x *search) extend(order *[version.GroupCount]float64, n int, distance func(*candidate) float64) {
	for {
		nextGroup, nextDistance := -1, math.Inf(1)
		for g, d := range order {
			if d < nextDistance && !x.visited[g] {
				nextGroup, nextDistance = g, d
			}
		}
		if nextGroup < 0 || x.enough(n, nextDistance, distance) {
			return
		}
		x.visit(nextGroup)
	}
}

// enough reports whether at least n candidates are within a distance.
func (x *search) enough(n int, limit float64, distance func(*candidate) float64) bool {
	for i := range x.found {
		if distance(&x.found[i]) <= limit {
			n--
		}
	}
	return n <= 0
}

// visit adds the candidates among the members of a group.
func (x *search) visit(group int) {
	if x.visited[group] {
		return
	}
	x.visited[group] = true
	x.t.examined += len(x.s.Groups.Members(group))
	first := len(x.found)
	minNear, minFar := math.Inf(1), math.Inf(1)
	suspended, suspendedNear := version.None, 0.0
	for _, k := range x.s.Groups.Members(group) {
		i := x.s.Backends[k]
		v := &x.t.routing.Backends[i]
		if v.Closed {
			x.explanation.Closed++
			continue
		}
		u := x.t.states[i]
		unitDistance := v.UnitDistance(x.object)
		near, far := unitDistance/x.weights.of(k), unitDistance/float64(v.Slots)
		minNear, minFar = min(minNear, near), min(minFar, far)
		if u != nil {
			near, far = near/u.share.kept, far/u.share.kept
		}
		switch x.classify(v, u) {
		case available:
			x.found = append(x.found, candidate{index: i, near: near, far: far})
		case suspendedNow:
			if suspended == version.None || near < suspendedNear {
				suspended, suspendedNear = i, near
			}
		}
	}
	for i := first; i < len(x.found); i++ {
		x.found[i].near *= x.near[group] / minNear
		x.found[i].far *= x.far[group] / minFar
	}
	suspendedNear *= x.near[group] / minNear
	if suspended != version.None && (x.suspended == version.None || suspendedNear < x.suspendedNear) {
		x.suspended, x.suspendedNear = suspended, suspendedNear
	}
}

// candidacy says whether a backend server is a candidate.
type candidacy uint8

const (
	excluded candidacy = iota
	available
	suspendedNow
)

// classify decides whether a backend server that is not closed may get the request, and counts the
// reason if it may not. u is nil if there is no state of it.
func (x *search) classify(v *version.RoutedBackend, u *backend) candidacy {
	if x.q.Route.Home != nil && !x.q.Route.Home[v.Region] {
		x.explanation.OutsideHomes++
		return excluded
	}
	e := eligible
	if u != nil && u.notices != nil {
		e = x.t.eligibilityFor(x.q, u, x.now)
	}
	switch {
	case e != x.among:
		x.explanation.countExcluded(u, e, x.now)
	case u != nil && !u.usable(x.now):
		x.explanation.Suspended++
		return suspendedNow
	case u != nil && u.inFlight >= x.maxInFlight:
		x.explanation.Full++
	case slices.Contains(x.q.Tried, v.Name):
		x.explanation.Tried++
	case x.t.overLimit(x.q, v):
		x.explanation.Limited++
	default:
		return available
	}
	return excluded
}

// firstChoices keeps the nearest candidates of the near order, followed by the nearest others of
// the far order.
func (t *Table) firstChoices(c []candidate) []candidate {
	near, far := t.Policy.NearChoices, t.Policy.FarChoices
	moveNearestFirst(c, near, func(x *candidate) float64 { return x.near })
	if len(c) <= near {
		return c
	}
	moveNearestFirst(c[near:], far, func(x *candidate) float64 { return x.far })
	return c[:min(len(c), near+far)]
}

// moveNearestFirst moves the n nearest candidates to the front, in order.
func moveNearestFirst(c []candidate, n int, distance func(*candidate) float64) {
	for i := range min(n, len(c)) {
		nearest := i
		for k := i + 1; k < len(c); k++ {
			if distance(&c[k]) < distance(&c[nearest]) {
				nearest = k
			}
		}
		c[i], c[nearest] = c[nearest], c[i]
	}
}
