// SPDX-License-Identifier: MIT

package edge

import (
	"net/http"
	"sync/atomic"
	"time"

	"shalewick/process/cluster"
)

const (
	// spareLook is the pause between two looks at whether an instance is spare.
	spareLook = 500 * time.Millisecond
	// spareAfter is how long an instance must have had no reason to follow the backend servers
	// before it stops, so that it neither stops nor begins with each death.
	spareAfter = 20 * time.Second
	// spareStart is how long after its start it does so at once: what others there are is learned
	// step by step.
	spareStart = 30 * time.Second
	// leastFree is the number of free large instances of a region below which the small ones are
	// needed, and freeShare the part of the large ones that must be free.
	leastFree = 2 * enoughInHall
	freeShare = 0.5
)

// spare is whether an instance has no use for the backend servers: it is one of the small ones
// of a large fleet, callers are sent to large ones, and no caller came here. There each row of a
// backend server would go to ten times as many instances as use it. The zero value is ready.
type spare struct {
	is     atomic.Bool
	looked atomic.Int64 // when that was found out, by Edge.now; zero: never
	needed atomic.Int64 // until when it is needed; zero: it never was
}

// isSpare reports whether this instance does without the backend servers.
func (e *Edge) isSpare() bool {
	now := e.now()
	if looked := e.spare.looked.Load(); looked != 0 && now-time.Duration(looked) < spareLook {
		return e.spare.is.Load()
	}
	e.spare.looked.Store(int64(now))
	large := e.followsInstances.Load() || e.members.Count() > smallFleet
	if !large || e.rolling.wanted.Load() || servesCallers(e.members.Capacity()) {
		lasts := spareAfter
		if e.age() < spareStart {
			lasts = 0
		}
		e.need(now + lasts)
	}
	is := large && now > time.Duration(e.spare.needed.Load())
	if e.spare.is.Swap(is) != is {
		e.log.Info().Bool("spare", is).Msg("spare")
		go e.recompile()
	}
	return is
}

// servesCallers reports whether callers may be sent to an instance as its region stands.
func servesCallers(c cluster.Capacity) bool {
	return c.Self || c.Free < max(leastFree, int(freeShare*float64(c.Large)))
}

// need notes that this instance needs the backend servers until a moment.
func (e *Edge) need(until time.Duration) {
	e.spare.needed.Store(max(int64(until), e.spare.needed.Load()))
}

// wakeFor wakes a spare instance for a request. It is refused if nothing is known yet.
func (e *Edge) wakeFor(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.spare.is.Load() {
			e.need(e.now() + spareAfter)
			e.spare.looked.Store(0)
			e.isSpare()
		}
		next.ServeHTTP(w, r)
	})
}
