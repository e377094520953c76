// SPDX-License-Identifier: MIT

package state

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// TestExcludedTablesAreNotSent counts the rows that the instances of a fleet receive while backend servers
// are added and nine of ten instances exclude that table. Before exclusion each row was sent to all.
func TestExcludedTablesAreNotSent(t *testing.T) {
	const rows, oneIn = 50, 10
	for _, instances := range []int{100, 400} {
		now := time.Hour
		head := &Follower{Log: zerolog.Nop(), Now: func() time.Duration { return now }, Tables: map[string]*Table{"b": NewTable(), "o": NewTable()}}
		head.Tables["o"].Apply(Delta{Full: true, Version: 1, Rows: []Row{{Key: "x", Version: 1}}}, now)
		head.Tables["b"].Apply(Delta{Full: true, Version: 1}, now)
		for n := range rows {
			head.Tables["b"].Apply(Delta{Version: int64(n + 2), Rows: []Row{{Key: fmt.Sprint(n), Version: int64(n + 2)}}}, now)
		}
		received, complete := 0, 0
		for i := range instances {
			f := &Follower{Now: head.Now, Tables: map[string]*Table{"b": NewTable(), "o": NewTable()}}
			f.Excluded = func(table string) bool { return table == "b" && i%oneIn != 0 }
			for name, d := range head.Respond(context.Background(), f.query()) {
				f.Tables[name].Apply(d, now)
			}
			_, known := f.Tables["o"].Version()
			assert.Assert(t, known)
			received += f.Tables["b"].Len()
			if f.Tables["b"].Len() == rows {
				complete++
			}
		}
		assert.Equal(t, received, rows*instances/oneIn)
		assert.Equal(t, complete, instances/oneIn)
	}
}

// TestExcludedTableDoesNotEndPoll checks that changes of an excluded table do not end a held query.
func TestExcludedTableDoesNotEndPoll(t *testing.T) {
	now := time.Hour
	f := &Follower{Now: func() time.Duration { return now }, Tables: map[string]*Table{"b": NewTable(), "o": NewTable()}}
	for _, table := range f.Tables {
		table.Apply(Delta{Full: true, Version: 1}, now)
	}
	const wait = 50 * time.Millisecond
	started := time.Now()
	time.AfterFunc(wait/5, func() {
		f.Tables["b"].Apply(Delta{Version: 2, Rows: []Row{{Key: "x", Version: 2}}}, now)
	})
	out := f.Respond(context.Background(), Query{After: map[string]int64{"o": 1}, Excluded: []string{"b"}, Wait: wait})
	assert.Assert(t, time.Since(started) >= wait)
	_, sent := out["b"]
	assert.Assert(t, !sent)
}
