// SPDX-License-Identifier: MIT

package balance

import (
	"time"

	"github.com/rs/zerolog"
)

// Explanation says why no backend server was chosen: how many there are, and how many were
// excluded for each reason.
type Explanation struct {
	Backends     int
	Closed       int // leaving by its row, or drained
	Leaving      int // leaving by its own notice
	BackedOff    int // requested a backoff, or refuses although it is idle
	Limited      int // its rate limit has no free capacity
	OutsideHomes int // not in a home region of the route
	Suspended    int // failed lately
	Full         int // this instance's share of its connections is in use
	Tried        int // was sent the request already
	Cold         int // cold, and no turn is left
	// LinksDown is set if this instance reaches no backend server at all.
	LinksDown bool
	// Best is the backend server that would have answered first, Wait its estimated queueing time
	// and WaitLimit the longest wait that leaves time to answer within the objective. All are zero
	// if there was no such server.
	Best            string
	Wait, WaitLimit time.Duration

	lastResort int // number that may get requests that no other can accept
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
	if w.LinksDown {
		e.Bool("linksDown", true)
	}
	if w.Best != "" {
		e.Str("best", w.Best).Dur("wait", w.Wait).Dur("patience", w.WaitLimit)
	}
}

// countExcluded counts a backend server that was excluded because of its notices.
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

// allBlocked reports whether backoffs and rate limits are the only reasons why no backend server
// was chosen.
func (w *Explanation) allBlocked() bool {
	blocked := w.BackedOff + w.Limited
	return blocked > 0 && blocked == w.Backends-w.Closed-w.Leaving-w.OutsideHomes
}
