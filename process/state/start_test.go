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

// TestStartWaitsForOthersBeforeItAsksTheStore checks that an instance that others
// tell the tables soon after its start makes no call of the store, and that one
// that nobody tells them asks it in bounded time.
func TestStartWaitsForPeersBeforeQueryingStore(t *testing.T) {
	f, store, _ := startFollower(t)
	waitForVersion(t, f, 1, time.Second)
	assert.Equal(t, store.count(), 0)
	f, store, _ = startFollower(t, func(s *fakeSource) { s.unresponsive = true })
	waitForVersion(t, f, 1, maxStartWait+time.Second)
	assert.Assert(t, store.count() > 0)
}

// TestChangesGatherWhileTheyKeepComing checks the pause of a relay between its
// questions: short after a change that stands alone, longer with each that follows
// closely, and short again after a time without.
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

// chain answers a follower's questions by another follower's tables.
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

// TestFreshnessTravelsAlongTheTree lets a relay follow a store to which nothing is
// written, and three followers learn one from the other: the last one must never
// be so stale that it asks the store itself.
func TestConfirmationsPropagateAlongTree(t *testing.T) {
	f, store, peers := startFollower(t)
	peers.set(func(s *fakeSource) { s.relay, s.noPeers = true, true })
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	defer all.Wait()
	defer cancel()
	quiet := &fakeSource{table: NewTable(), now: f.Now}
	for range 3 {
		next := &Follower{Store: quiet, Peers: peerChain{f}, Tables: map[string]*Table{"t": NewTable()}, Log: zerolog.Nop(), Now: f.Now}
		all.Go(func() { next.Run(ctx) })
		f = next
	}
	waitForVersion(t, f, 1, minStartWait)
	for range 80 {
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, f.Age() < maxStorePoll+relayResponseSlack, "%s", f.Age())
	}
	assert.Equal(t, quiet.count(), 0)
	assert.Assert(t, store.count() <= 10, "%d questions of the relay", store.count())
}

// refusing answers after some questions have failed.
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

// TestStartPassesOverOthersThatDoNotRunYet checks that an instance that starts
// knows the tables soon though the first that it asks refuse.
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

// TestHeadDoesNotWaitForASilentRelay checks that an instance from which others
// learn asks the store itself soon after its start if nobody answers it.
func TestHeadDoesNotWaitForUnresponsiveRelay(t *testing.T) {
	f, store, _ := startFollower(t, func(s *fakeSource) { s.unresponsive, s.head = true, true })
	waitForVersion(t, f, 1, 4*minHeadWait)
	assert.Assert(t, store.count() > 0)
}
