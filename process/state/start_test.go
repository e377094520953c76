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
func TestStartWaitsForOthersBeforeItAsksTheStore(t *testing.T) {
	f, store, _ := follow(t)
	reaches(t, f, 1, time.Second)
	assert.Equal(t, store.count(), 0)
	f, store, _ = follow(t, func(s *script) { s.silent = true })
	reaches(t, f, 1, startMost+time.Second)
	assert.Assert(t, store.count() > 0)
}

// TestChangesGatherWhileTheyKeepComing checks the pause of a relay between its
// questions: short after a change that stands alone, longer with each that follows
// closely, and short again after a time without.
func TestChangesGatherWhileTheyKeepComing(t *testing.T) {
	var g gatherPause
	now := time.Hour
	g.note(true, now)
	assert.Equal(t, g.now, gatherLeast)
	calls := 0
	for now < time.Hour+3*time.Second {
		now += g.now + 10*time.Millisecond
		g.note(true, now)
		calls++
	}
	assert.Equal(t, g.now, gatherMost)
	assert.Assert(t, calls <= 12, "%d calls in 3 s of changes", calls)
	now += time.Second
	g.note(false, now)
	now += time.Second
	g.note(true, now)
	assert.Equal(t, g.now, gatherLeast)
}

// chain answers a follower's questions by another follower's tables.
type chain struct{ source *Follower }

func (c chain) Changes(ctx context.Context, i int, q Question) (map[string]Delta, bool, error) {
	if i > 0 {
		return nil, false, nil
	}
	return c.source.Answer(ctx, q), true, nil
}

func (c chain) Relay() bool      { return false }
func (c chain) Head() bool       { return false }
func (c chain) StoreCalled(bool) {}

// TestFreshnessTravelsAlongTheTree lets a relay follow a store to which nothing is
// written, and three followers learn one from the other: the last one must never
// be so stale that it asks the store itself.
func TestFreshnessTravelsAlongTheTree(t *testing.T) {
	f, store, peers := follow(t)
	peers.set(func(s *script) { s.relay, s.noPeers = true, true })
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	defer all.Wait()
	defer cancel()
	quiet := &script{table: NewTable(), now: f.Now}
	for range 3 {
		next := &Follower{Store: quiet, Peers: chain{f}, Tables: map[string]*Table{"t": NewTable()}, Log: zerolog.Nop(), Now: f.Now}
		all.Go(func() { next.Run(ctx) })
		f = next
	}
	reaches(t, f, 1, startLeast)
	for range 80 {
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, f.Age() < storeWait+relaySlack, "%s", f.Age())
	}
	assert.Equal(t, quiet.count(), 0)
	assert.Assert(t, store.count() <= 10, "%d questions of the relay", store.count())
}

// refusing answers after some questions have failed.
type refusing struct {
	peerScript
	left *atomic.Int32
}

func (r refusing) Changes(ctx context.Context, i int, q Question) (map[string]Delta, bool, error) {
	if r.left.Add(-1) >= 0 {
		return nil, true, fmt.Errorf("refused")
	}
	return r.peerScript.Changes(ctx, i, q)
}

// TestStartPassesOverOthersThatDoNotRunYet checks that an instance that starts
// knows the tables soon though the first that it asks refuse.
func TestStartPassesOverOthersThatDoNotRunYet(t *testing.T) {
	f, _, peers := follow(t)
	left := new(atomic.Int32)
	left.Store(8)
	next := &Follower{Store: f.Store, Peers: refusing{peerScript{peers}, left}, Tables: map[string]*Table{"t": NewTable()}, Log: zerolog.Nop(), Now: f.Now}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go next.Run(ctx)
	reaches(t, next, 1, 400*time.Millisecond)
}

// TestHeadDoesNotWaitForASilentRelay checks that an instance from which others
// learn asks the store itself soon after its start if nobody answers it.
func TestHeadDoesNotWaitForASilentRelay(t *testing.T) {
	f, store, _ := follow(t, func(s *script) { s.silent, s.head = true, true })
	reaches(t, f, 1, 4*headLeast)
	assert.Assert(t, store.count() > 0)
}
