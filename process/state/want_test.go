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

// countingStore is a store that counts the queries of each table.
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

// subscriptionFixture is a relay of two tables, one of which is subscribed on demand, and a leaf that
// queries the relay.
type subscriptionFixture struct {
	store             *countingStore
	relay, leaf       *Follower
	subscribeOptional atomic.Bool // for both followers
	leafStore         *fakeSource // the store that the leaf would query
}

func (w *subscriptionFixture) subscribed(table string) bool {
	return table == "always" || w.subscribeOptional.Load()
}

func startSubscriptionFixture(t *testing.T) *subscriptionFixture {
	t.Helper()
	started := time.Now()
	now := func() time.Duration { return time.Since(started) + time.Hour }
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

// waitForTableVersion waits until a follower's table has a version.
func waitForTableVersion(t *testing.T, f *Follower, table string, version int64, within time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	f.Tables[table].AwaitVersion(ctx, version-1)
	got, _ := f.Tables[table].Version()
	assert.Assert(t, got >= version, "table %s is at version %d", table, got)
}

// TestUnsubscribedTableCausesNoStoreCalls checks that the store is not queried for a table without a
// subscription, also after a subscription ended, and that a follower without that table is neither stale
// nor starting up.
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
	time.Sleep(maxStorePoll + relayResponseSlack) // a query may still be held
	before := w.store.count("wanted")
	time.Sleep(staleAfter + time.Second)
	assert.Equal(t, w.store.count("wanted"), before)
	assert.Equal(t, w.leafStore.count(), 0)
	assert.Assert(t, !w.relay.Stale() && !w.leaf.Stale())
}

// TestSubscribedTableArrivesThroughTree checks that only the relay queries the store for a newly subscribed
// table, even if an outdated copy of it is there from an earlier subscription, and that its changes reach
// the others.
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

// TestSubscribedTableMissingAtPeersIsQueriedFromStore checks that an instance that gets a subscribed table
// from no peer queries the store itself within a bounded time.
func TestSubscribedTableMissingAtPeersIsQueriedFromStore(t *testing.T) {
	w := startSubscriptionFixture(t)
	waitForTableVersion(t, w.leaf, "always", 1, time.Second)
	w.store.tables["wanted"].set(func(s *fakeSource) { s.unresponsive = true })
	w.leafStore.table.Apply(Delta{Rows: []Row{row("a", 7)}, Version: 7, Full: true}, w.leaf.Now())
	w.subscribeOptional.Store(true)
	waitForTableVersion(t, w.leaf, "wanted", 7, subscribeGrace+time.Second)
}
