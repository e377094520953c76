// SPDX-License-Identifier: MIT

package state

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestNewSourceTellsWhatWasRemovedBeforeItsTime guards against rows that stay for ever at whoever
// learns from an instance that read the table first after they were removed.
func TestNewSourceReportsEarlierDeletions(t *testing.T) {
	now := time.Hour
	old, fresh := NewTable(), NewTable()
	old.Apply(Delta{Full: true, Version: 10, Rows: []Row{{Key: "a", Version: 5}, {Key: "b", Version: 6}}}, now)
	fresh.Apply(Delta{Full: true, Version: 20, Rows: []Row{{Key: "b", Version: 6}}}, now) // a went meanwhile
	old.Apply(fresh.Since(10, now), now)
	assert.Equal(t, len(old.Rows()), 1)
}

// TestSourceThatReadAgainTellsWhatCameAndWentMeanwhile guards against the same by an instance that
// read the table whole again after the history was gone.
func TestRereadSourceReportsShortLivedRows(t *testing.T) {
	now := time.Hour
	asker, source := NewTable(), NewTable()
	source.Apply(Delta{Full: true, Version: 10}, now)
	asker.Apply(Delta{Full: true, Version: 15, Rows: []Row{{Key: "a", Version: 12}}}, now)
	source.Apply(Delta{Full: true, Version: 20}, now)
	asker.Apply(source.Since(15, now), now)
	assert.Equal(t, len(asker.Rows()), 0)
	assert.Assert(t, !source.Since(10, now).Full, "who was no further than the source has no such rows")
}
