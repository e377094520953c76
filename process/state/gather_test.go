// SPDX-License-Identifier: MIT

package state

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLargeFleetsQueryRarely checks how often an instance queries others while some row changes all the
// time, and that in a large fleet the second source is on standby as long as the first responds. In a
// small one both are queried concurrently.
func TestLargeFleetsQueryRarely(t *testing.T) {
	now := time.Hour
	for _, x := range []struct {
		instances, rows int
		gather          time.Duration
		standby         bool
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
		assert.Equal(t, f.onStandby(), false, "no source has responded yet")
		f.primaryRespondedAt.Store(int64(now - standbyAfter + 1))
		assert.Equal(t, f.onStandby(), x.standby, "%v", x)
		f.primaryRespondedAt.Store(int64(now - standbyAfter))
		assert.Equal(t, f.onStandby(), false, "%v", x)
	}
}
