// SPDX-License-Identifier: MIT

package cluster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newWatched returns the members of an instance in the north that knows another one there and one in the
// south, both last seen at the time that now points to.
func newWatched(now *time.Duration) *Members {
	started := time.Now().Add(-time.Minute).UnixNano()
	m := NewMembers(member("b", "north", started), func() time.Duration { return *now })
	m.Merge(true, member("a", "north", started), member("c", "south", started))
	return m
}

// TestLeavingInstancesAreActiveUntilUnresponsive checks this for other instances and for the instance
// itself.
func TestLeavingInstancesAreActiveUntilUnresponsive(t *testing.T) {
	now := time.Hour
	m := newWatched(&now)
	leaving := member("a", "north", m.others["a"].Incarnation)
	leaving.Leaving = true
	m.Merge(true, leaving)
	m.SetLeaving()
	assert.DeepEqual(t, names(m.Live()), []string{"c"})
	assert.DeepEqual(t, names(m.Active()), []string{"a", "b", "c"})
	now += directTimeout + time.Millisecond
	assert.DeepEqual(t, names(m.Active()), []string{"b", "c"})
	m.RecordCall("c", false)
	assert.DeepEqual(t, names(m.Active()), []string{"b"})
}

// TestUnresponsiveListsLiveButUnseen checks the list, that a message proves its sender live, and that an
// instance with a failed call is no longer listed.
func TestUnresponsiveListsLiveButUnseen(t *testing.T) {
	now := time.Hour
	m := newWatched(&now)
	all := func(Member) bool { return true }
	assert.Equal(t, len(m.Unresponsive(time.Second, all)), 0)
	now += 1200 * time.Millisecond
	assert.DeepEqual(t, names(m.Unresponsive(time.Second, all)), []string{"a", "c"})
	assert.DeepEqual(t, names(m.Unresponsive(time.Second, func(m Member) bool { return m.Name == "c" })), []string{"c"})
	assert.Assert(t, m.markSeenAddress(m.others["c"].Peer))
	assert.Assert(t, !m.markSeenAddress("127.0.0.9:9"))
	assert.DeepEqual(t, names(m.Unresponsive(time.Second, all)), []string{"a"})
	m.RecordCall("a", false)
	assert.Equal(t, len(m.Unresponsive(time.Second, all)), 0)
}
