// SPDX-License-Identifier: MIT

package balance

import (
	"time"

	"github.com/rs/zerolog"
)

// Why is what a choice saw when it found no backend server: how many there are, and
// how many of them could not be taken for each reason.
type Explanation struct {
	Backends     int
	Closed       int // leaving by its row, or in a drained place
	Leaving      int // leaving by its own answers
	BackedOff    int // asked for a backoff, or refuses though it is idle
	Limited      int // has no room within the rate limit that it names
	OutsideHomes int // in a region that is no home of the route
	Suspended    int // failed lately
	Full         int // this instance's share of its connections is in use
	Tried        int // had the request already
	Cold         int // cold, and no turn is left
	// Best is the backend server that would have answered first, Wait the time until
	// it would have begun, and Patience the longest wait that leaves time to
	// answer within the objective. All are zero unless there was one.
	Best            string
	Wait, WaitLimit time.Duration

	lastResort int // that may get what no other can take
}

// MarshalZerologObject adds the fields that are not zero to a log line.
func (w Explanation) MarshalZerologObject(e *zerolog.Event) {
	for _, x := range []struct {
		name  string
		count int
	}{
		{"backends", w.Backends}, {"closed", w.Closed}, {"leaving", w.Leaving}, {"backedOff", w.BackedOff}, {"limited", w.Limited}, {"foreign", w.OutsideHomes}, {"suspended", w.Suspended},
		{"full", w.Full}, {"tried", w.Tried}, {"cold", w.Cold},
	} {
		if x.count > 0 {
			e.Int(x.name, x.count)
		}
	}
	if w.Best != "" {
		e.Str("best", w.Best).Dur("wait", w.Wait).Dur("patience", w.WaitLimit)
	}
}

// leftOut counts a backend server that was left out for its notices.
func (w *Explanation) countExcluded(u *backend, s eligibility, now time.Duration) {
	if s == eligible {
		return
	}
	if u.notices.leaving.eligibility(now, 0) == eligible {
		w.BackedOff++
	} else {
		w.Leaving++
	}
	if s == lastResort {
		w.lastResort++
	}
}

// allHeldBack reports whether nothing but backoffs and rate limits kept backend servers from being
// taken.
func (w *Explanation) allBlocked() bool {
	held := w.BackedOff + w.Limited
	return held > 0 && held == w.Backends-w.Closed-w.Leaving-w.OutsideHomes
}
