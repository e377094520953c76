// SPDX-License-Identifier: MIT

package load

import (
	"cmp"
	"slices"
	"time"

	"shalewick/standin/backend"
)

// CrossRegionPeaks returns, from the records of backend servers, the maximum
// number of a service's requests that came from one region and ran concurrently
// in another, and the maximum number of them that started within one second.
// Requests that started before since are ignored.
func CrossRegionPeaks(records []backend.Record, since time.Time, service, from, to string, locate func(backend string) (service, region string)) (concurrent, perSecond int) {
	type change struct {
		at    time.Time
		delta int
	}
	var changes []change
	var starts []time.Time
	for _, r := range records {
		s, region := locate(r.Backend)
		if s != service || r.Region != from || region != to || r.Start.Before(since) {
			continue
		}
		changes = append(changes, change{r.Start, 1}, change{r.End, -1})
		starts = append(starts, r.Start)
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.delta, b.delta)) })
	running := 0
	for _, c := range changes {
		running += c.delta
		concurrent = max(concurrent, running)
	}
	slices.SortFunc(starts, time.Time.Compare)
	first := 0
	// starts[first] is the earliest start within the second that ends at t.
	for i, t := range starts {
		for t.Sub(starts[first]) >= time.Second {
			first++
		}
		perSecond = max(perSecond, i-first+1)
	}
	return concurrent, perSecond
}
