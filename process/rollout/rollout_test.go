// SPDX-License-Identifier: MIT

package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestGoodTargetIsCompleted moves fleets of several sizes to a good target.
func TestGoodTargetIsCompleted(t *testing.T) {
	for _, c := range []struct {
		size int
		rate float64
	}{{1, 50}, {12, 5}, {12, 50}, {12, 500}, {77, 500}} {
		f := newFleet(1, c.size, c.rate)
		f.run(settledTime + time.Second)
		o := f.order("v2", time.Minute)
		f.run(70 * time.Second)
		t.Logf("%d instances, %g requests/s: %v at %s, %d of %d, %s", c.size, c.rate, f.store.record, o.ended-o.at, o.target, o.all, f.phase())
		assert.Equal(t, len(f.faults), 0, "%v", f.faults)
		assert.Equal(t, f.phase(), Completed)
	}
}

// TestBadTargetIsReverted has targets that fail.
func TestBadTargetIsReverted(t *testing.T) {
	for _, part := range []float64{0.05, 0.2, 1} {
		f := newFleet(1, 12, 200)
		f.perform = func(software string, _ int, _ time.Duration) behaviour {
			if software == "v2" {
				return behaviour{factor: 1, failed: part}
			}
			return behaviour{factor: 1}
		}
		f.run(settledTime + time.Second)
		o := f.order("v2", time.Minute)
		f.run(70 * time.Second)
		t.Logf("%g: %v, %d requests, stopped after %s", part, f.store.record, f.targetAll, f.lastTarget-o.at)
		assert.Equal(t, len(f.faults), 0, "%v", f.faults)
		assert.Equal(t, f.phase(), Reverted)
	}
}
