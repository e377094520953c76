// SPDX-License-Identifier: MIT

package state

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// TestStartWaitsForPeersBeforeQueryingStore checks that an instance that gets the tables from others soon
// after its start does not call the store, and that one that gets them from no one else queries the store
// within a bounded time.
func TestStartWaitsForPeersBeforeQueryingStore(t *testing.T) {
	f, store, _ := startFollower(t)
	waitForVersion(t, f, 1, time.Second)
	assert.Equal(t, store.count(), 0)
	f, store, _ = startFollower(t, func(s *fakeSource) { s.unresponsive = true })
	waitForVersion(t, f, 1, maxStartWait+time.Second)
	assert.Assert(t, store.count() > 0)
}

// TestBatchDelayGrowsWithFrequentChanges checks the delay of a relay between its queries: short after an
// isolated change, longer with each change that follows closely, and short again after a pause.
func TestBatchDelayGrowsWithFrequentChanges(t *testing.T) {
	var g batchDelay
	now := time.Hour
	g.update(true, now)
	assert.Equal(t, g.current, minBatchDelay)
	calls := 0
	for now < time.Hour+3*time.Second {
		now += g.current + 10*time.Millisecond
		g.update(true, now)
		calls++
	}
	assert.Equal(t, g.current, maxBatchDelay)
	assert.Assert(t, calls <= 12, "%d calls in 3 s of changes", calls)
	now += time.Second
	g.update(false, now)
	now += time.Second
	g.update(true, now)
	assert.Equal(t, g.current, minBatchDelay)
}

// peerChain responds to a follower's queries from the tables of another follower.
type peerChain struct{ source *Follower }

func (c peerChain) Changes(ctx context.Context, i int, q Query) (map[string]Delta, bool, error) {
	if i > 0 {
		return nil, false, nil
	}
	return c.source.Respond(ctx, q), true, nil
}

func (c peerChain) Relay() bool          { return false }
func (c peerChain) Head() bool           { return false }
func (c peerChain) RecordStoreCall(bool) {}

// TestConfirmationsPropagateAlongTree lets a relay follow a store that is not written to, and a chain of
// three followers query one another: the last one must never become so stale that it queries the store
// itself.
func TestConfirmationsPropagateAlongTree(t *testing.T) {
	f, store, peers := startFollower(t)
	peers.set(func(s *fakeSource) { s.relay, s.noPeers = true, true })
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	defer all.Wait()
	defer cancel()
	unusedStore := &fakeSource{table: NewTable(), now: f.Now}
	for range 3 {
		next := &Follower{Store: unusedStore, Peers: peerChain{f}, Tables: map[string]*Table{"t": NewTable()}, Log: zerolog.Nop(), Now: f.Now}
		all.Go(func() { next.Run(ctx) })
		f = next
	}
	waitForVersion(t, f, 1, minStartWait)
	for range 80 {
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, f.Age() < maxStorePoll+relayResponseSlack, "%s", f.Age())
	}
	assert.Equal(t, unusedStore.count(), 0)
	assert.Assert(t, store.count() <= 10, "%d queries of the relay", store.count())
}

// failingPeers fails a number of queries before it responds.
type failingPeers struct {
	fakePeers
	left *atomic.Int32
}

func (r failingPeers) Changes(ctx context.Context, i int, q Query) (map[string]Delta, bool, error) {
	if r.left.Add(-1) >= 0 {
		return nil, true, fmt.Errorf("refused")
	}
	return r.fakePeers.Changes(ctx, i, q)
}

// TestStartSkipsPeersThatAreNotUpYet checks that an instance that starts soon knows the tables although
// its first queries to peers fail.
func TestStartSkipsPeersThatAreNotUpYet(t *testing.T) {
	f, _, peers := startFollower(t)
	left := new(atomic.Int32)
	left.Store(8)
	next := &Follower{Store: f.Store, Peers: failingPeers{fakePeers{peers}, left}, Tables: map[string]*Table{"t": NewTable()}, Log: zerolog.Nop(), Now: f.Now}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go next.Run(ctx)
	waitForVersion(t, next, 1, 400*time.Millisecond)
}

// TestHeadDoesNotWaitForUnresponsiveRelay checks that a head queries the store itself soon after its start
// if no other instance responds to it.
func TestHeadDoesNotWaitForUnresponsiveRelay(t *testing.T) {
	f, store, _ := startFollower(t, func(s *fakeSource) { s.unresponsive, s.head = true, true })
	waitForVersion(t, f, 1, 4*minHeadWait)
	assert.Assert(t, store.count() > 0)
}
