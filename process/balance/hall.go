// SPDX-License-Identifier: MIT

package balance

import (
	"shalewick/request"
	"shalewick/version"
)

// otherHallShare is the least part of its weight that a backend server of another hall of the region
// keeps for uploads, so that these come after those of the own hall, and before all of no weight.
const minOtherHallShare = 0.01

// weightsFor returns the weights of a service's backend servers for the requests of a route. Bodies
// of uploads are large, so those stay in the hall as far as its backend servers are its share of the
// region: each hall has a home of its own for their objects. The caller holds the lock.
func (t *Table) weightsFor(route *version.RouteView, part *version.RoutePart, s *version.RoutedService) weights {
	w := t.regionWeights(part, s)
	if w.Weights == nil || route.Class != request.ClassUpload || t.Hall == "" {
		return w
	}
	if near, known := t.hallWeights[w.Weights]; known {
		return weights{near}
	}
	near := t.preferHall(w.Weights, s)
	if t.hallWeights == nil {
		t.hallWeights = make(map[*version.Weights]*version.Weights)
	}
	t.hallWeights[w.Weights] = near
	return weights{near}
}

// nearHall returns weights by which what goes to the region goes to the own hall as far as that has
// its share of the region's weight. The caller holds the lock.
func (t *Table) preferHall(w *version.Weights, s *version.RoutedService) *version.Weights {
	own, region := 0.0, 0.0
	halls := make(map[string]bool)
	for k, i := range s.Backends {
		v := &t.routing.Backends[i]
		if v.Region != t.region || v.Closed {
			continue
		}
		halls[v.Hall] = true
		region += w.Backends[k]
		if v.Hall == t.Hall {
			own += w.Backends[k]
		}
	}
	if own == 0 || own == region {
		return w
	}
	stays := min(1, own*float64(len(halls))/region)
	nearer := stays * region / own
	further := max(minOtherHallShare, (1-stays)*region/(region-own))
	out := &version.Weights{Backends: make([]float64, len(w.Backends))}
	for k, i := range s.Backends {
		v := &t.routing.Backends[i]
		out.Backends[k] = w.Backends[k]
		switch {
		case v.Region != t.region:
		case v.Hall == t.Hall:
			out.Backends[k] *= nearer
		default:
			out.Backends[k] *= further
		}
		if !v.Closed {
			out.Groups[s.Group(v)] += out.Backends[k]
		}
	}
	return out
}
