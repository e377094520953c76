// SPDX-License-Identifier: MIT

package edge

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/process/state"
)

func keys(rows []state.Row) []string {
	var out []string
	for _, r := range rows {
		out = append(out, r.Key)
	}
	slices.Sort(out)
	return out
}

func rowsOf(keys ...string) []state.Row {
	var out []state.Row
	for _, k := range keys {
		out = append(out, state.Row{Key: k})
	}
	return out
}

// TestLapsedRowsAreKeptUntilTheyCouldBeWritten plays a store that comes back
// without the rows of backend servers that live.
func TestLapsedRowsAreKeptUntilTheyCouldBeWritten(t *testing.T) {
	const returned = 10 * time.Second
	l := lapses{keep: 1600 * time.Millisecond}
	_, again := l.rows(rowsOf("a", "b", "c"), 0, time.Second)
	assert.Equal(t, again, time.Duration(0))
	rows, again := l.rows(rowsOf("a"), returned, returned)
	assert.DeepEqual(t, keys(rows), []string{"a", "b", "c"})
	assert.Equal(t, again, returned+l.keep)
	rows, _ = l.rows(rowsOf("a", "b"), returned, returned+time.Second)
	assert.DeepEqual(t, keys(rows), []string{"a", "b", "c"})
	rows, again = l.rows(rowsOf("a", "b"), returned, returned+l.keep)
	assert.DeepEqual(t, keys(rows), []string{"a", "b"})
	assert.Equal(t, again, time.Duration(0))
}

// TestLeavingIsTakenUpAtOnce checks that rows which go while the store answers
// are not kept.
func TestLeavingIsTakenUpAtOnce(t *testing.T) {
	const returned = 10 * time.Second
	l := lapses{keep: 1600 * time.Millisecond}
	l.rows(rowsOf("a", "b"), returned, returned+3*time.Second)
	rows, again := l.rows(rowsOf("a"), returned, returned+4*time.Second)
	assert.DeepEqual(t, keys(rows), []string{"a"})
	assert.Equal(t, again, time.Duration(0))
}

func TestLapseEndsBeforeTheDrainBound(t *testing.T) {
	assert.Equal(t, keepLapsed(2*time.Second), 1600*time.Millisecond)
	assert.Equal(t, keepLapsed(time.Minute), longestLapse)
	assert.Equal(t, keepLapsed(100*time.Millisecond), time.Duration(0))
}
