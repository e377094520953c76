// SPDX-License-Identifier: MIT

package balance

import (
	"shalewick/request"
	"shalewick/version"
)

// minOtherHallShare is the smallest part of its weight that a backend server in another hall of
// the region keeps for uploads. It puts those servers after the ones of this hall and before all
// servers of no weight.
const minOtherHallShare = 0.01

// weightsFor returns the weights of a service's backend servers for the requests of a route.
// Uploads have large bodies and therefore stay in the hall, up to its share of the region's
// capacity: an object of uploads has a home in each hall. The caller holds the lock.
func (t *Table) weightsFor(route *version.RouteView, part *version.RoutePart, s *version.RoutedService) weights {
	w := t.regionWeights(part, s)
	if w.Weights == nil || route.Class != request.ClassUpload || t.Hall == "" {
		return w
	}
	if preferred, known := t.hallWeights[w.Weights]; known {
		return weights{preferred}
	}
	preferred := t.preferHall(w.Weights, s)
	if t.hallWeights == nil {
		t.hallWeights = make(map[*version.Weights]*version.Weights)
	}
	t.hallWeights[w.Weights] = preferred
	return weights{preferred}
}

// preferHall returns weights by which requests to the region go to this hall, up to its share of
// the region's weight. The caller holds the lock.
func (t *Table) preferHall(w *version.Weights, s *version.RoutedService) *version.Weights {
	ownWeight, regionWeight := 0.0, 0.0
	halls := make(map[string]bool)
	for k, i := range s.Backends {
		v := &t.routing.Backends[i]
		if v.Region != t.region || v.Closed {
			continue
		}
		halls[v.Hall] = true
		regionWeight += w.Backends[k]
		if v.Hall == t.Hall {
			ownWeight += w.Backends[k]
		}
	}
	if ownWeight == 0 || ownWeight == regionWeight {
		return w
	}
	ownShare := min(1, ownWeight*float64(len(halls))/regionWeight)
	ownFactor := ownShare * regionWeight / ownWeight
	otherFactor := max(minOtherHallShare, (1-ownShare)*regionWeight/(regionWeight-ownWeight))
	out := &version.Weights{Backends: make([]float64, len(w.Backends))}
	for k, i := range s.Backends {
		v := &t.routing.Backends[i]
		out.Backends[k] = w.Backends[k]
		switch {
		case v.Region != t.region:
		case v.Hall == t.Hall:
			out.Backends[k] *= ownFactor
		default:
			out.Backends[k] *= otherFactor
		}
		if !v.Closed {
			out.Groups[s.Group(v)] += out.Backends[k]
		}
	}
	return out
}
