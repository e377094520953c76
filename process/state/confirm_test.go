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

// TestConfirmationBetweenTwoQuestionsIsHeardOf lets the store confirm one table of a relay
// right after another one, while whoever learned of the first gathers before it asks again:
// it must not wait for the next confirmation to hear of the second, or it is taken for stale
// and asks the store itself.
func TestConfirmationBetweenQueriesIsReported(t *testing.T) {
	const (
		period = 1800 * time.Millisecond // less than storeWait
		after  = minBatchDelay / 2
	)
	begun := time.Now()
	now := func() time.Duration { return time.Since(begun) + time.Hour }
	tables := func() map[string]*Table { return map[string]*Table{"a": NewTable(), "b": NewTable()} }
	relay := &Follower{Tables: tables(), Log: zerolog.Nop(), Now: now}
	quiet := &fakeSource{table: NewTable(), now: now}
	leaf := &Follower{Store: quiet, Peers: peerChain{relay}, Tables: tables(), Log: zerolog.Nop(), Now: now}
	confirm := func(name string) {
		relay.Tables[name].Apply(Delta{Rows: []Row{row("x", 1)}, Version: 1, Full: true}, now())
	}
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Go(func() { leaf.Run(ctx) })
	all.Go(func() {
		for ctx.Err() == nil {
			confirm("a")
			time.Sleep(after)
			confirm("b")
			time.Sleep(period - after)
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
	assert.Equal(t, quiet.count(), 0)
}
