// SPDX-License-Identifier: MIT

package state

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestNewSourceReportsEarlierDeletions guards against rows that are never deleted at an instance that
// queries one whose first full read was after the deletion.
func TestNewSourceReportsEarlierDeletions(t *testing.T) {
	now := time.Hour
	stale, fresh := NewTable(), NewTable()
	stale.Apply(Delta{Full: true, Version: 10, Rows: []Row{{Key: "a", Version: 5}, {Key: "b", Version: 6}}}, now)
	fresh.Apply(Delta{Full: true, Version: 20, Rows: []Row{{Key: "b", Version: 6}}}, now) // a was deleted meanwhile
	stale.Apply(fresh.Since(10, now), now)
	assert.Equal(t, len(stale.Rows()), 1)
}

// TestRereadSourceReportsShortLivedRows guards against the same fault with a source that read the table
// in full again after the history was compacted.
func TestRereadSourceReportsShortLivedRows(t *testing.T) {
	now := time.Hour
	requester, source := NewTable(), NewTable()
	source.Apply(Delta{Full: true, Version: 10}, now)
	requester.Apply(Delta{Full: true, Version: 15, Rows: []Row{{Key: "a", Version: 12}}}, now)
	source.Apply(Delta{Full: true, Version: 20}, now)
	requester.Apply(source.Since(15, now), now)
	assert.Equal(t, len(requester.Rows()), 0)
	assert.Assert(t, !source.Since(10, now).Full, "a requester that was not ahead of the source has no such rows")
}
