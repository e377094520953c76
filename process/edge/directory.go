// SPDX-License-Identifier: MIT

package edge

import (
	"net/http"
	"time"

	"shalewick/process/cluster"
	"shalewick/request"
	"shalewick/version"
)

const (
	// directoryLife is how long a client may keep an answer.
	directoryTTL = 2 * time.Second
	// maxAddresses bounds the addresses in an answer.
	maxAddresses = 64
	// enoughInHall is the number of instances from which those of a client's
	// hall are named alone.
	minPerHall = 2
)

// serveDirectory tells a client which instances to use.
func (e *Edge) serveDirectory(w http.ResponseWriter, r *http.Request) {
	routing := e.table.Routing()
	if routing == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := e.deployment.ReadDirectoryQuery(r.URL.Query())
	named := nearestInstances(e.members.Live(), q, homeRegions(routing, q.Host))
	if len(named) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	addresses := make([]string, 0, len(named))
	for _, m := range named[:min(len(named), maxAddresses)] {
		addresses = append(addresses, m.Front)
	}
	e.deployment.WriteAddresses(w, addresses, directoryTTL)
}

// homeRegions returns the names of the regions that may serve all routes of a
// host, or nil when all may.
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

// nearest returns the live instances that a client should use: those of its
// hall if there are enough, else those of its region, else those of the
// regions that may serve the host, else all.
func nearestInstances(live []cluster.Member, q DirectoryQuery, homes map[string]bool) []cluster.Member {
	region := inRegion(live, q.Region)
	hall := filter(region, func(m cluster.Member) bool { return m.Hall == q.Hall })
	for _, near := range [][]cluster.Member{largeWithCapacity(hall, region), largeWithCapacity(region, region), hall} {
		if len(near) >= minPerHall {
			return near
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

// entries returns how many instances are named to clients while none is busy.
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

// roomy returns the instances that can carry much, compared with the largest of their
// region, and have room left. A client takes any that are named, alike; so
// a small one among large ones would be filled up while those are idle. And
// what an instance learns of backend servers, it learns from its own requests: few
// instances that see many know far more than many that see few.
func largeWithCapacity(from, region []cluster.Member) []cluster.Member {
	most := cluster.Largest(region)
	large := filter(from, func(m cluster.Member) bool { return most.Fills(&m) })
	free := filter(large, func(m cluster.Member) bool { return !m.Busy })
	if len(free) >= minPerHall || len(free) == len(large) {
		return free
	}
	return nil // all are needed
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

// serveReady says whether clients may come.
func (e *Edge) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if e.leaving.Load() || e.table.Routing() == nil {
		w.Header().Set(request.HeaderResult, request.Leaving.String())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveMetrics prints the metrics.
func (e *Edge) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	e.updateGauges()
	_ = e.metrics.Write(w) // a reader that is gone needs no metrics
}
