// SPDX-License-Identifier: MIT

package cluster

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// maxAnnouncementBytes bounds the size of an announcement.
const maxAnnouncementBytes = 140

// TestAnnouncementSize checks the size of the announcements when all instances start together, and an
// instance has just learned of several others that started, too.
func TestAnnouncementSize(t *testing.T) {
	now := time.Hour
	typical := func(i int) Member {
		return Member{
			Name: fmt.Sprintf("edge-north-a-%d", i), Incarnation: 1_770_000_000_000_000_000 + int64(i), Hall: "north-a", Region: "north",
			Front: fmt.Sprintf("10.1.0.%d:8548", i), Peer: fmt.Sprintf("10.1.0.%d:7540", i), Link: 200, Cores: 0.16,
		}
	}
	m := NewMembers(typical(100), func() time.Duration { return now })
	for i := range 10 {
		m.Merge(true, typical(101+i))
	}
	text, err := marshal(m.announcement())
	assert.NilError(t, err)
	withNewInstances, err := marshal(m.gossip(false))
	assert.NilError(t, err)
	t.Logf("%d bytes, with new instances %d", len(text), len(withNewInstances))
	assert.Assert(t, len(text) <= maxAnnouncementBytes, "%d bytes", len(text))
}
