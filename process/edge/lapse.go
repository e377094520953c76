// SPDX-License-Identifier: MIT

package edge

import (
	"cmp"
	"slices"
	"time"

	"shalewick/process/state"
)

const (
	// longestLapse is how long after the store's return the rows of backend servers
	// that lapsed while it was away are kept at most. Backend servers that live have
	// written theirs again by then.
	maxExpiredRowTime = 2200 * time.Millisecond
	// lapseMargin is how long before a backend server that has left must get nothing
	// more a lapsed row is given up.
	expiredRowMargin = 400 * time.Millisecond
)

// lapses keeps the rows of backend servers that could not write while the store was
// away, and so lapsed, until they had time to write again. The zero value with
// keep set is ready for use. It is not safe for concurrent use.
type expiredRows struct {
	keepFor time.Duration // how long after the store's return

	lastRows []state.Row   // the rows of the last call, by key
	until    time.Duration // when the rows that are kept are given up
}

// keepLapsed returns how long lapsed rows are kept when a backend server that has left
// must get nothing after drainWithin.
func keepExpired(drainWithin time.Duration) time.Duration {
	return max(0, min(maxExpiredRowTime, drainWithin-expiredRowMargin))
}

// rows returns the rows that are there and those that are kept, all by key. Returned is when
// the store came back last, zero if it was never away. Again is when rows must
// be called once more, zero if nothing is kept.
func (l *expiredRows) merge(present []state.Row, returned, now time.Duration) (all []state.Row, again time.Duration) {
	all = present
	l.until = returned + l.keepFor
	if returned != 0 && now < l.until {
		if lapsed := missingRows(l.lastRows, present); len(lapsed) > 0 {
			all = slices.Concat(present, lapsed)
			slices.SortFunc(all, func(a, b state.Row) int { return cmp.Compare(a.Key, b.Key) })
			again = l.until
		}
	}
	l.lastRows = all
	return all, again
}

// missing returns the rows of one list whose keys another one does not have. Both are ordered
// by key.
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
