// SPDX-License-Identifier: MIT

package state

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// TestConfirmationBetweenQueriesIsReported lets the store confirm one table of a relay right after
// another, while the instance that learned of the first delays its next query to batch changes. It must
// not wait for the next confirmation to learn of the second: its table would look stale, and it would
// query the store itself.
func TestConfirmationBetweenQueriesIsReported(t *testing.T) {
	const (
		period = 1800 * time.Millisecond // less than maxStorePoll
		offset = minBatchDelay / 2
	)
	started := time.Now()
	now := func() time.Duration { return time.Since(started) + time.Hour }
	tables := func() map[string]*Table { return map[string]*Table{"a": NewTable(), "b": NewTable()} }
	relay := &Follower{Tables: tables(), Log: zerolog.Nop(), Now: now}
	unusedStore := &fakeSource{table: NewTable(), now: now}
	leaf := &Follower{Store: unusedStore, Peers: peerChain{relay}, Tables: tables(), Log: zerolog.Nop(), Now: now}
	confirm := func(name string) {
		relay.Tables[name].Apply(Delta{Rows: []Row{row("x", 1)}, Version: 1, Full: true}, now())
	}
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Go(func() { leaf.Run(ctx) })
	all.Go(func() {
		for ctx.Err() == nil {
			confirm("a")
			time.Sleep(offset)
			confirm("b")
			time.Sleep(period - offset)
		}
	})
	defer all.Wait()
	defer cancel()
	waitForTableVersion(t, leaf, "a", 1, minStartWait)
	waitForTableVersion(t, leaf, "b", 1, minStartWait)
	oldest := time.Duration(0)
	for range 900 {
		time.Sleep(10 * time.Millisecond)
		oldest = max(oldest, leaf.Age())
	}
	t.Logf("the oldest confirmation was %s old", oldest)
	assert.Assert(t, oldest < period+400*time.Millisecond, "%s", oldest)
	assert.Equal(t, unusedStore.count(), 0)
}
