// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"shalewick/conn"
	"shalewick/version"
)

// Intervals and limits of probing backend servers.
const (
	probeInterval = time.Second
	probeTimeout  = 400 * time.Millisecond
	// probersPerBackend is the number of members per region that probe a backend server.
	probersPerBackend = 2
)

func newProbeClient() *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DialContext = (&net.Dialer{Control: conn.ReuseLocalAddress}).DialContext // probeTimeout bounds it
	return &http.Client{Timeout: probeTimeout, Transport: transport}
}

// probeLoop requests load reports from backend servers. Each backend server is
// probed by a few members of its region, chosen by rendezvous hashing; if one
// of them learns that it is leaving, it announces that to the others. A member
// also probes backend servers that it has closed, or whose health report it
// awaits.
func (e *Entry) probeLoop(ctx context.Context) {
	runPeriodically(ctx, probeInterval, func() {
		bound := e.steer.Active()
		if bound == nil {
			return
		}
		live := e.candidates(bound.View)
		for i := range bound.View.Backends {
			backend := &bound.View.Backends[i]
			var ids []string
			for _, c := range live {
				if c.Region == bound.View.Regions[backend.Region] {
					ids = append(ids, c.ID)
				}
			}
			if bound.Counters.Closed[i].Load() || e.health.AwaitsResponse(backend.Name) || isProber(backend.Name, ids, e.members.Self().GetId()) {
				go e.probe(ctx, backend)
			}
		}
	})
}

// isProber reports whether self is among the members of ids that probe a
// backend server.
func isProber(backend string, ids []string, self string) bool {
	slices.SortFunc(ids, func(a, b string) int {
		ha, hb := xxhash.Sum64String(backend+a), xxhash.Sum64String(backend+b)
		if ha < hb {
			return -1
		}
		return 1
	})
	return slices.Contains(ids[:min(len(ids), probersPerBackend)], self)
}

func (e *Entry) probe(ctx context.Context, backend *version.BackendView) {
	start := e.now()
	report, err := conn.Probe(ctx, e.probeClient, backend.Address)
	if err != nil {
		e.health.RecordUnreachable(backend.Name, e.now())
		return
	}
	e.health.RecordProbe(backend.Name, report, e.now()-start, e.now())
}
