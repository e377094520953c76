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

func TestTableOnlyMovesForward(t *testing.T) {
	x := NewTable()
	assert.Assert(t, x.Apply(Delta{Rows: []Row{row("a", 5)}, Version: 5, Whole: true}, time.Second))
	assert.Assert(t, !x.Apply(Delta{Rows: []Row{row("a", 4)}, Version: 4, Whole: true}, 2*time.Second), "a replica that is behind")
	assert.Assert(t, !x.Apply(Delta{Rows: []Row{row("a", 3)}, Version: 5}, 2*time.Second), "an older row")
	assert.Assert(t, x.Apply(Delta{Rows: []Row{{Key: "a", Version: 6, Gone: true}}, Version: 6}, 2*time.Second))
	assert.Equal(t, len(x.Rows()), 0)
	assert.Assert(t, !x.Apply(Delta{Rows: []Row{row("a", 5)}, Version: 6}, 2*time.Second), "gone stays gone")
	assert.Assert(t, x.Apply(Delta{Rows: []Row{row("a", 7)}, Version: 7}, 2*time.Second))
}

func TestWholeDeltaRemovesWhatItLacks(t *testing.T) {
	x := NewTable()
	x.Apply(Delta{Rows: []Row{row("a", 1), row("b", 2)}, Version: 2, Whole: true}, 1)
	assert.Assert(t, x.Apply(Delta{Rows: []Row{row("b", 2)}, Version: 9, Whole: true}, 2))
	assert.DeepEqual(t, x.Rows(), []Row{row("b", 2)})
	d := x.Since(2, 3)
	assert.Assert(t, !d.Whole && len(d.Rows) == 1 && d.Rows[0].Gone, "a follower learns of the removal")
}

// TestReturnOfTheStoreIsNoticed checks that an answer after a long silence
// counts as the store's return, and one after a usual wait does not.
func TestReturnOfTheStoreIsNoticed(t *testing.T) {
	x := NewTable()
	now := time.Hour
	x.Apply(Delta{Version: 1, Whole: true}, now)
	now += storeWait
	x.Apply(Delta{Version: 1}, now)
	assert.Equal(t, x.Returned(), time.Duration(0))
	now += awayAfter + time.Millisecond
	x.Apply(Delta{Version: 1, Age: awayAfter + time.Millisecond}, now)
	assert.Equal(t, x.Returned(), time.Duration(0), "a relay that knows no more")
	x.Apply(Delta{Version: 2, Rows: []Row{{Key: "a", Version: 2, Gone: true}}}, now)
	assert.Equal(t, x.Returned(), now)
}

// TestFollowersAgree applies random changes to one table, and lets another one
// learn of them by deltas that are lost, repeated and out of order.
func TestFollowersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewTable(), NewTable()
		a.Apply(Delta{Whole: true, Version: 1}, 1)
		version := int64(1)
		var kept []Delta
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			version++
			r := row(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key")), version)
			r.Gone = rapid.Bool().Draw(t, "gone")
			a.Apply(Delta{Rows: []Row{r}, Version: version}, time.Duration(version))
			known, _ := b.Version()
			kept = append(kept, a.Since(known, time.Duration(version)))
			if rapid.Bool().Draw(t, "deliver") {
				d := kept[rapid.IntRange(0, len(kept)-1).Draw(t, "which")]
				if v, _ := b.Version(); d.Whole || v >= known {
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

// script is a store, or peers, that answer as the test says.
type script struct {
	mu      sync.Mutex
	table   *Table
	err     error
	silent  bool
	asked   int
	relay   bool
	head    bool
	noPeers bool
	now     func() time.Duration
}

func (s *script) answer(ctx context.Context, after int64, wait time.Duration) (Delta, error) {
	s.mu.Lock()
	s.asked++
	silent, err := s.silent, s.err
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return Delta{}, ctx.Err()
	}
	if err != nil {
		return Delta{}, err
	}
	held, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	s.table.Await(held, after)
	d := s.table.Since(after, s.now())
	d.Age = 0
	return d, nil
}

func (s *script) Read(ctx context.Context, _ string) (Delta, error) { return s.answer(ctx, 0, 0) }

func (s *script) Changes(ctx context.Context, _ string, after int64, wait time.Duration) (Delta, error) {
	return s.answer(ctx, after, wait)
}

func (s *script) set(f func(s *script)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *script) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asked
}

// peerScript makes a script answer as the relays.
type peerScript struct{ *script }

func (p peerScript) Changes(ctx context.Context, i int, q Question) (map[string]Delta, bool, error) {
	p.mu.Lock()
	none := p.noPeers
	p.mu.Unlock()
	if i > 0 || none {
		return nil, false, nil
	}
	d, err := p.answer(ctx, q.After["t"], q.Wait)
	return map[string]Delta{"t": d}, true, err
}

func (p peerScript) StoreCalled(bool) {}

func (p peerScript) Head() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.head
}

func (p peerScript) Relay() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.relay
}

// follow starts a follower of one table. Before is called with what the others do, before the
// follower asks anybody.
func follow(t *testing.T, before ...func(peers *script)) (f *Follower, store, peers *script) {
	t.Helper()
	begun := time.Now()
	now := func() time.Duration { return time.Since(begun) + time.Hour }
	store, peers = &script{table: NewTable(), now: now}, &script{table: NewTable(), now: now}
	store.table.Apply(Delta{Rows: []Row{row("a", 1)}, Version: 1, Whole: true}, now())
	peers.table.Apply(Delta{Rows: []Row{row("a", 1)}, Version: 1, Whole: true}, now())
	for _, set := range before {
		peers.set(set)
	}
	f = &Follower{Store: store, Peers: peerScript{peers}, Tables: map[string]*Table{"t": NewTable()}, Log: zerolog.Nop(), Now: now}
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

// reaches waits until the follower's table has a version.
func reaches(t *testing.T, f *Follower, version int64, within time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	f.Tables["t"].Await(ctx, version-1)
	got, _ := f.Tables["t"].Version()
	assert.Assert(t, got >= version, "at version %d", got)
}

func (s *script) write(version int64) {
	s.table.Apply(Delta{Rows: []Row{row("a", version)}, Version: version}, s.now())
}

func TestFollowerLearnsFromRelaysWithoutTheStore(t *testing.T) {
	f, store, peers := follow(t)
	reaches(t, f, 1, time.Second)
	time.Sleep(300 * time.Millisecond)
	before := store.count()
	for v := int64(2); v < 12; v++ {
		peers.write(v)
		reaches(t, f, v, time.Second)
	}
	assert.Equal(t, store.count(), before, "calls of the store while relays answer")
}

func TestFollowerAsksTheStoreWhenNobodyElseAnswers(t *testing.T) {
	f, store, peers := follow(t)
	reaches(t, f, 1, time.Second)
	peers.set(func(s *script) { s.silent = true })
	store.write(2)
	reaches(t, f, 2, staleAfter+peerWait+answerSlack)
}

func TestFollowerThatTheStoreTurnsAwayLearnsFromOthers(t *testing.T) {
	f, store, peers := follow(t)
	reaches(t, f, 1, time.Second)
	store.set(func(s *script) { s.err = fmt.Errorf("turned away") })
	peers.write(5)
	reaches(t, f, 5, time.Second)
}

// TestRelayOutlivesASilentAnswer checks that an answer of the store that never
// comes holds a relay up for a bounded time only.
func TestRelayOutlivesASilentAnswer(t *testing.T) {
	f, store, peers := follow(t)
	peers.set(func(s *script) { s.relay, s.noPeers = true, true })
	reaches(t, f, 1, time.Second)
	store.set(func(s *script) { s.silent = true })
	time.Sleep(storeWait + 200*time.Millisecond)
	store.set(func(s *script) { s.silent = false })
	store.write(2)
	reaches(t, f, 2, storeWait+answerSlack+retryMost)
}

// TestRelayNoticesSoonThatTheStoreIsBack checks that a relay does not wait for
// the end of a question that a silent store took in.
func TestRelayNoticesSoonThatTheStoreIsBack(t *testing.T) {
	f, store, peers := follow(t)
	peers.set(func(s *script) { s.relay, s.noPeers = true, true })
	reaches(t, f, 1, time.Second)
	store.set(func(s *script) { s.silent = true })
	time.Sleep(2 * (storeWait + answerSlack))
	for v := int64(2); v < 5; v++ {
		store.write(v)
		store.set(func(s *script) { s.silent = false })
		reaches(t, f, v, answerSlack+2*retryMost)
		store.set(func(s *script) { s.silent = true })
		time.Sleep(storeWait + answerSlack + time.Duration(v)*300*time.Millisecond)
	}
}

func TestFollowerReadsAgainWhenHistoryIsGone(t *testing.T) {
	f, store, peers := follow(t)
	peers.set(func(s *script) { s.relay, s.noPeers = true, true })
	reaches(t, f, 1, time.Second)
	compacting := &compactOnce{script: store}
	f2 := &Follower{Store: compacting, Peers: peerScript{peers}, Tables: f.Tables, Log: zerolog.Nop(), Now: f.Now}
	store.write(9)
	_, err := f2.askStore(context.Background(), "t", f.Tables["t"], storeWait, answerSlack)
	assert.NilError(t, err)
	got, _ := f.Tables["t"].Version()
	assert.Equal(t, got, int64(9))
	assert.Assert(t, compacting.asked)
}

// TestOutageCostsFewCalls checks that a store that refuses is asked seldom,
// since refused calls are paid for as well, and soon enough once it is back.
func TestOutageCostsFewCalls(t *testing.T) {
	f, store, peers := follow(t)
	peers.set(func(s *script) { s.noPeers = true })
	reaches(t, f, 1, startMost+time.Second)
	store.set(func(s *script) { s.err = fmt.Errorf("busy") })
	time.Sleep(staleAfter)
	before := store.count()
	time.Sleep(4 * time.Second)
	asked := store.count() - before
	assert.Assert(t, asked >= 3 && asked <= 10, "%d questions in 4 s", asked)
	store.set(func(s *script) { s.err = nil })
	store.write(2)
	reaches(t, f, 2, 3*retryMost/2)
}

// compactOnce has no history.
type compactOnce struct {
	*script
	asked bool
}

func (c *compactOnce) Changes(context.Context, string, int64, time.Duration) (Delta, error) {
	c.asked = true
	return Delta{}, Compacted
}

// TestRisingVersionAloneIsNoChange checks that an answer without rows, which a
// store that other tables are written to gives all the time, wakes those who
// follow the version, and not those who act on rows.
func TestRisingVersionAloneIsNoChange(t *testing.T) {
	x := NewTable()
	unknown := x.Changed()
	x.Apply(Delta{Version: 1, Whole: true}, time.Second)
	assert.Assert(t, closed(unknown), "an empty table is known now")
	rows := x.Changed()
	x.Apply(Delta{Version: 2}, 2*time.Second)
	assert.Assert(t, !closed(rows))
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	x.Await(ctx, 1)
	assert.NilError(t, ctx.Err())
	x.Apply(Delta{Rows: []Row{row("a", 3)}, Version: 3}, 3*time.Second)
	assert.Assert(t, closed(rows))
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
