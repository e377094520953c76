// SPDX-License-Identifier: MIT

package balance

import (
	"time"

	"shalewick/conn"
)

// backend is this process's state of one backend server. It outlives routing versions and is
// guarded by the table's mutex.
type backend struct {
	policy           *Policy
	service          *service
	pool             *conn.Pool
	start            startKey
	notices          *noticeState // nil: it sent none
	inFlight         int
	sending          int  // part of inFlight: processed, but a large response is still being transferred
	softwareInFlight *int // requests at all backend servers of the same software version
	drained          bool
	cold             time.Duration // as declared by the backend server
	coldUntil        time.Duration // when it counts as warm
	turns            turns         // when this instance may send to it while it is cold
	// failures counts consecutive failures. The backend server gets no request before
	// suspendedUntil, and then one at a time until one is answered.
	failures       int
	share          share
	lostInARow     int  // consecutive lost responses
	refusedInARow  int  // consecutive refusals although slots were free
	probed         bool // a connection was opened since it was suspended
	probing        bool // a connection is being opened
	suspendedUntil time.Duration
	// reported is the load of the last report, received at reportedAt, when this instance had
	// ownAtReport requests there.
	reported    float64
	reportedAt  time.Duration
	ownAtReport int
	slowdown    slowdown // of its host
	answeredAt  time.Duration
	observed    observation   // the newest, made by any instance
	work        time.Duration // typical processing time, without queueing
}

// recordFailure suspends the backend server after a failure and returns for how long.
func (u *backend) recordFailure(now time.Duration) time.Duration {
	u.failures++
	u.observed = observation{at: now, load: loadUnreachable}
	pause := min(u.policy.MinSuspension<<min(u.failures-1, 5), u.policy.MaxSuspension)
	u.suspendedUntil = now + pause
	u.probed = false
	u.pool.CloseIdle() // they may lead to a process that is gone
	return pause
}

// usable reports whether a request may be sent, as far as failures are concerned.
func (u *backend) usable(now time.Duration) bool {
	if u.failures == 0 {
		return true
	}
	return now >= u.suspendedUntil && u.inFlight == 0 && u.probed
}
