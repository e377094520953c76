// SPDX-License-Identifier: MIT

package proof

import (
	"context"
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/load"
	"shalewick/process/member"
	"shalewick/process/slots"
	"shalewick/standin/fleet"
	standplatform "shalewick/standin/platform"
	"shalewick/version"
)

// outageLength is how long TestOutageWithDeaths keeps the platform down.
var outageLength = flag.Duration("outage", 12*time.Second, "length of the platform's outage")

// usableSlots returns the fraction of all backend server slots whose tokens an entry holds,
// free or in use.
func (c *cluster) usableSlots() float64 {
	st, err := c.op.Status(context.Background())
	if err != nil {
		return 0
	}
	var usable, size int32
	for i, e := range st.Entries {
		for _, p := range e.Pools {
			if len(p.Pool) < 9 || p.Pool[:9] != "upstream/" {
				continue
			}
			usable += p.Free + p.Busy
			if i == 0 {
				size += p.Size
			}
		}
	}
	return float64(usable) / float64(max(1, size))
}

// maxRecoveryTime returns the maximum time from the end of the platform's outage until all
// slots are usable: the heartbeats of the killed entries must expire, all entries must read
// the new split, and the fence time for the longest deadline must pass. Three polls of the
// platform lie between these steps.
func maxRecoveryTime() time.Duration {
	const pollInterval = 2500 * time.Millisecond
	uploads := version.Pool{Deadline: fleet.UploadDeadline}
	return member.HeartbeatTimeout + slots.FenceTime(&uploads) + 3*pollInterval
}

// TestOutageWithDeaths checks that while the platform is down and entries are killed and
// started, no token is granted twice and the remaining entries keep serving, and that the
// tokens of the killed entries get new owners once the platform is up again.
func TestOutageWithDeaths(t *testing.T) {
	c := newCluster(t, clusterOptions{size: fleet.Caroni(), entries: 12, work: 20 * time.Millisecond})
	mix := c.mix()[:2]
	o := load.Options{Clients: c.callers(), Rate: 300, Duration: *outageLength + maxRecoveryTime(), Mix: mix}
	rep, _ := c.runUnderLoad(o, func() {
		t.Logf("usable slots before: %.2f", c.usableSlots())
		c.platformFault(standplatform.Fault{Down: true})
		time.Sleep(*outageLength / 3)
		for _, i := range []int{3, 8} {
			c.entries[i].Kill()
			c.removeInstance(c.entries[i].name)
		}
		time.Sleep(*outageLength / 3)
		t.Logf("usable slots with the platform down and 2 of 12 entries killed: %.2f", c.usableSlots())
		c.waitEntryReady(c.startEntry("entry-new", 3))
		time.Sleep(*outageLength / 3)
		withNewEntry := c.usableSlots()
		t.Logf("usable slots with one new entry: %.2f", withNewEntry)
		assert.Check(t, withNewEntry > 0.7)
		c.platformFault(standplatform.Fault{})
		restored := time.Now()
		limit := maxRecoveryTime()
		for c.usableSlots() < 0.99 && time.Since(restored) < limit {
			time.Sleep(100 * time.Millisecond)
		}
		t.Logf("usable slots %v after the end of the outage: %.2f", time.Since(restored).Round(time.Millisecond), c.usableSlots())
		assert.Check(t, time.Since(restored) < limit)
	})
	assert.Equal(t, rep.Faults(), 0)
	assert.Assert(t, c.peakConcurrency() <= c.size.Slots)
	for _, l := range rep.Lines {
		assert.Assert(t, l.Answered > l.Sent*99/100, "%s: %v", l.Name, l.Refused)
	}
}
