// SPDX-License-Identifier: MIT

package rollout

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"shalewick/version"
)

// bothRunning are two versions, of which v1 is the older.
var bothRunning = []RunningVersion{{"v2", 3, 40}, {"v1", 3, 7}}

func recordOf(order int64, phase Phase) *Record {
	return &Record{Order: order, Target: "v2", Previous: "v1", Phase: phase}
}

func TestSelectVersions(t *testing.T) {
	order := &Order{ID: 9, Target: "v2"}
	only := func(software string) version.Software { return version.Software{InForce: software} }
	for _, c := range []struct {
		name    string
		order   *Order
		record  *Record
		running []RunningVersion
		current string
		want    version.Software
	}{
		{"no order, at start", nil, nil, bothRunning, "", only("v1")},
		{"no order, unchanged", nil, nil, bothRunning, "v2", only("v2")},
		{"no order, the current version is gone", nil, nil, bothRunning, "v0", only("v1")},
		{"no order, nothing runs", nil, nil, nil, "", only("")},
		{"no order, completed", nil, recordOf(9, Completed), bothRunning, "v1", only("v2")},
		{"no order, reverted", nil, recordOf(9, Reverted), bothRunning, "v2", only("v1")},
		{"withdrawn while it runs", nil, recordOf(9, Canary), bothRunning, "v1", only("v1")},
		{"withdrawn, previous version is gone", nil, recordOf(9, Promote), bothRunning[:1], "v1", only("v1")},
		{"order without a record", order, nil, bothRunning, "v1", only("v1")},
		{"order without a record, at start", order, nil, bothRunning, "", only("v1")},
		{"order without a record, its target was taken for the oldest", order, nil, bothRunning, "v2", only("v1")},
		{"order for the version in force, another on standby", &Order{ID: 9, Target: "v1"}, nil, bothRunning, "v1", only("v1")},
		{"order without a record, only its target runs", order, nil, bothRunning[:1], "v1", only("v2")},
		{"order without a record, only its target runs, at start", order, nil, bothRunning[:1], "", only("v2")},
		{"order, earlier one completed", order, &Record{Order: 8, Target: "v1", Previous: "v0", Phase: Completed}, bothRunning, "", only("v1")},
		{"order, earlier one reverted", order, recordOf(8, Reverted), bothRunning, "", only("v1")},
		{"ordered again while it runs", order, recordOf(8, Promote), bothRunning, "v1", only("v1")},
		{"canary", order, recordOf(9, Canary), bothRunning, "v1", version.Software{InForce: "v1", Target: "v2"}},
		{"canary, at start", order, recordOf(9, Canary), bothRunning, "", version.Software{InForce: "v1", Target: "v2"}},
		{"promotion", order, recordOf(9, Promote), bothRunning, "v1", version.Software{InForce: "v1", Target: "v2"}},
		{"completed", order, recordOf(9, Completed), bothRunning, "v1", only("v2")},
		{"reverted", order, recordOf(9, Reverted), bothRunning, "v1", only("v1")},
		{"promotion, previous version is gone", order, recordOf(9, Promote), bothRunning[:1], "v1", only("v2")},
		{"canary, nothing runs", order, recordOf(9, Canary), nil, "v1", version.Software{InForce: "v1", Target: "v2"}},
		{"reverted, previous version is gone", order, recordOf(9, Reverted), bothRunning[:1], "v1", only("v1")},
		{"completed, the target is gone", order, recordOf(9, Completed), bothRunning[1:], "v2", only("v2")},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, SelectVersions(c.order, c.record, c.running, c.current), c.want)
		})
	}
}

// TestOnlyOrderedVersionsAreSelected draws sequences of what an instance may know, and checks that
// a standby version that no order names is never selected. It skips one ambiguous case: an
// instance that starts after an order for the version in force, but before the order's record is
// written. The instance then takes the other version to be in force, since an order is usually for
// a version that is not in force yet.
func TestOnlyOrderedVersionsAreSelected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := []string{"v1", "v2", "v3"}
		standby := RunningVersion{Software: "standby", Backends: 4, Oldest: 500}
		current := ""
		inForce := "v1" // initially
		allowed := []string{inForce}
		running := []RunningVersion{{"v1", 2, 1}, standby}
		var record *Record
		var order *Order
		for i := range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				order = &Order{ID: int64(i + 1), Target: rapid.SampledFrom(versions).Draw(t, "target")}
				allowed = append(allowed, order.Target)
			case 1:
				order = nil
			case 2: // the owner adopts the order
				if order != nil && (record == nil || record.Order != order.ID) {
					if record != nil {
						inForce = record.InForce()
					}
					record = &Record{Order: order.ID, Target: order.Target, Previous: inForce, Phase: Canary}
				}
			case 3:
				if record != nil && !record.Phase.Ended() {
					next := *record
					next.Phase = rapid.SampledFrom([]Phase{Promote, Completed, Reverted}).Draw(t, "phase")
					record = &next
				}
			case 4: // backend servers of the version in force always stay, others come and go
				running = []RunningVersion{standby}
				now := inForce
				if record != nil {
					now = record.InForce()
				}
				for j, v := range versions {
					if v == now || rapid.Bool().Draw(t, "exists") {
						running = append(running, RunningVersion{v, 2, int64(j + 1)})
					}
				}
			case 5: // the instance restarts
				current = ""
			}
			if current == "" && record == nil && order != nil && order.Target == inForce {
				continue
			}
			got := SelectVersions(order, record, running, current)
			assert.Assert(t, slices.Contains(allowed, got.InForce), "%+v of %v", got, allowed)
			assert.Assert(t, got.Target == "" || slices.Contains(allowed, got.Target), "%+v of %v", got, allowed)
			current = got.InForce
		}
	})
}
