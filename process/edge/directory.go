// SPDX-License-Identifier: MIT

package edge

import (
	"net/http"
	"slices"
	"time"

	"shalewick/process/cluster"
	"shalewick/request"
	"shalewick/version"
)

const (
	// directoryTTL is how long a client may cache a response of the directory.
	directoryTTL = 2 * time.Second
	// maxAddresses bounds the number of addresses in a response.
	maxAddresses = 64
	// minPerHall is the number of instances in a client's hall from which only those are listed.
	minPerHall = 2
)

// serveDirectory responds with the instances that a client should use.
func (e *Edge) serveDirectory(w http.ResponseWriter, r *http.Request) {
	routing := e.table.Routing()
	if routing == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := e.deployment.ReadDirectoryQuery(r.URL.Query())
	listed := nearestInstances(reachingBackends(e.members.Live()), q, homeRegions(routing, q.Host))
	if len(listed) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	addresses := make([]string, 0, len(listed))
	for _, m := range listed[:min(len(listed), maxAddresses)] {
		addresses = append(addresses, m.Front)
	}
	e.deployment.WriteAddresses(w, addresses, directoryTTL)
}

// homeRegions returns the names of the regions that may serve all routes of a host, or nil if all
// may.
func homeRegions(r *version.Routing, host string) map[string]bool {
	homes := r.HostHomes(host)
	if homes == nil {
		return nil
	}
	out := make(map[string]bool)
	for i, home := range homes {
		if home {
			out[r.Regions[i]] = true
		}
	}
	return out
}

// reachingBackends returns the instances that reach backend servers, or all if none does.
func reachingBackends(live []cluster.Member) []cluster.Member {
	unreachable := func(m cluster.Member) bool { return m.BackendsUnreachable }
	if !slices.ContainsFunc(live, unreachable) {
		return live
	}
	if out := filter(live, func(m cluster.Member) bool { return !unreachable(m) }); len(out) > 0 {
		return out
	}
	return live
}

// nearestInstances returns the live instances that a client should use: those of its hall if there
// are enough, else those of its region, else those of the regions that may serve the host, else
// all.
func nearestInstances(live []cluster.Member, q DirectoryQuery, homes map[string]bool) []cluster.Member {
	region := inRegion(live, q.Region)
	hall := filter(region, func(m cluster.Member) bool { return m.Hall == q.Hall })
	for _, candidates := range [][]cluster.Member{largeWithCapacity(hall, region), largeWithCapacity(region, region), hall} {
		if len(candidates) >= minPerHall {
			return candidates
		}
	}
	if len(region) > 0 {
		return region
	}
	home := filter(live, func(m cluster.Member) bool { return homes == nil || homes[m.Region] })
	if len(home) > 0 {
		return home
	}
	return live
}

// countListed returns how many instances are listed for clients while none is busy.
func countListed(live []cluster.Member) int {
	regions := make(map[string][]cluster.Member)
	for _, m := range live {
		m.Busy = false
		regions[m.Region] = append(regions[m.Region], m)
	}
	n := 0
	for _, region := range regions {
		n += len(nearestInstances(region, DirectoryQuery{Region: region[0].Region}, nil))
	}
	return n
}

// largeWithCapacity returns the instances that are large, compared with the largest of their
// region, and have free capacity. Clients spread their requests evenly over the instances that are
// listed, so a small one among large ones would be overloaded while those are idle. Besides, an
// instance learns about backend servers mainly from its own requests: a few instances with many
// requests each know much more than many instances with few.
func largeWithCapacity(candidates, region []cluster.Member) []cluster.Member {
	largest := cluster.MaxResources(region)
	large := filter(candidates, func(m cluster.Member) bool { return largest.MatchedBy(&m) })
	free := filter(large, func(m cluster.Member) bool { return !m.Busy })
	if len(free) >= minPerHall || len(free) == len(large) {
		return free
	}
	return nil // all instances are needed
}

func inRegion(ms []cluster.Member, region string) []cluster.Member {
	return filter(ms, func(m cluster.Member) bool { return m.Region == region })
}

func filter(ms []cluster.Member, keep func(cluster.Member) bool) []cluster.Member {
	var out []cluster.Member
	for _, m := range ms {
		if keep(m) {
			out = append(out, m)
		}
	}
	return out
}

// serveReadiness reports whether the instance accepts clients.
func (e *Edge) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if e.leaving.Load() || e.table.Routing() == nil {
		w.Header().Set(request.HeaderResult, request.Leaving.String())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveMetrics writes the metrics.
func (e *Edge) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	e.updateGauges()
	_ = e.metrics.Write(w) // an error means that the reader has disconnected
}
