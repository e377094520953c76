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
type countingStore struct {
	mu     sync.Mutex
	tables map[string]*fakeSource
	calls  map[string]int
}

func (b *countingStore) table(table string) *fakeSource {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls[table]++
	return b.tables[table]
}

func (b *countingStore) Read(ctx context.Context, table string) (Delta, error) {
	return b.table(table).respond(ctx, 0, 0)
}

func (b *countingStore) Changes(ctx context.Context, table string, after int64, wait time.Duration) (Delta, error) {
	return b.table(table).respond(ctx, after, wait)
}

func (b *countingStore) count(table string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.calls[table]
}

// wantedSite is a relay of two tables, one of which is followed on demand, and a
// follower that learns from it.
type subscriptionFixture struct {
	store             *countingStore
	relay, leaf       *Follower
	subscribeOptional atomic.Bool // by both
	leafStore         *fakeSource // the store as the leaf sees it
}

func (w *subscriptionFixture) subscribed(table string) bool {
	return table == "always" || w.subscribeOptional.Load()
}

func startSubscriptionFixture(t *testing.T) *subscriptionFixture {
	t.Helper()
	begun := time.Now()
	now := func() time.Duration { return time.Since(begun) + time.Hour }
	w := &subscriptionFixture{
		store:     &countingStore{tables: make(map[string]*fakeSource), calls: make(map[string]int)},
		leafStore: &fakeSource{table: NewTable(), now: now},
	}
	for _, name := range []string{"always", "wanted"} {
		w.store.tables[name] = &fakeSource{table: NewTable(), now: now}
		w.store.tables[name].table.Apply(Delta{Rows: []Row{row("a", 1)}, Version: 1, Full: true}, now())
	}
	tables := func() map[string]*Table {
		return map[string]*Table{"always": NewTable(), "wanted": NewTable()}
	}
	alone := &fakeSource{relay: true, noPeers: true}
	w.relay = &Follower{Store: w.store, Peers: fakePeers{alone}, Tables: tables(), Log: zerolog.Nop(), Now: now, Subscribed: w.subscribed}
	w.leaf = &Follower{Store: w.leafStore, Peers: peerChain{w.relay}, Tables: tables(), Log: zerolog.Nop(), Now: now, Subscribed: w.subscribed}
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
func waitForTableVersion(t *testing.T, f *Follower, table string, version int64, within time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	f.Tables[table].AwaitVersion(ctx, version-1)
	got, _ := f.Tables[table].Version()
	assert.Assert(t, got >= version, "table %s at version %d", table, got)
}

// TestTableThatIsNotWantedCostsNoCall checks that nobody asks the store for a table
// that is not wanted, also when it was and is no more, and that a follower is neither
// stale nor in a hurry for want of it.
func TestUnsubscribedTableCausesNoStoreCalls(t *testing.T) {
	w := startSubscriptionFixture(t)
	waitForTableVersion(t, w.leaf, "always", 1, time.Second)
	time.Sleep(maxStartWait + staleAfter)
	assert.Equal(t, w.store.count("wanted"), 0)
	assert.Equal(t, w.leafStore.count(), 0)
	for _, f := range []*Follower{w.relay, w.leaf} {
		assert.Assert(t, !f.Stale() && f.allKnown())
		assert.Assert(t, f.Age() < staleAfter, "%s", f.Age())
	}
	w.subscribeOptional.Store(true)
	waitForTableVersion(t, w.leaf, "wanted", 1, time.Second)
	w.subscribeOptional.Store(false)
	time.Sleep(maxStorePoll + relayResponseSlack) // a question that is held
	before := w.store.count("wanted")
	time.Sleep(staleAfter + time.Second)
	assert.Equal(t, w.store.count("wanted"), before)
	assert.Equal(t, w.leafStore.count(), 0)
	assert.Assert(t, !w.relay.Stale() && !w.leaf.Stale())
}

// TestWantedTableComesAlongTheTree checks that only the relay asks the store for a
// table that is wanted of a sudden, even if it was wanted before and is old by now,
// and that changes of it reach the others.
func TestSubscribedTableArrivesThroughTree(t *testing.T) {
	w := startSubscriptionFixture(t)
	waitForTableVersion(t, w.leaf, "always", 1, time.Second)
	for v := int64(2); v < 4; v++ {
		w.subscribeOptional.Store(true)
		waitForTableVersion(t, w.leaf, "wanted", v-1, time.Second)
		w.store.tables["wanted"].write(v)
		waitForTableVersion(t, w.leaf, "wanted", v, time.Second)
		assert.Assert(t, !w.leaf.Stale() && w.leaf.Age() < staleAfter)
		time.Sleep(subscribeGrace + staleAfter)
		assert.Assert(t, !w.leaf.Stale() && w.leaf.Age() < staleAfter)
		w.subscribeOptional.Store(false)
		time.Sleep(staleAfter)
	}
	assert.Assert(t, w.store.count("wanted") > 0)
	assert.Equal(t, w.leafStore.count(), 0)
}

// TestWantedTableThatNobodyTellsIsAskedFor checks that an instance that learns of no
// one what it wants asks the store itself in bounded time.
func TestSubscribedTableMissingAtPeersIsQueriedFromStore(t *testing.T) {
	w := startSubscriptionFixture(t)
	waitForTableVersion(t, w.leaf, "always", 1, time.Second)
	w.store.tables["wanted"].set(func(s *fakeSource) { s.unresponsive = true })
	w.leafStore.table.Apply(Delta{Rows: []Row{row("a", 7)}, Version: 7, Full: true}, w.leaf.Now())
	w.subscribeOptional.Store(true)
	waitForTableVersion(t, w.leaf, "wanted", 7, subscribeGrace+time.Second)
}
