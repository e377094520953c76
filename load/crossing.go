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
	return concurrent, MaxWithin(starts, time.Second)
}

// MaxWithin returns the largest number of ascending times that lie within one window.
func MaxWithin(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	// times[first] is the earliest time within the window that ends at t.
	for i, t := range times {
		for t.Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
