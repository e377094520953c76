// SPDX-License-Identifier: MIT

package state

import (
	"math/rand/v2"
	"time"
)

// retryDelay returns the delay after a number of consecutive failed queries.
func retryDelay(first time.Duration, failures int) time.Duration {
	delay := min(first<<min(failures-1, 4), maxRetryDelay)
	return delay/2 + rand.N(delay)
}

// peerRetryDelay returns the delay after a number of consecutive failed queries to other instances. It
// is short until the tables are known: when all start at once some of those queried are not up yet,
// and the next ones may be.
func (f *Follower) peerRetryDelay(failures int) time.Duration {
	if f.startingUp() {
		return startInterval
	}
	return retryDelay(minRetryDelay, failures)
}

// startingUp reports whether tables are unknown but may still arrive from others.
func (f *Follower) startingUp() bool { return !f.allKnown() && f.Now() < f.startWaitUntil }

// pollInterval returns the interval at which a follower checks whom to query.
func (f *Follower) pollInterval() time.Duration {
	if f.startingUp() {
		return startInterval
	}
	return idleInterval
}

// batchDelay computes how long changes accumulate before the next query. The zero value is ready to
// use.
type batchDelay struct {
	current    time.Duration
	lastChange time.Duration // when a response last contained a change
}

// update records whether the response received at a time contained a change.
func (g *batchDelay) update(changed bool, at time.Duration) {
	if !changed {
		return
	}
	if at-g.lastChange < 3*g.current {
		g.current = min(2*g.current, maxBatchDelay)
	} else {
		g.current = minBatchDelay
	}
	g.lastChange = at
}

// Savings in large fleets.
const (
	// batchDelayPerRow and batchDelayPerInstance are how long changes accumulate before another
	// instance is queried again, per row and per instance, within the same bounds: in a large fleet
	// some row changes all the time, and each change would cause a query of each instance.
	batchDelayPerRow      = 50 * time.Microsecond
	batchDelayPerInstance = 500 * time.Microsecond
	// standbyMinRows and standbyMinInstances are the sizes from which only the first source is
	// queried and the others are on standby until it has not responded for standbyAfter, since each
	// would send all changes again.
	standbyMinRows      = 2000
	standbyMinInstances = 200
	standbyAfter        = 1500 * time.Millisecond
)

// rowCount returns the number of rows of all tables.
func (f *Follower) rowCount() (n int) {
	for _, t := range f.Tables {
		n += t.Len()
	}
	return n
}

// peerBatchDelay returns how long changes accumulate before another instance is queried again.
func (f *Follower) peerBatchDelay() time.Duration {
	delay := max(time.Duration(f.rowCount())*batchDelayPerRow, time.Duration(f.instanceCount())*batchDelayPerInstance)
	return min(max(minBatchDelay, delay), maxBatchDelay)
}

func (f *Follower) instanceCount() int {
	if f.Instances == nil {
		return 0
	}
	return f.Instances()
}

// onStandby reports whether only the first source is queried.
func (f *Follower) onStandby() bool {
	answered := time.Duration(f.primaryRespondedAt.Load())
	many := f.rowCount() >= standbyMinRows || f.instanceCount() >= standbyMinInstances
	return many && answered != 0 && f.Now()-answered < standbyAfter
}
