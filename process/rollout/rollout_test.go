// SPDX-License-Identifier: MIT

package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/version"
)

// TestGoodTargetIsCompleted runs a rollout to a good target in fleets of several sizes.
func TestGoodTargetIsCompleted(t *testing.T) {
	for _, c := range []struct {
		size int
		rate float64
	}{{1, 50}, {12, 5}, {12, 50}, {12, 500}, {77, 500}} {
		f := newFleet(1, c.size, c.rate)
		f.run(minUptimeForSlack + time.Second)
		o := f.order("v2", time.Minute)
		f.run(70 * time.Second)
		t.Logf("%d instances, %g requests/s: %v at %s, %d of %d, %s", c.size, c.rate, f.store.record, o.endedAt-o.orderedAt, o.targetRequests, o.requests, f.phase())
		assert.Equal(t, len(f.violations), 0, "%v", f.violations)
		assert.Equal(t, f.phase(), Completed)
	}
}

// TestBadTargetIsReverted runs rollouts to targets that fail.
func TestBadTargetIsReverted(t *testing.T) {
	for _, failed := range []float64{0.05, 0.2, 1} {
		f := newFleet(1, 12, 200)
		f.behave = func(software string, _ int, _ time.Duration) behaviour {
			if software == "v2" {
				return behaviour{factor: 1, failedFraction: failed}
			}
			return behaviour{factor: 1}
		}
		f.run(minUptimeForSlack + time.Second)
		o := f.order("v2", time.Minute)
		f.run(70 * time.Second)
		t.Logf("%g: %v, %d requests, stopped after %s", failed, f.store.record, f.targetRequests, f.lastTarget-o.orderedAt)
		assert.Equal(t, len(f.violations), 0, "%v", f.violations)
		assert.Equal(t, f.phase(), Reverted)
	}
}

// TestLostRecordIsRestored guards against the loss of a record, when the store has lost it or has
// it under an order that was written again since.
func TestLostRecordIsRestored(t *testing.T) {
	for _, phase := range []Phase{Canary, Promote, Completed, Reverted} {
		for name, c := range map[string]struct {
			recordLost bool
			order      *Order
		}{
			"record lost":         {recordLost: true, order: &Order{ID: 1, Target: "v2", Within: time.Minute}},
			"order written again": {order: &Order{ID: 9, Epoch: 1, Target: "v2", Within: time.Minute}},
			"both":                {recordLost: true, order: &Order{ID: 9, Epoch: 1, Target: "v2", Within: time.Minute}},
			"order gone":          {recordLost: true},
		} {
			t.Run(string(phase)+", "+name, func(t *testing.T) {
				r, now := singleInstance(Owner{Name: "here"})
				s := serviceInPhase(phase)[0]
				s.Record.Within = version.Duration(time.Minute)
				r.Install([]Service{s})
				before := *s.Record
				s.RecordLost, s.Order, s.Revision = c.recordLost, c.order, 1<<50
				r.Install([]Service{s})
				got := r.Proposals(*now)
				assert.Equal(t, len(got), 1)
				want := before
				if c.order != nil {
					want.Order, want.Epoch = c.order.ID, c.order.Epoch
				}
				assert.DeepEqual(t, got[0].Record, want)
				assert.Equal(t, got[0].Revision, s.Revision)
			})
		}
	}
}

// TestOrderOfOlderEpochRestoresNothing guards against an owner that still has an order of the
// previous epoch and would write the record back under that order.
func TestOrderOfOlderEpochRestoresNothing(t *testing.T) {
	r, now := singleInstance(Owner{Name: "here"})
	s := serviceInPhase(Completed)[0]
	s.Record.Order, s.Record.Epoch, s.Record.Within = 9, 1, version.Duration(time.Minute)
	r.Install([]Service{s})
	assert.Equal(t, len(r.Proposals(*now)), 0)
}

// TestOrdersMatchAcrossEpochs guards against an order that is mistaken for an earlier one that has
// ended.
func TestOrdersMatchAcrossEpochs(t *testing.T) {
	record := &Record{Order: 5, Epoch: 1, Target: "v2", Within: version.Duration(time.Minute), Phase: Completed}
	assert.Assert(t, record.isFor(&Order{ID: 5, Epoch: 1, Target: "v2", Within: time.Minute}))
	assert.Assert(t, record.isFor(&Order{ID: 7, Epoch: 2, Target: "v2", Within: time.Minute}), "it was written again")
	assert.Assert(t, !record.isFor(&Order{ID: 5, Epoch: 2, Target: "v3", Within: time.Minute}), "the number was given out again")
	assert.Assert(t, !record.isFor(&Order{ID: 7, Epoch: 1, Target: "v2", Within: time.Minute}), "it was ordered again")
}
