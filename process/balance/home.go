// SPDX-License-Identifier: MIT

package balance

import (
	"math"
	"math/rand/v2"

	"shalewick/version"
)

// maxTargetHomes bounds the objects whose homes are kept. Origin: 32 bytes each are
// half a MB of the 32 MB that an instance may take.
const maxTargetHomes = 1 << 14

// targetHomes keeps the homes of objects among the backend servers of roll-outs'
// targets, until the routing changes. The zero value is empty.
type targetHomes struct {
	of map[homeOf]int32 // to the index of the backend server, or None
}

// homeOf is an object in a part of a route.
type homeOf struct {
	part   *version.RoutePart
	object uint64
}

func (h *targetHomes) clear() { h.of = nil }

// keep notes a home.
func (h *targetHomes) keep(key homeOf, index int32) {
	if h.of == nil || len(h.of) >= maxTargetHomes {
		h.of = make(map[homeOf]int32)
	}
	h.of[key] = index
}

// TargetHome returns the hash of the backend server of a roll-out's target at which the
// query's object has its home: the first in the near order of those that may get
// requests now. A query without an object that its route keeps in one place may go to
// any of them: it gets one at random each time, so that services without objects have
// roll-outs, too. Ok is false if there is none. Unlike the order of choices, the home does
// not follow how busy backend servers are, so that it stays.
func (t *Table) TargetHome(q *Query) (hash uint64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	of := *q
	of.Target = q.targetIn(t.routing)
	if of.Target == "" {
		return 0, false
	}
	part := of.part(t.routing)
	if part == nil {
		return 0, false
	}
	if q.Object == 0 || !q.Route.Sticky {
		return t.anyHome(q, part)
	}
	key := homeOf{part, q.Object}
	index, known := t.homes.of[key]
	if !known {
		index = t.home(&of, part, func(int32) bool { return true })
		if part == q.Route.Parts[q.Part].Target {
			t.homes.keep(key, index)
		}
	}
	if index == version.None {
		return 0, false
	}
	if u := t.states[index]; u != nil && (u.failures > 0 || u.eligibility(t.Now(), t.LeaveWithin) != eligible) {
		index = t.usableHome(&of, part)
	}
	if index == version.None {
		return 0, false
	}
	return t.routing.Backends[index].Hash, true
}

// anyHome returns the hash of any backend server of a part that may get requests now. The
// caller holds the lock.
func (t *Table) anyHome(q *Query, part *version.RoutePart) (hash uint64, ok bool) {
	s := &t.routing.Services[part.Service]
	now := t.Now()
	for k, n := rand.IntN(max(1, len(s.Backends))), 0; n < len(s.Backends); n++ {
		i := s.Backends[(k+n)%len(s.Backends)]
		v := &t.routing.Backends[i]
		if !v.Closed && (q.Route.Home == nil || q.Route.Home[v.Region]) && t.takes(i, now) {
			return v.Hash, true
		}
	}
	return 0, false
}

// usableHome returns the home among the backend servers that did not fail lately and want
// requests. The caller holds the lock.
func (t *Table) usableHome(q *Query, part *version.RoutePart) int32 {
	now := t.Now()
	return t.home(q, part, func(i int32) bool { return t.takes(i, now) })
}

// home returns the index of the first backend server in the near order of an object, as search
// has it, that takes work, is in a home region of the route and among some. The caller holds
// the lock.
func (t *Table) home(q *Query, part *version.RoutePart, among func(index int32) bool) int32 {
	s := &t.routing.Services[part.Service]
	w := t.weightsFor(q.Route, part, s)
	best, least := version.None, math.Inf(1)
	for g := range version.GroupCount {
		members := s.Groups.Members(g)
		if len(members) == 0 {
			continue
		}
		first, firstNear, nearest := version.None, math.Inf(1), math.Inf(1)
		for _, k := range members {
			i := s.Backends[k]
			v := &t.routing.Backends[i]
			if v.Closed {
				continue
			}
			near := v.UnitDistance(q.Object) / w.of(k)
			nearest = min(nearest, near)
			if (q.Route.Home == nil || q.Route.Home[v.Region]) && near < firstNear && among(i) {
				first, firstNear = i, near
			}
		}
		if near := groupDistance(version.GroupUnitDistance(q.Object, g), groupWeight(s, w, g)) * firstNear / nearest; first != version.None && near < least {
			best, least = first, near
		}
	}
	return best
}
