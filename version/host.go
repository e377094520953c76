// SPDX-License-Identifier: MIT

package version

import (
	"slices"
	"strings"
)

// hostRoutes are the routes of one host. Operators may have thousands: a route is
// found in the time of one look-up for each slash in the path, however many there are
// (40 ns with 1,000 routes, where trying one after the other takes 4 us:
// BenchmarkFindManyRoutes).
type hostRoutes struct {
	routes    []*RouteView // ordered by name
	byPrefix  map[string]*RouteView
	maxPrefix int // prefix, in bytes
	// homes are the regions, by index, in which all routes with homes may be served.
	// Nil: no route has homes.
	homeRegions []bool
}

// add adds a route. Of two with one prefix the first holds.
func (h *hostRoutes) add(v *RouteView) {
	h.routes = append(h.routes, v)
	if h.byPrefix[v.Prefix] == nil {
		h.byPrefix[v.Prefix] = v
	}
	h.maxPrefix = max(h.maxPrefix, len(v.Prefix))
	if v.HomeRegions == nil {
		return
	}
	if h.homeRegions == nil {
		h.homeRegions = slices.Clone(v.HomeRegions)
		return
	}
	for i := range h.homeRegions {
		h.homeRegions[i] = h.homeRegions[i] && v.HomeRegions[i]
	}
}

// find returns the route whose prefix begins the path and is longest, or nil. Prefixes
// end with a slash. What is behind the longest one is not looked at, so that a path of
// many slashes costs no more than the routes make it.
func (h *hostRoutes) find(path string) *RouteView {
	path = path[:min(len(path), h.maxPrefix)]
	for {
		end := strings.LastIndexByte(path, '/')
		if end < 0 {
			return nil
		}
		if v := h.byPrefix[path[:end+1]]; v != nil {
			return v
		}
		path = path[:end]
	}
}

// Route returns the route of a request, or nil. A port in the host is ignored.
func (r *Routing) Route(host, path string) *RouteView {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	h := r.hosts[host]
	if h == nil {
		return nil
	}
	return h.find(path)
}

// HostHomes returns the regions in which all routes of a host with homes may be
// served, by region; nil when no route of the host has homes. It is not to be changed.
func (r *Routing) HostHomeRegions(host string) []bool {
	h := r.hosts[host]
	if h == nil {
		return nil
	}
	return h.homeRegions
}
