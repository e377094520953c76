// SPDX-License-Identifier: MIT

package state

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// byTable is a store that counts the questions for each of its tables.
type byTable struct {
	mu     sync.Mutex
	tables map[string]*script
	asked  map[string]int
}

func (b *byTable) of(table string) *script {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asked[table]++
	return b.tables[table]
}

func (b *byTable) Read(ctx context.Context, table string) (Delta, error) {
	return b.of(table).answer(ctx, 0, 0)
}

func (b *byTable) Changes(ctx context.Context, table string, after int64, wait time.Duration) (Delta, error) {
	return b.of(table).answer(ctx, after, wait)
}

func (b *byTable) count(table string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.asked[table]
}

// wantedSite is a relay of two tables, one of which is followed on demand, and a
// follower that learns from it.
type wantedSite struct {
	store       *byTable
	relay, leaf *Follower
	wanted      atomic.Bool // by both
	leafAsks    *script     // the store as the leaf sees it
}

func (w *wantedSite) wants(table string) bool { return table == "always" || w.wanted.Load() }

func followWanted(t *testing.T) *wantedSite {
	t.Helper()
	begun := time.Now()
	now := func() time.Duration { return time.Since(begun) + time.Hour }
	w := &wantedSite{
		store:    &byTable{tables: make(map[string]*script), asked: make(map[string]int)},
		leafAsks: &script{table: NewTable(), now: now},
	}
	for _, name := range []string{"always", "wanted"} {
		w.store.tables[name] = &script{table: NewTable(), now: now}
		w.store.tables[name].table.Apply(Delta{Rows: []Row{row("a", 1)}, Version: 1, Whole: true}, now())
	}
	tables := func() map[string]*Table {
		return map[string]*Table{"always": NewTable(), "wanted": NewTable()}
	}
	alone := &script{relay: true, noPeers: true}
	w.relay = &Follower{Store: w.store, Peers: peerScript{alone}, Tables: tables(), Log: zerolog.Nop(), Now: now, Wanted: w.wants}
	w.leaf = &Follower{Store: w.leafAsks, Peers: chain{w.relay}, Tables: tables(), Log: zerolog.Nop(), Now: now, Wanted: w.wants}
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Go(func() { w.relay.Run(ctx) })
	all.Go(func() { w.leaf.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		all.Wait()
	})
	return w
}

// reachesTable waits until a follower's table has a version.
func reachesTable(t *testing.T, f *Follower, table string, version int64, within time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	f.Tables[table].Await(ctx, version-1)
	got, _ := f.Tables[table].Version()
	assert.Assert(t, got >= version, "table %s at version %d", table, got)
}

// TestTableThatIsNotWantedCostsNoCall checks that nobody asks the store for a table
// that is not wanted, also when it was and is no more, and that a follower is neither
// stale nor in a hurry for want of it.
func TestTableThatIsNotWantedCostsNoCall(t *testing.T) {
	w := followWanted(t)
	reachesTable(t, w.leaf, "always", 1, time.Second)
	time.Sleep(startMost + staleAfter)
	assert.Equal(t, w.store.count("wanted"), 0)
	assert.Equal(t, w.leafAsks.count(), 0)
	for _, f := range []*Follower{w.relay, w.leaf} {
		assert.Assert(t, !f.Stale() && f.known())
		assert.Assert(t, f.Age() < staleAfter, "%s", f.Age())
	}
	w.wanted.Store(true)
	reachesTable(t, w.leaf, "wanted", 1, time.Second)
	w.wanted.Store(false)
	time.Sleep(storeWait + relaySlack) // a question that is held
	before := w.store.count("wanted")
	time.Sleep(staleAfter + time.Second)
	assert.Equal(t, w.store.count("wanted"), before)
	assert.Equal(t, w.leafAsks.count(), 0)
	assert.Assert(t, !w.relay.Stale() && !w.leaf.Stale())
}

// TestWantedTableComesAlongTheTree checks that only the relay asks the store for a
// table that is wanted of a sudden, even if it was wanted before and is old by now,
// and that changes of it reach the others.
func TestWantedTableComesAlongTheTree(t *testing.T) {
	w := followWanted(t)
	reachesTable(t, w.leaf, "always", 1, time.Second)
	for v := int64(2); v < 4; v++ {
		w.wanted.Store(true)
		reachesTable(t, w.leaf, "wanted", v-1, time.Second)
		w.store.tables["wanted"].write(v)
		reachesTable(t, w.leaf, "wanted", v, time.Second)
		assert.Assert(t, !w.leaf.Stale() && w.leaf.Age() < staleAfter)
		time.Sleep(wantedGrace + staleAfter)
		assert.Assert(t, !w.leaf.Stale() && w.leaf.Age() < staleAfter)
		w.wanted.Store(false)
		time.Sleep(staleAfter)
	}
	assert.Assert(t, w.store.count("wanted") > 0)
	assert.Equal(t, w.leafAsks.count(), 0)
}

// TestWantedTableThatNobodyTellsIsAskedFor checks that an instance that learns of no
// one what it wants asks the store itself in bounded time.
func TestWantedTableThatNobodyTellsIsAskedFor(t *testing.T) {
	w := followWanted(t)
	reachesTable(t, w.leaf, "always", 1, time.Second)
	w.store.tables["wanted"].set(func(s *script) { s.silent = true })
	w.leafAsks.table.Apply(Delta{Rows: []Row{row("a", 7)}, Version: 7, Whole: true}, w.leaf.Now())
	w.wanted.Store(true)
	reachesTable(t, w.leaf, "wanted", 7, wantedGrace+time.Second)
}
