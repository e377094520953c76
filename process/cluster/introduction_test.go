// SPDX-License-Identifier: MIT

package cluster

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// mostIntroduction bounds what an instance tells each other one of itself, in bytes.
const maxAnnouncementBytes = 140

// TestIntroductionIsSmall checks the size of what each instance tells each other one
// when all start, while it has just heard of several others that started too.
func TestAnnouncementSize(t *testing.T) {
	now := time.Hour
	usual := func(i int) Member {
		return Member{
			Name: fmt.Sprintf("edge-north-a-%d", i), Incarnation: 1_770_000_000_000_000_000 + int64(i), Hall: "north-a", Region: "north",
			Front: fmt.Sprintf("10.1.0.%d:8548", i), Peer: fmt.Sprintf("10.1.0.%d:7540", i), Link: 200, Cores: 0.16,
		}
	}
	m := NewMembers(usual(100), func() time.Duration { return now })
	for i := range 10 {
		m.Merge(true, usual(101+i))
	}
	text, err := marshal(m.announcement())
	assert.NilError(t, err)
	withRumours, err := marshal(m.gossip(false))
	assert.NilError(t, err)
	t.Logf("%d bytes, with rumours %d", len(text), len(withRumours))
	assert.Assert(t, len(text) <= maxAnnouncementBytes, "%d bytes", len(text))
}
