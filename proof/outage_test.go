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

// outage is the length of the platform's outage in TestOutageWithDeaths.
var outageLength = flag.Duration("outage", 12*time.Second, "length of the platform's outage")

// usable returns the share of all backend server slots that some entry holds or uses.
func (c *cluster) usableSlots() float64 {
	st, err := c.op.Status(context.Background())
	if err != nil {
		return 0
	}
	var has, size int32
	for i, e := range st.Entries {
		for _, p := range e.Pools {
			if len(p.Pool) < 9 || p.Pool[:9] != "upstream/" {
				continue
			}
			has += p.Free + p.Busy
			if i == 0 {
				size += p.Size
			}
		}
	}
	return float64(has) / float64(max(1, size))
}

// recovery bounds the time from the platform's return until all slots are
// usable: the beats of the dead must stand still, the split must be read by
// all, and the fence of the longest deadline must pass. Three polls lie between.
func maxRecoveryTime() time.Duration {
	const poll = 2500 * time.Millisecond
	uploads := version.Pool{Deadline: fleet.UploadDeadline}
	return member.HeartbeatTimeout + slots.FenceTime(&uploads) + 3*poll
}

// TestOutageWithDeaths: the platform is down while entries die and join.
// Nothing is granted twice, the entries left go on serving, and the tokens of
// the dead are split anew once the platform is back.
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
		t.Logf("usable slots with the platform down and 2 of 12 dead: %.2f", c.usableSlots())
		c.waitEntryReady(c.startEntry("entry-new", 3))
		time.Sleep(*outageLength / 3)
		low := c.usableSlots()
		t.Logf("usable slots with one joined: %.2f", low)
		assert.Check(t, low > 0.7)
		c.platformFault(standplatform.Fault{})
		back := time.Now()
		limit := maxRecoveryTime()
		for c.usableSlots() < 0.99 && time.Since(back) < limit {
			time.Sleep(100 * time.Millisecond)
		}
		t.Logf("usable slots %v after the platform is back: %.2f", time.Since(back).Round(time.Millisecond), c.usableSlots())
		assert.Check(t, time.Since(back) < limit)
	})
	assert.Equal(t, rep.Faults(), 0)
	assert.Assert(t, c.peakConcurrency() <= c.size.Slots)
	for _, l := range rep.Lines {
		assert.Assert(t, l.Answered > l.Sent*99/100, "%s: %v", l.Name, l.Refused)
	}
}
