// SPDX-License-Identifier: MIT

package balance

import (
	"math"
	"math/rand/v2"

	"shalewick/version"
)

// maxTargetHomes bounds the cached homes. At 32 bytes each they take 0.5 MB of the 32 MB that an
// instance may use.
const maxTargetHomes = 1 << 14

// targetHomes caches the homes of objects among the backend servers of rollout targets, until the
// routing changes. The zero value is empty.
type targetHomes struct {
	byKey map[homeKey]int32 // index of the backend server, or None
}

// homeKey identifies an object in a part of a route.
type homeKey struct {
	part   *version.RoutePart
	object uint64
}

func (h *targetHomes) clear() { h.byKey = nil }

// keep caches a home.
func (h *targetHomes) keep(key homeKey, index int32) {
	if h.byKey == nil || len(h.byKey) >= maxTargetHomes {
		h.byKey = make(map[homeKey]int32)
	}
	h.byKey[key] = index
}

// TargetHome returns the hash of the backend server of a rollout's target that is the home of the
// query's object: the first in the near order of those that may get requests now. A query without
// an object, or of a route that is not sticky, may go to any of them and gets a random one each
// time, so that services without objects can have rollouts, too. ok is false if there is none.
// Unlike the choice of Pick, the home does not depend on load, so that it is stable.
func (t *Table) TargetHome(q *Query) (hash uint64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	query := *q
	query.Target = q.targetIn(t.routing)
	if query.Target == "" {
		return 0, false
	}
	part := query.part(t.routing)
	if part == nil {
		return 0, false
	}
	if q.Object == 0 || !q.Route.Sticky {
		return t.anyHome(q, part)
	}
	key := homeKey{part, q.Object}
	index, known := t.homes.byKey[key]
	if !known {
		index = t.home(&query, part, func(int32) bool { return true })
		if part == q.Route.Parts[q.Part].Target {
			t.homes.keep(key, index)
		}
	}
	if index == version.None {
		return 0, false
	}
	if u := t.states[index]; u != nil && (u.failures > 0 || u.eligibility(t.Now(), t.LeavingGrace) != eligible) {
		index = t.usableHome(&query, part)
	}
	if index == version.None {
		return 0, false
	}
	return t.routing.Backends[index].Hash, true
}

// anyHome returns the hash of a random backend server of a part that may get requests now. The
// caller holds the lock.
func (t *Table) anyHome(q *Query, part *version.RoutePart) (hash uint64, ok bool) {
	s := &t.routing.Services[part.Service]
	now := t.Now()
	for k, n := rand.IntN(max(1, len(s.Backends))), 0; n < len(s.Backends); n++ {
		i := s.Backends[(k+n)%len(s.Backends)]
		v := &t.routing.Backends[i]
		if !v.Closed && (q.Route.Home == nil || q.Route.Home[v.Region]) && t.isEligible(i, now) {
			return v.Hash, true
		}
	}
	return 0, false
}

// usableHome returns the home among the backend servers that have not failed lately and accept
// requests. The caller holds the lock.
func (t *Table) usableHome(q *Query, part *version.RoutePart) int32 {
	now := t.Now()
	return t.home(q, part, func(i int32) bool { return t.isEligible(i, now) })
}

// home returns the index of the first backend server in the near order of an object, as search
// computes it, that is not closed, is in a home region of the route and for which accept returns
// true. The caller holds the lock.
func (t *Table) home(q *Query, part *version.RoutePart, accept func(index int32) bool) int32 {
	s := &t.routing.Services[part.Service]
	w := t.weightsFor(q.Route, part, s)
	best, minDistance := version.None, math.Inf(1)
	for g := range version.GroupCount {
		members := s.Groups.Members(g)
		if len(members) == 0 {
			continue
		}
		first, firstDistance, minNear := version.None, math.Inf(1), math.Inf(1)
		for _, k := range members {
			i := s.Backends[k]
			v := &t.routing.Backends[i]
			if v.Closed {
				continue
			}
			near := v.UnitDistance(q.Object) / w.of(k)
			minNear = min(minNear, near)
			if (q.Route.Home == nil || q.Route.Home[v.Region]) && near < firstDistance && accept(i) {
				first, firstDistance = i, near
			}
		}
		if near := groupDistance(version.GroupUnitDistance(q.Object, g), groupWeight(s, w, g)) * firstDistance / minNear; first != version.None && near < minDistance {
			best, minDistance = first, near
		}
	}
	return best
}
