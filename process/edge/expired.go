// SPDX-License-Identifier: MIT

package edge

import (
	"cmp"
	"slices"
	"time"

	"shalewick/process/state"
)

const (
	// maxExpiredRowTime bounds how long expired rows of backend servers are kept after the store
	// has recovered from an outage. Live backend servers have written theirs again by then.
	maxExpiredRowTime = 2200 * time.Millisecond
	// expiredRowMargin is how long before the end of DrainWithin expired rows are dropped, so that
	// a backend server that has left gets no requests after that time.
	expiredRowMargin = 400 * time.Millisecond
)

// expiredRows keeps the rows of backend servers that expired during an outage of the store, in
// which they could not be renewed, until there was time to write them again. The zero value with
// keepFor set is ready for use. It is not safe for concurrent use.
type expiredRows struct {
	keepFor time.Duration // how long after the end of the outage

	lastRows []state.Row   // the rows of the last call, ordered by key
	until    time.Duration // when the rows that are kept are dropped
}

// keepExpired returns how long expired rows are kept, for a given Settings.DrainWithin.
func keepExpired(drainWithin time.Duration) time.Duration {
	return max(0, min(maxExpiredRowTime, drainWithin-expiredRowMargin))
}

// merge returns the present rows and those that are kept, ordered by key. Returned is when the
// store last recovered from an outage, zero if there was none. Again is when merge has to be called
// again, zero if no row is kept.
func (l *expiredRows) merge(present []state.Row, returned, now time.Duration) (all []state.Row, again time.Duration) {
	all = present
	l.until = returned + l.keepFor
	if returned != 0 && now < l.until {
		if expired := missingRows(l.lastRows, present); len(expired) > 0 {
			all = slices.Concat(present, expired)
			slices.SortFunc(all, func(a, b state.Row) int { return cmp.Compare(a.Key, b.Key) })
			again = l.until
		}
	}
	l.lastRows = all
	return all, again
}

// missingRows returns the rows whose keys are not in the other list. Both lists are ordered by key.
func missingRows(of, in []state.Row) (out []state.Row) {
	for _, r := range of {
		for len(in) > 0 && in[0].Key < r.Key {
			in = in[1:]
		}
		if len(in) == 0 || in[0].Key != r.Key {
			out = append(out, r)
		}
	}
	return out
}
