// SPDX-License-Identifier: MIT

package proof

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/load"
	"shalewick/standin/fleet"
)

const (
	// Each entry is suspended for starvedPause and then runs for starvedRun, in turn, as a
	// process does that gets a quarter of a processor.
	starvedPause = 75 * time.Millisecond
	starvedRun   = 25 * time.Millisecond
)

// starve suspends and resumes all entries in turn for a duration.
func (c *cluster) starve(duration time.Duration) {
	end := time.Now().Add(duration)
	var entries sync.WaitGroup
	for _, e := range c.entries {
		entries.Go(func() {
			for time.Now().Before(end) {
				e.Suspend()
				time.Sleep(starvedPause)
				e.Resume()
				time.Sleep(starvedRun)
			}
		})
	}
	entries.Wait()
}

// TestStarvedEntriesKeepServing guards against a collapse when entries get too little processor
// time: most requests would be answered too late, or not at all. At half of the capacity of the
// backend servers, most are answered, and only few callers get no response of any entry.
func TestStarvedEntriesKeepServing(t *testing.T) {
	c := newCluster(t, clusterOptions{size: fleet.Caroni(), entries: 12, work: 40 * time.Millisecond})
	o := load.Options{Clients: c.callers(), Rate: 1000, Duration: 10 * time.Second, Mix: c.readMix()}
	o.Mix[0].Timeout = 3 * time.Second
	rep, _ := c.runUnderLoad(o, func() {
		time.Sleep(2 * time.Second)
		c.starve(6 * time.Second)
	})
	assert.Equal(t, rep.Faults(), 0)
	l := rep.Lines[0]
	assert.Assert(t, l.Answered > l.Sent*2/3, "%d of %d answered", l.Answered, l.Sent)
	assert.Assert(t, l.TimedOut < l.Sent/20, "%d of %d got no response", l.TimedOut, l.Sent)
	assert.Assert(t, c.peakConcurrency() <= c.size.Slots)
}
