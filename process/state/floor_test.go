// SPDX-License-Identifier: MIT

package state

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestNewSourceTellsWhatWasRemovedBeforeItsTime guards against rows that stay for ever at whoever learns from an instance that
// read the table first after they were removed.
func TestNewSourceTellsWhatWasRemovedBeforeItsTime(t *testing.T) {
	now := time.Hour
	old, fresh := NewTable(), NewTable()
	old.Apply(Delta{Whole: true, Version: 10, Rows: []Row{{Key: "a", Version: 5}, {Key: "b", Version: 6}}}, now)
	fresh.Apply(Delta{Whole: true, Version: 20, Rows: []Row{{Key: "b", Version: 6}}}, now) // a went meanwhile
	old.Apply(fresh.Since(10, now), now)
	assert.Equal(t, len(old.Rows()), 1)
}
