// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"shalewick/conn"
	"shalewick/version"
)

// Times and bounds of the probing of backend servers.
const (
	probeTime    = time.Second
	probeTimeout = 400 * time.Millisecond
	// probers is the number of members that probe each backend server.
	probers = 2
)

// probeLoop asks backend servers for their load report. Each is probed by a few
// members of its region, chosen by hash; what they learn of its leaving they
// tell the others. A backend server that this member has closed, or waits for a
// word of, is probed too.
func (e *Entry) probeLoop(ctx context.Context) {
	every(ctx, probeTime, func() {
		b := e.steer.Active()
		if b == nil {
			return
		}
		live := e.candidates(b.View)
		for i := range b.View.Backends {
			u := &b.View.Backends[i]
			var ids []string
			for _, c := range live {
				if c.Region == b.View.Regions[u.Region] {
					ids = append(ids, c.ID)
				}
			}
			if b.Counters.Closed[i].Load() || e.health.AwaitsResponse(u.Name) || proberOf(u.Name, ids, e.members.Self().GetId()) {
				go e.probe(ctx, u)
			}
		}
	})
}

// proberOf reports whether a member is one of those that probe a backend server.
func proberOf(backend string, ids []string, self string) bool {
	slices.SortFunc(ids, func(a, b string) int {
		ha, hb := xxhash.Sum64String(backend+a), xxhash.Sum64String(backend+b)
		if ha < hb {
			return -1
		}
		return 1
	})
	return slices.Contains(ids[:min(len(ids), probers)], self)
}

func (e *Entry) probe(ctx context.Context, u *version.BackendView) {
	start := e.now()
	rep, err := conn.Probe(ctx, e.probes, u.Address)
	if err != nil {
		e.health.RecordFailure(u.Name, e.now())
		return
	}
	e.health.RecordProbe(u.Name, rep, e.now()-start, e.now())
}
