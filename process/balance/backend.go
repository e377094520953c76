// SPDX-License-Identifier: MIT

package balance

import (
	"time"

	"shalewick/conn"
)

// backend is what one process knows of one backend server, over all versions. It is
// guarded by the table's mutex.
type backend struct {
	policy           *Policy
	service          *service
	pool             *conn.Pool
	start            startKey
	notices          *noticeState // nil: it said nothing
	inFlight         int
	sending          int  // of those in flight: answered, but for the rest of a large answer
	softwareInFlight *int // at all backend servers of its version
	drained          bool
	cold             time.Duration // as declared
	coldUntil        time.Duration // when it stops being cold
	turns            turns         // of this instance until then
	// failures counts those in a row. Until suspended it gets nothing, and
	// then one request at a time until one is answered.
	failures       int
	share          share
	lostInARow     int  // answers in a row that were lost
	refusedInARow  int  // answers in a row that refused though slots were free
	probed         bool // a connection was opened since it was suspended
	probing        bool // one is being opened
	suspendedUntil time.Duration
	// reported is the last load report, as of reportedAt, when this
	// instance had ownAtReport requests there.
	reported    float64
	reportedAt  time.Duration
	ownAtReport int
	slowdown    slowdown // of its host
	answeredAt  time.Duration
	observed    observation   // the newest, by whatever instance
	work        time.Duration // usual time of an answer, without waiting
}

// failed notes a failure, and returns for how long the backend server gets nothing.
func (u *backend) recordFailure(now time.Duration) time.Duration {
	u.failures++
	u.observed = observation{at: now, load: loadUnreachable}
	pause := min(u.policy.MinSuspension<<min(u.failures-1, 5), u.policy.MaxSuspension)
	u.suspendedUntil = now + pause
	u.probed = false
	u.pool.CloseIdle() // they lead to a backend server that may be gone
	return pause
}

// usable reports whether a request may be sent.
func (u *backend) usable(now time.Duration) bool {
	if u.failures == 0 {
		return true
	}
	return now >= u.suspendedUntil && u.inFlight == 0 && u.probed
}
