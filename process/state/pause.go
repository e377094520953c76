// SPDX-License-Identifier: MIT

package state

import (
	"math/rand/v2"
	"time"
)

// retryPause returns the pause after so many failed questions in a row.
func retryPause(first time.Duration, failures int) time.Duration {
	pause := min(first<<min(failures-1, 4), retryMost)
	return pause/2 + rand.N(pause)
}

// sourcePause returns the pause after so many failed questions to other instances
// in a row. It is short until the tables are known: when all start at once some of
// those that are asked do not run yet, and the next ones may.
func (f *Follower) sourcePause(failures int) time.Duration {
	if f.hurries() {
		return firstPoll
	}
	return retryPause(retryLeast, failures)
}

// hurries reports whether tables are not known, and there is a chance that others
// tell them soon.
func (f *Follower) hurries() bool { return !f.known() && f.Now() < f.unknownUntil }

// pollPause returns the pause between two looks at what others may have changed.
func (f *Follower) pollPause() time.Duration {
	if f.hurries() {
		return firstPoll
	}
	return idlePoll
}

// gatherPause is how long changes gather before the next question. The zero value
// is ready.
type gatherPause struct {
	now     time.Duration
	changed time.Duration // when an answer brought a change last
}

// note takes up whether an answer that came at a moment brought a change.
func (g *gatherPause) note(changed bool, at time.Duration) {
	if !changed {
		return
	}
	if at-g.changed < 3*g.now {
		g.now = min(2*g.now, gatherMost)
	} else {
		g.now = gatherLeast
	}
	g.changed = at
}

// What large fleets save by.
const (
	// gatherPerRow and gatherPerInstance are how long changes gather before another instance is
	// asked again, for each row and each instance that there is, within the same bounds: in a large
	// fleet some row changes all the time, and each instance would ask each time.
	gatherPerRow      = 50 * time.Microsecond
	gatherPerInstance = 500 * time.Microsecond
	// manyRows and manyInstances are how many there must be for the further sources to stand by: they
	// are asked only while the first has not answered for standbyAfter, since each would tell all
	// changes again.
	manyRows      = 2000
	manyInstances = 200
	standbyAfter  = 1500 * time.Millisecond
)

// size returns the number of rows of all tables.
func (f *Follower) size() (n int) {
	for _, t := range f.Tables {
		n += t.Len()
	}
	return n
}

// peerGather returns how long changes gather before another instance is asked again.
func (f *Follower) peerGather() time.Duration {
	pause := max(time.Duration(f.size())*gatherPerRow, time.Duration(f.instances())*gatherPerInstance)
	return min(max(gatherLeast, pause), gatherMost)
}

func (f *Follower) instances() int {
	if f.Instances == nil {
		return 0
	}
	return f.Instances()
}

// standsBy reports whether the sources after the first are not asked.
func (f *Follower) standsBy() bool {
	answered := time.Duration(f.answered.Load())
	many := f.size() >= manyRows || f.instances() >= manyInstances
	return many && answered != 0 && f.Now()-answered < standbyAfter
}
