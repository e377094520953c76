// SPDX-License-Identifier: MIT

package state

import (
	"math/rand/v2"
	"time"
)

// retryPause returns the pause after so many failed questions in a row.
func retryDelay(first time.Duration, failures int) time.Duration {
	pause := min(first<<min(failures-1, 4), maxRetryDelay)
	return pause/2 + rand.N(pause)
}

// sourcePause returns the pause after so many failed questions to other instances
// in a row. It is short until the tables are known: when all start at once some of
// those that are asked do not run yet, and the next ones may.
func (f *Follower) peerRetryDelay(failures int) time.Duration {
	if f.startingUp() {
		return startInterval
	}
	return retryDelay(minRetryDelay, failures)
}

// hurries reports whether tables are not known, and there is a chance that others
// tell them soon.
func (f *Follower) startingUp() bool { return !f.allKnown() && f.Now() < f.startWaitUntil }

// pollPause returns the pause between two looks at what others may have changed.
func (f *Follower) pollInterval() time.Duration {
	if f.startingUp() {
		return startInterval
	}
	return idleInterval
}

// gatherPause is how long changes gather before the next question. The zero value
// is ready.
type batchDelay struct {
	current    time.Duration
	lastChange time.Duration // when an answer brought a change last
}

// note takes up whether an answer that came at a moment brought a change.
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

// What large fleets save by.
const (
	// gatherPerRow and gatherPerInstance are how long changes gather before another instance is
	// asked again, for each row and each instance that there is, within the same bounds: in a large
	// fleet some row changes all the time, and each instance would ask each time.
	batchDelayPerRow      = 50 * time.Microsecond
	batchDelayPerInstance = 500 * time.Microsecond
	// manyRows and manyInstances are how many there must be for the further sources to stand by: they
	// are asked only while the first has not answered for standbyAfter, since each would tell all
	// changes again.
	standbyMinRows      = 2000
	standbyMinInstances = 200
	standbyAfter        = 1500 * time.Millisecond
)

// size returns the number of rows of all tables.
func (f *Follower) rowCount() (n int) {
	for _, t := range f.Tables {
		n += t.Len()
	}
	return n
}

// peerGather returns how long changes gather before another instance is asked again.
func (f *Follower) peerBatchDelay() time.Duration {
	pause := max(time.Duration(f.rowCount())*batchDelayPerRow, time.Duration(f.instanceCount())*batchDelayPerInstance)
	return min(max(minBatchDelay, pause), maxBatchDelay)
}

func (f *Follower) instanceCount() int {
	if f.Instances == nil {
		return 0
	}
	return f.Instances()
}

// standsBy reports whether the sources after the first are not asked.
func (f *Follower) onStandby() bool {
	answered := time.Duration(f.firstResponseAt.Load())
	many := f.rowCount() >= standbyMinRows || f.instanceCount() >= standbyMinInstances
	return many && answered != 0 && f.Now()-answered < standbyAfter
}
