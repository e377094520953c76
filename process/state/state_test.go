// SPDX-License-Identifier: MIT

package state

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func row(key string, version int64) Row {
	return Row{Key: key, Value: []byte(fmt.Sprint(version)), Version: version}
}

func TestTableNeverGoesBack(t *testing.T) {
	x := NewTable()
	assert.Assert(t, x.Apply(Delta{Rows: []Row{row("a", 5)}, Version: 5, Full: true}, time.Second))
	assert.Assert(t, !x.Apply(Delta{Rows: []Row{row("a", 4)}, Version: 4, Full: true}, 2*time.Second), "a replica that lags behind")
	assert.Assert(t, !x.Apply(Delta{Rows: []Row{row("a", 3)}, Version: 5}, 2*time.Second), "an older row")
	assert.Assert(t, x.Apply(Delta{Rows: []Row{{Key: "a", Version: 6, Deleted: true}}, Version: 6}, 2*time.Second))
	assert.Equal(t, len(x.Rows()), 0)
	assert.Assert(t, !x.Apply(Delta{Rows: []Row{row("a", 5)}, Version: 6}, 2*time.Second), "a deleted row stays deleted")
	assert.Assert(t, x.Apply(Delta{Rows: []Row{row("a", 7)}, Version: 7}, 2*time.Second))
}

func TestFullDeltaDeletesMissingRows(t *testing.T) {
	x := NewTable()
	x.Apply(Delta{Rows: []Row{row("a", 1), row("b", 2)}, Version: 2, Full: true}, 1)
	assert.Assert(t, x.Apply(Delta{Rows: []Row{row("b", 2)}, Version: 9, Full: true}, 2))
	assert.DeepEqual(t, x.Rows(), []Row{row("b", 2)})
	d := x.Since(2, 3)
	assert.Assert(t, !d.Full && len(d.Rows) == 1 && d.Rows[0].Deleted, "the delta contains the deletion")
}

// TestStoreRecoveryIsDetected checks that a response after a long silence counts as the recovery of the
// store, and one after the usual poll time does not.
func TestStoreRecoveryIsDetected(t *testing.T) {
	x := NewTable()
	now := time.Hour
	x.Apply(Delta{Version: 1, Full: true}, now)
	now += maxStorePoll
	x.Apply(Delta{Version: 1}, now)
	assert.Equal(t, x.StoreRecoveredAt(), time.Duration(0))
	now += outageAfter + time.Millisecond
	x.Apply(Delta{Version: 1, Age: outageAfter + time.Millisecond}, now)
	assert.Equal(t, x.StoreRecoveredAt(), time.Duration(0), "a relay with no newer confirmation")
	x.Apply(Delta{Version: 2, Rows: []Row{{Key: "a", Version: 2, Deleted: true}}}, now)
	assert.Equal(t, x.StoreRecoveredAt(), now)
}

// TestDeltasConverge applies random changes to one table, and updates another by deltas that are lost,
// repeated and reordered.
func TestDeltasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewTable(), NewTable()
		a.Apply(Delta{Full: true, Version: 1}, 1)
		version := int64(1)
		var kept []Delta
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			version++
			r := row(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key")), version)
			r.Deleted = rapid.Bool().Draw(t, "deleted")
			a.Apply(Delta{Rows: []Row{r}, Version: version}, time.Duration(version))
			known, _ := b.Version()
			kept = append(kept, a.Since(known, time.Duration(version)))
			if rapid.Bool().Draw(t, "deliver") {
				d := kept[rapid.IntRange(0, len(kept)-1).Draw(t, "which")]
				if v, _ := b.Version(); d.Full || v >= known {
					b.Apply(d, time.Duration(version))
				}
			}
		}
		known, _ := b.Version()
		b.Apply(a.Since(known, 100), 100)
		assert.Equal(t, len(a.Rows()), len(b.Rows()))
		for _, r := range b.Rows() {
			found := false
			for _, o := range a.Rows() {
				found = found || o.Key == r.Key && o.Version == r.Version
			}
			if !found {
				t.Fatalf("row %v is not in the first table", r)
			}
		}
	})
}

// fakeSource is a store, or peers, whose responses the test controls.
type fakeSource struct {
	mu           sync.Mutex
	table        *Table
	err          error
	unresponsive bool
	calls        int
	relay        bool
	head         bool
	noPeers      bool
	now          func() time.Duration
}

func (s *fakeSource) respond(ctx context.Context, after int64, wait time.Duration) (Delta, error) {
	s.mu.Lock()
	s.calls++
	unresponsive, err := s.unresponsive, s.err
	s.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return Delta{}, ctx.Err()
	}
	if err != nil {
		return Delta{}, err
	}
	pollCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	s.table.AwaitVersion(pollCtx, after)
	d := s.table.Since(after, s.now())
	d.Age = 0
	return d, nil
}

func (s *fakeSource) Read(ctx context.Context, _ string) (Delta, error) { return s.respond(ctx, 0, 0) }

func (s *fakeSource) Changes(ctx context.Context, _ string, after int64, wait time.Duration) (Delta, error) {
	return s.respond(ctx, after, wait)
}

func (s *fakeSource) set(f func(s *fakeSource)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *fakeSource) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// fakePeers implements Peers with a fakeSource.
type fakePeers struct{ *fakeSource }

func (p fakePeers) Changes(ctx context.Context, i int, q Query) (map[string]Delta, bool, error) {
	p.mu.Lock()
	none := p.noPeers
	p.mu.Unlock()
	if i > 0 || none {
		return nil, false, nil
	}
	d, err := p.respond(ctx, q.After["t"], q.Wait)
	return map[string]Delta{"t": d}, true, err
}

func (p fakePeers) RecordStoreCall(bool) {}

func (p fakePeers) Head() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.head
}

func (p fakePeers) Relay() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.relay
}

// startFollower starts a follower of one table. Each function in before configures the peers before the
// follower sends its first query.
func startFollower(t *testing.T, before ...func(peers *fakeSource)) (f *Follower, store, peers *fakeSource) {
	t.Helper()
	started := time.Now()
	now := func() time.Duration { return time.Since(started) + time.Hour }
	store, peers = &fakeSource{table: NewTable(), now: now}, &fakeSource{table: NewTable(), now: now}
	store.table.Apply(Delta{Rows: []Row{row("a", 1)}, Version: 1, Full: true}, now())
	peers.table.Apply(Delta{Rows: []Row{row("a", 1)}, Version: 1, Full: true}, now())
	for _, set := range before {
		peers.set(set)
	}
	f = &Follower{Store: store, Peers: fakePeers{peers}, Tables: map[string]*Table{"t": NewTable()}, Log: zerolog.Nop(), Now: now}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		f.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f, store, peers
}

// waitForVersion waits until the follower's table has a version.
func waitForVersion(t *testing.T, f *Follower, version int64, within time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	f.Tables["t"].AwaitVersion(ctx, version-1)
	got, _ := f.Tables["t"].Version()
	assert.Assert(t, got >= version, "table is at version %d", got)
}

func (s *fakeSource) write(version int64) {
	s.table.Apply(Delta{Rows: []Row{row("a", version)}, Version: version}, s.now())
}

func TestFollowerUsesRelaysWithoutStoreCalls(t *testing.T) {
	f, store, peers := startFollower(t)
	waitForVersion(t, f, 1, time.Second)
	time.Sleep(300 * time.Millisecond)
	before := store.count()
	for v := int64(2); v < 12; v++ {
		peers.write(v)
		waitForVersion(t, f, v, time.Second)
	}
	assert.Equal(t, store.count(), before, "no store calls while relays respond")
}

func TestFollowerQueriesStoreWhenPeersAreUnresponsive(t *testing.T) {
	f, store, peers := startFollower(t)
	waitForVersion(t, f, 1, time.Second)
	peers.set(func(s *fakeSource) { s.unresponsive = true })
	store.write(2)
	waitForVersion(t, f, 2, staleAfter+peerPoll+responseSlack)
}

func TestFollowerRejectedByStoreUsesPeers(t *testing.T) {
	f, store, peers := startFollower(t)
	waitForVersion(t, f, 1, time.Second)
	store.set(func(s *fakeSource) { s.err = fmt.Errorf("rejected") })
	peers.write(5)
	waitForVersion(t, f, 5, time.Second)
}

// TestUnresponsiveStoreBlocksRelayBriefly checks that a store call that is never answered blocks a relay
// for a bounded time only.
func TestUnresponsiveStoreBlocksRelayBriefly(t *testing.T) {
	f, store, peers := startFollower(t)
	peers.set(func(s *fakeSource) { s.relay, s.noPeers = true, true })
	waitForVersion(t, f, 1, time.Second)
	store.set(func(s *fakeSource) { s.unresponsive = true })
	time.Sleep(maxStorePoll + 200*time.Millisecond)
	store.set(func(s *fakeSource) { s.unresponsive = false })
	store.write(2)
	waitForVersion(t, f, 2, maxStorePoll+responseSlack+maxRetryDelay)
}

// TestRelayDetectsStoreRecoveryQuickly checks that a relay does not wait for the end of a query that an
// unresponsive store accepted.
func TestRelayDetectsStoreRecoveryQuickly(t *testing.T) {
	f, store, peers := startFollower(t)
	peers.set(func(s *fakeSource) { s.relay, s.noPeers = true, true })
	waitForVersion(t, f, 1, time.Second)
	store.set(func(s *fakeSource) { s.unresponsive = true })
	time.Sleep(2 * (maxStorePoll + responseSlack))
	for v := int64(2); v < 5; v++ {
		store.write(v)
		store.set(func(s *fakeSource) { s.unresponsive = false })
		waitForVersion(t, f, v, responseSlack+2*maxRetryDelay)
		store.set(func(s *fakeSource) { s.unresponsive = true })
		time.Sleep(maxStorePoll + responseSlack + time.Duration(v)*300*time.Millisecond)
	}
}

func TestFollowerRereadsAfterCompaction(t *testing.T) {
	f, store, peers := startFollower(t)
	peers.set(func(s *fakeSource) { s.relay, s.noPeers = true, true })
	waitForVersion(t, f, 1, time.Second)
	compacting := &noHistory{fakeSource: store}
	f2 := &Follower{Store: compacting, Peers: fakePeers{peers}, Tables: f.Tables, Log: zerolog.Nop(), Now: f.Now}
	store.write(9)
	_, err := f2.queryStore(context.Background(), "t", f.Tables["t"], maxStorePoll, responseSlack)
	assert.NilError(t, err)
	got, _ := f.Tables["t"].Version()
	assert.Equal(t, got, int64(9))
	assert.Assert(t, compacting.called)
}

// TestOutageCausesFewStoreCalls checks that a store that rejects calls is queried rarely, since rejected
// calls are billed as well, but soon enough after it recovers.
func TestOutageCausesFewStoreCalls(t *testing.T) {
	f, store, peers := startFollower(t)
	peers.set(func(s *fakeSource) { s.noPeers = true })
	waitForVersion(t, f, 1, maxStartWait+time.Second)
	store.set(func(s *fakeSource) { s.err = fmt.Errorf("busy") })
	time.Sleep(staleAfter)
	before := store.count()
	time.Sleep(4 * time.Second)
	queries := store.count() - before
	assert.Assert(t, queries >= 3 && queries <= 10, "%d queries in 4 s", queries)
	store.set(func(s *fakeSource) { s.err = nil })
	store.write(2)
	waitForVersion(t, f, 2, 3*maxRetryDelay/2)
}

// noHistory is a store whose history was compacted.
type noHistory struct {
	*fakeSource
	called bool
}

func (c *noHistory) Changes(context.Context, string, int64, time.Duration) (Delta, error) {
	c.called = true
	return Delta{}, ErrCompacted
}

// TestVersionOnlyUpdateIsNoChange checks that a response without rows, which a store sends all the time
// while other tables are written to, wakes callers that wait for a version but not those that wait for changed
// rows.
func TestVersionOnlyUpdateIsNoChange(t *testing.T) {
	x := NewTable()
	unknown := x.Changed()
	x.Apply(Delta{Version: 1, Full: true}, time.Second)
	assert.Assert(t, isClosed(unknown), "an empty table counts as known")
	rows := x.Changed()
	x.Apply(Delta{Version: 2}, 2*time.Second)
	assert.Assert(t, !isClosed(rows))
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	x.AwaitVersion(ctx, 1)
	assert.NilError(t, ctx.Err())
	x.Apply(Delta{Rows: []Row{row("a", 3)}, Version: 3}, 3*time.Second)
	assert.Assert(t, isClosed(rows))
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
