// SPDX-License-Identifier: MIT

package edge

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/process/state"
)

func rowKeys(rows []state.Row) []string {
	var out []string
	for _, r := range rows {
		out = append(out, r.Key)
	}
	slices.Sort(out)
	return out
}

func rowsWithKeys(keys ...string) []state.Row {
	var out []state.Row
	for _, k := range keys {
		out = append(out, state.Row{Key: k})
	}
	return out
}

// TestExpiredRowsKeptAfterStoreReturns simulates a store that recovers without the rows of live
// backend servers.
func TestExpiredRowsKeptAfterStoreReturns(t *testing.T) {
	const returned = 10 * time.Second
	l := expiredRows{keepFor: 1600 * time.Millisecond}
	_, again := l.merge(rowsWithKeys("a", "b", "c"), 0, time.Second)
	assert.Equal(t, again, time.Duration(0))
	rows, again := l.merge(rowsWithKeys("a"), returned, returned)
	assert.DeepEqual(t, rowKeys(rows), []string{"a", "b", "c"})
	assert.Equal(t, again, returned+l.keepFor)
	rows, _ = l.merge(rowsWithKeys("a", "b"), returned, returned+time.Second)
	assert.DeepEqual(t, rowKeys(rows), []string{"a", "b", "c"})
	rows, again = l.merge(rowsWithKeys("a", "b"), returned, returned+l.keepFor)
	assert.DeepEqual(t, rowKeys(rows), []string{"a", "b"})
	assert.Equal(t, again, time.Duration(0))
}

// TestDeletedRowsNotKept checks that rows that are deleted while the store responds are not kept.
func TestDeletedRowsNotKept(t *testing.T) {
	const returned = 10 * time.Second
	l := expiredRows{keepFor: 1600 * time.Millisecond}
	l.merge(rowsWithKeys("a", "b"), returned, returned+3*time.Second)
	rows, again := l.merge(rowsWithKeys("a"), returned, returned+4*time.Second)
	assert.DeepEqual(t, rowKeys(rows), []string{"a"})
	assert.Equal(t, again, time.Duration(0))
}

func TestKeepExpiredBelowDrainWithin(t *testing.T) {
	assert.Equal(t, keepExpired(2*time.Second), 1600*time.Millisecond)
	assert.Equal(t, keepExpired(time.Minute), maxExpiredRowTime)
	assert.Equal(t, keepExpired(100*time.Millisecond), time.Duration(0))
}
