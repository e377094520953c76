// SPDX-License-Identifier: MIT

package balance

import (
	"slices"

	"shalewick/version"
)

// softwareKey identifies a software version of a service.
type softwareKey struct{ service, software string }

// service returns the state of a service at one software version. The caller holds the lock.
func (t *Table) service(s *version.RoutedService) *service {
	if t.services == nil {
		t.services = make(map[softwareKey]*service)
	}
	key := softwareKey{s.Name, s.Software}
	known := t.services[key]
	if known == nil {
		known = &service{}
		t.services[key] = known
	}
	return known
}

// pruneServices drops the state of services and software versions that a routing no longer has, so
// that memory is bounded however many versions are rolled out. The state of a rollout's target
// survives its promotion, because the key is the same. The caller holds the lock.
func (t *Table) pruneServices(r *version.Routing) {
	keep := make(map[softwareKey]bool, len(r.Services))
	for i := range r.Services {
		s := &r.Services[i]
		keep[softwareKey{s.Name, s.Software}] = true
		t.inherit(s)
	}
	for key := range t.services {
		if !keep[key] {
			delete(t.services, key)
		}
	}
	for key, n := range t.inFlight {
		if *n == 0 && !keep[key] && !runsSoftware(r, key) {
			delete(t.inFlight, key)
		}
	}
}

// runsSoftware reports whether a routing has a backend server that runs a software version of a
// service, also if the routing does not distinguish the service's versions.
func runsSoftware(r *version.Routing, key softwareKey) bool {
	return slices.ContainsFunc(r.Backends, func(v version.RoutedBackend) bool {
		return v.Software == key.software && r.Services[v.Service].Name == key.service
	})
}

// inherit passes the state of a service whose versions were not distinguished so far on to the
// version in force. The caller holds the lock.
func (t *Table) inherit(s *version.RoutedService) {
	combined := t.services[softwareKey{service: s.Name}]
	key := softwareKey{s.Name, s.Software}
	if combined != nil && t.services[key] == nil && !s.IsTarget {
		t.services[key] = combined
	}
}

// inFlightCounter returns the counter of requests in flight at a software version of a service.
// The caller holds the lock.
func (t *Table) inFlightCounter(key softwareKey) *int {
	if t.inFlight == nil {
		t.inFlight = make(map[softwareKey]*int)
	}
	n := t.inFlight[key]
	if n == nil {
		n = new(int)
		t.inFlight[key] = n
	}
	return n
}

// InFlight returns the number of this instance's requests at backend servers of a service, except
// those of a rollout's target. Requests at backend servers that have left the routing count until
// they end, as do responses that are still being transferred (Pick.Hold).
func (t *Table) InFlight(service string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	target, active := t.target(service)
	sum := 0
	for key, n := range t.inFlight {
		if key.service == service && !(active && key.software == target) {
			sum += *n
		}
	}
	return sum
}

// target returns the software version that a rollout of a service introduces. active is false if
// there is none. The caller holds the lock.
func (t *Table) target(service string) (software string, active bool) {
	if t.routing == nil {
		return "", false
	}
	for i := range t.routing.Services {
		if s := &t.routing.Services[i]; s.IsTarget && s.Name == service {
			return s.Software, true
		}
	}
	return "", false
}
