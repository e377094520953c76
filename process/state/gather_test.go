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
func TestLargeFleetsAskSeldom(t *testing.T) {
	now := time.Hour
	for _, x := range []struct {
		instances, rows int
		gather          time.Duration
		standsBy        bool
	}{
		{12, 46, gatherLeast, false}, {89, 394, gatherLeast, false}, {300, 1000, 150 * time.Millisecond, true},
		{30, 9999, gatherMost, true}, {985, 500, gatherMost, true}, {3550, 36000, gatherMost, true},
	} {
		table := NewTable()
		var rows []Row
		for i := range x.rows {
			rows = append(rows, Row{Key: fmt.Sprint(i), Version: 1})
		}
		table.Apply(Delta{Rows: rows, Version: 1, Whole: true}, now)
		f := &Follower{Tables: map[string]*Table{"t": table}, Now: func() time.Duration { return now }, Instances: func() int { return x.instances }}
		assert.Equal(t, f.peerGather(), x.gather, "%v", x)
		assert.Equal(t, f.standsBy(), false, "nobody has answered yet")
		f.answered.Store(int64(now - standbyAfter + 1))
		assert.Equal(t, f.standsBy(), x.standsBy, "%v", x)
		f.answered.Store(int64(now - standbyAfter))
		assert.Equal(t, f.standsBy(), false, "%v", x)
	}
}
