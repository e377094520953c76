// SPDX-License-Identifier: MIT

package balance

import (
	"slices"

	"shalewick/version"
)

// softwareOf names a version of a service's software.
type softwareOf struct{ service, software string }

// service returns what is known of a service with one version of its software. The
// caller holds the lock.
func (t *Table) service(s *version.RoutedService) *service {
	if t.services == nil {
		t.services = make(map[softwareOf]*service)
	}
	key := softwareOf{s.Name, s.Software}
	known := t.services[key]
	if known == nil {
		known = &service{}
		t.services[key] = known
	}
	return known
}

// keepServices forgets what is known of services and versions that a routing does not
// have, so that memory is bounded however many versions follow each other. What is known
// of a roll-out's target stays when it is promoted: the key is the same. The caller
// holds the lock.
func (t *Table) keepServices(r *version.Routing) {
	keep := make(map[softwareOf]bool, len(r.Services))
	for i := range r.Services {
		s := &r.Services[i]
		keep[softwareOf{s.Name, s.Software}] = true
		t.takeOver(s)
	}
	for key := range t.services {
		if !keep[key] {
			delete(t.services, key)
		}
	}
	for key, n := range t.flights {
		if *n == 0 && !keep[key] && !announces(r, key) {
			delete(t.flights, key)
		}
	}
}

// announces reports whether a routing has a backend server of a service that runs a version of
// its software, which is not told apart there.
func announces(r *version.Routing, key softwareOf) bool {
	return slices.ContainsFunc(r.Backends, func(v version.RoutedBackend) bool {
		return v.Software == key.software && r.Services[v.Service].Name == key.service
	})
}

// takeOver lets what is known of a service whose versions were not told apart until now
// stand for the version in force. The caller holds the lock.
func (t *Table) takeOver(s *version.RoutedService) {
	whole := t.services[softwareOf{service: s.Name}]
	key := softwareOf{s.Name, s.Software}
	if whole != nil && t.services[key] == nil && !s.IsTarget {
		t.services[key] = whole
	}
}

// flight returns the count of the requests in flight at a version of a service's
// software. The caller holds the lock.
func (t *Table) flight(key softwareOf) *int {
	if t.flights == nil {
		t.flights = make(map[softwareOf]*int)
	}
	n := t.flights[key]
	if n == nil {
		n = new(int)
		t.flights[key] = n
	}
	return n
}

// InFlight returns the number of this instance's requests at backend servers of a
// service, but for those of a roll-out's target. Requests at backend servers that have
// left the routing count until they end, and so do answers that are held (Pick.Hold).
func (t *Table) InFlight(service string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	target, runs := t.target(service)
	sum := 0
	for key, n := range t.flights {
		if key.service == service && !(runs && key.software == target) {
			sum += *n
		}
	}
	return sum
}

// target returns the version of the software that a roll-out of a service brings. Runs
// is false if there is none. The caller holds the lock.
func (t *Table) target(service string) (software string, runs bool) {
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
