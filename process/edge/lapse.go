// SPDX-License-Identifier: MIT

package edge

import (
	"time"

	"shalewick/process/state"
)

const (
	// longestLapse is how long after the store's return the rows of backend servers
	// that lapsed while it was away are kept at most. Backend servers that live have
	// written theirs again by then.
	longestLapse = 2200 * time.Millisecond
	// lapseMargin is how long before a backend server that has left must get nothing
	// more a lapsed row is given up.
	lapseMargin = 400 * time.Millisecond
)

// lapses keeps the rows of backend servers that could not write while the store was
// away, and so lapsed, until they had time to write again. The zero value with
// keep set is ready for use. It is not safe for concurrent use.
type lapses struct {
	keep time.Duration // how long after the store's return

	seen  map[string]state.Row // the rows of the last call
	until time.Duration        // when the rows that are kept are given up
}

// keepLapsed returns how long lapsed rows are kept when a backend server that has left
// must get nothing after drainWithin.
func keepLapsed(drainWithin time.Duration) time.Duration {
	return max(0, min(longestLapse, drainWithin-lapseMargin))
}

// rows returns the rows that are there and those that are kept. Returned is when
// the store came back last, zero if it was never away. Again is when rows must
// be called once more, zero if nothing is kept.
func (l *lapses) rows(present []state.Row, returned, now time.Duration) (all []state.Row, again time.Duration) {
	all = present
	there := make(map[string]state.Row, len(present))
	for _, r := range present {
		there[r.Key] = r
	}
	l.until = returned + l.keep
	if returned != 0 && now < l.until {
		for key, r := range l.seen {
			if _, ok := there[key]; !ok {
				all = append(all, r)
				there[key] = r
				again = l.until
			}
		}
	}
	l.seen = there
	return all, again
}
