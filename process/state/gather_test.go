// SPDX-License-Identifier: MIT

package state

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLargeFleetsAskSeldom checks how often an instance asks others while some row changes all the
// time, and that the second source stands by in a large fleet as long as the first answers. In a
// small one both are asked at once, as before.
func TestLargeFleetsQueryRarely(t *testing.T) {
	now := time.Hour
	for _, x := range []struct {
		instances, rows int
		gather          time.Duration
		standsBy        bool
	}{
		{12, 46, minBatchDelay, false}, {89, 394, minBatchDelay, false}, {300, 1000, 150 * time.Millisecond, true},
		{30, 9999, maxBatchDelay, true}, {985, 500, maxBatchDelay, true}, {3550, 36000, maxBatchDelay, true},
	} {
		table := NewTable()
		var rows []Row
		for i := range x.rows {
			rows = append(rows, Row{Key: fmt.Sprint(i), Version: 1})
		}
		table.Apply(Delta{Rows: rows, Version: 1, Full: true}, now)
		f := &Follower{Tables: map[string]*Table{"t": table}, Now: func() time.Duration { return now }, Instances: func() int { return x.instances }}
		assert.Equal(t, f.peerBatchDelay(), x.gather, "%v", x)
		assert.Equal(t, f.onStandby(), false, "nobody has answered yet")
		f.firstResponseAt.Store(int64(now - standbyAfter + 1))
		assert.Equal(t, f.onStandby(), x.standsBy, "%v", x)
		f.firstResponseAt.Store(int64(now - standbyAfter))
		assert.Equal(t, f.onStandby(), false, "%v", x)
	}
}
