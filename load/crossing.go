// SPDX-License-Identifier: MIT

package load

import (
	"cmp"
	"slices"
	"time"

	"shalewick/standin/backend"
)

// Crossing returns, from the backend servers' records, the most requests of a
// service that came from one region and ran in another at once, and the most
// that began in any one second. Only requests that began at since or later
// count.
func CrossRegionPeaks(records []backend.Record, since time.Time, service, from, to string, place func(backend string) (service, region string)) (atOnce, inSecond int) {
	type edge struct {
		at time.Time
		by int
	}
	var edges []edge
	var starts []time.Time
	for _, r := range records {
		s, region := place(r.Backend)
		if s != service || r.Region != from || region != to || r.Start.Before(since) {
			continue
		}
		edges = append(edges, edge{r.Start, 1}, edge{r.End, -1})
		starts = append(starts, r.Start)
	}
	slices.SortFunc(edges, func(a, b edge) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.by, b.by)) })
	now := 0
	for _, e := range edges {
		now += e.by
		atOnce = max(atOnce, now)
	}
	slices.SortFunc(starts, time.Time.Compare)
	first := 0
	for i, t := range starts {
		for t.Sub(starts[first]) >= time.Second {
			first++
		}
		inSecond = max(inSecond, i-first+1)
	}
	return atOnce, inSecond
}
