// SPDX-License-Identifier: MIT

package state

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"shalewick/clock"
)

// Compacted is the error of a source that no longer has the history that was
// asked for.
const ErrCompacted = errors.ConstError("history is gone")

// Behind is the error of an answer that is older than what is known already.
const ErrBehind = errors.ConstError("the store is behind")

// Conflict is the error of a write that was not carried out, since some row was not at
// the version that it was made against.
const ErrConflict = errors.ConstError("a row has changed meanwhile")

// Store is the source of all rows. Its methods return an error when the call
// was not answered or was refused.
type Store interface {
	// Read returns all rows of a table.
	Read(ctx context.Context, table string) (Delta, error)
	// Changes returns what changed after a version, as soon as something did
	// or wait is over. It returns Compacted when it no longer knows.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (Delta, error)
}

// Peers is how a follower learns from other instances.
type Peers interface {
	// Changes asks the i-th source among the other instances for what changed in
	// the tables. Ok is false when there is no such source.
	Changes(ctx context.Context, i int, q Query) (d map[string]Delta, ok bool, err error)
	// Relay reports whether this instance asks the store for others.
	Relay() bool
	// Head reports whether others learn the tables from this instance.
	Head() bool
	// StoreCalled is told whether a call of the store was answered.
	RecordStoreCall(answered bool)
}

// Question is what one instance asks another one: what has changed.
type Query struct {
	// After are the versions that the asker knows, by table; not there: none.
	After map[string]int64
	// Ages are how long ago these were confirmed, as far as the asker knows.
	Ages map[string]time.Duration
	// Without are tables that the asker has no use for.
	Excluded []string
	// Wait is how long the question may be held until there is news.
	Wait time.Duration
}

// Times of following.
const (
	// storeWait is how long the store may hold a question, at most.
	maxStorePoll = 2 * time.Second
	// relayWait is how long it may hold a relay's at least. What lies between
	// is random, so that of several relays that a silent store strikes at
	// once the first notices soon, and another instance takes its place.
	minRelayPoll = 1200 * time.Millisecond
	// relaySlack is how long after its wait a relay gives an answer up, unless a
	// question failed less than carefulFor ago: the store may be slow.
	relayResponseSlack = 400 * time.Millisecond
	cautiousFor        = 10 * time.Second
	// peerWait is how long a relay may hold a question.
	peerPoll = time.Second
	// ageSlack is by how much a confirmation must be newer than what the asker knows to be
	// news at once. Origin: relays' questions are held for relayWait at least, so that
	// two confirmations lie further apart; less is the time on the way.
	minAgeGain = 500 * time.Millisecond
	// answerSlack is how long after its wait an answer is given up.
	responseSlack = 700 * time.Millisecond
	// staleAfter is the age from which an instance asks the store itself.
	staleAfter = 2700 * time.Millisecond
	// gatherLeast and gatherMost bound how long a follower lets changes gather
	// before it asks again: the first while changes are rare, up to the second
	// while each answer brings some, as when many backend servers start. It saves a
	// relay's calls of the store.
	minBatchDelay = 60 * time.Millisecond
	maxBatchDelay = 480 * time.Millisecond
	// retryLeast and retryMost bound the pause after a failed question, which
	// doubles with each further one.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// standbyPause is the pause after the first failed question of an instance
	// that asks the store only because nobody else answers.
	standbyRetryDelay = 400 * time.Millisecond
	// sources is the number of other instances that an instance asks at a time.
	peerSources = 2
	// startLeast and startMost bound how long after its start an instance waits
	// for others to tell it the tables before it asks the store itself, each for
	// another time: when all start at once, a few read the tables for all.
	minStartWait = 1500 * time.Millisecond
	maxStartWait = 3 * time.Second
	// headLeast is how long a head waits at least; it waits for twice that at most.
	// A relay that runs answers sooner, and one that has no power not for 0.4 s.
	minHeadWait = 40 * time.Millisecond
	// idlePoll is the pause between two looks at whether the store has to be
	// asked, and firstPoll that between two looks for another instance to ask
	// while tables are not known.
	idleInterval  = 250 * time.Millisecond
	startInterval = 20 * time.Millisecond
	// wantedGrace is how long a table that is wanted of a sudden has for being told by
	// others before it counts as not known, or stale: the others want it at about the
	// same time, and the relay asks the store for it within a moment.
	subscribeGrace = 3 * time.Second
)

// Follower keeps tables new. The fields are set before Run.
type Follower struct {
	Store  Store
	Peers  Peers
	Tables map[string]*Table
	Log    zerolog.Logger
	Now    func() time.Duration
	// Wanted reports whether a table is to be kept new. While it is not, the store is not
	// asked for it, and it counts neither as unknown nor as stale; what others tell of it
	// is taken up all the same. Nil: all are, always.
	Subscribed func(table string) bool
	// Declines, if set, reports whether others are asked to leave a table out that is not wanted.
	Excluded func(table string) bool
	// Instances, if set, returns how many instances there are, as far as is known.
	Instances func() int

	subscriptions subscriptions
	// answered is when the first source last answered, by Now.
	firstResponseAt atomic.Int64
	// unknownUntil is until when tables that are not known are awaited from
	// others, and headUntil that for a head.
	startWaitUntil, headWaitUntil time.Duration
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.startWaitUntil = f.Now() + minStartWait + rand.N(maxStartWait-minStartWait)
	f.headWaitUntil = f.Now() + minHeadWait + rand.N(minHeadWait)
	f.subscribeAtStart()
	var all sync.WaitGroup
	for name, t := range f.Tables {
		all.Go(func() { f.followStore(ctx, name, t) })
	}
	for i := range peerSources {
		all.Go(func() { f.followPeer(ctx, i) })
	}
	all.Wait()
}

// Stale reports whether no source has confirmed some table lately, or has told of
// it at all in the time there was for that since the start.
func (f *Follower) Stale() bool {
	now := f.Now()
	for name, t := range f.Tables {
		if !f.required(name, now) {
			continue
		}
		_, known := t.Version()
		if known && t.ConfirmedAt() < now-staleAfter || !known && f.startWaitOver(now) {
			return true
		}
	}
	return false
}

// waitedLong reports whether tables that are not known were awaited long enough.
func (f *Follower) startWaitOver(now time.Duration) bool {
	return now >= f.startWaitUntil || now >= f.headWaitUntil && f.Peers.Head()
}

// known reports whether all tables that are wanted are known.
func (f *Follower) allKnown() bool {
	now := f.Now()
	for name, t := range f.Tables {
		if _, known := t.Version(); !known && f.required(name, now) {
			return false
		}
	}
	return true
}

// Age returns how long ago that of the wanted tables was confirmed which was
// confirmed last of all. It is of no use before all of them are known.
func (f *Follower) Age() time.Duration {
	now := f.Now()
	age := time.Duration(0)
	for name, t := range f.Tables {
		if f.required(name, now) {
			age = max(age, now-t.ConfirmedAt())
		}
	}
	return age
}

// followStore asks the store for a table while it is wanted, and this instance is a
// relay, or stale.
func (f *Follower) followStore(ctx context.Context, name string, t *Table) {
	failures := 0
	failed := time.Duration(0) // when a question failed last; zero: never
	behind := false            // the last question was answered at a version below the known one
	var pause batchDelay
	for ctx.Err() == nil {
		if !f.subscribed(name) {
			clock.SleepAligned(ctx, idleInterval)
			continue
		}
		if !f.Peers.Relay() && !f.Stale() {
			clock.SleepAligned(ctx, f.pollInterval())
			continue
		}
		careful := failed != 0 && f.Now()-failed < cautiousFor
		hold, slack := f.pollTimes(failures, careful)
		changed, err := f.queryStore(ctx, name, t, hold, slack)
		if ctx.Err() != nil {
			return
		}
		f.Peers.RecordStoreCall(err == nil)
		if (err == nil) != (failures == 0) {
			f.Log.Info().Str("table", name).Bool("answered", err == nil).AnErr("error", err).Msg("store")
		}
		if now := errors.Is(err, ErrBehind); now != behind {
			behind = now
			f.Log.Info().Str("table", name).Bool("behind", behind).AnErr("error", err).Msg("store-behind")
		}
		if err == nil {
			failures = 0
			pause.update(changed, f.Now())
			if changed {
				clock.Sleep(ctx, pause.current)
			}
			continue
		}
		failures++
		failed = f.Now()
		first := standbyRetryDelay
		if f.Peers.Relay() {
			first = minRetryDelay
		}
		clock.Sleep(ctx, retryDelay(first, failures))
	}
}

// holdFor returns how long the store may hold a question after so many failed
// ones, and how long after that an answer is given up. A relay asks a store that
// does not answer for an answer at once, so that it notices soon when the store is
// back: others wait for its word.
func (f *Follower) pollTimes(failures int, careful bool) (hold, slack time.Duration) {
	if !f.Peers.Relay() {
		return maxStorePoll, responseSlack
	}
	if failures > 0 {
		return 0, responseSlack
	}
	hold = minRelayPoll + rand.N(maxStorePoll-minRelayPoll)
	if careful {
		return hold, responseSlack
	}
	return hold, relayResponseSlack
}

// askStore asks one question, which the store may hold for a time. The first
// one, and one after the history is gone, reads the table whole.
func (f *Follower) queryStore(ctx context.Context, name string, t *Table, hold, slack time.Duration) (changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, hold+slack)
	defer cancel()
	asked := f.Now()
	after, known := t.Version()
	var d Delta
	if known {
		d, err = f.Store.Changes(ctx, name, after, hold)
	}
	if !known || errors.Is(err, ErrCompacted) {
		asked = f.Now()
		d, err = f.Store.Read(ctx, name)
		d.Full = true
	}
	if err != nil {
		return false, err
	}
	if d.Full && d.Version < after {
		return false, errors.WithType(errors.Errorf("table %s read at %d, which is behind %d", name, d.Version, after), ErrBehind)
	}
	now := f.Now()
	if !d.Full {
		asked = now // the answer was made when a row changed or the wait was over
	}
	d.Age = now - asked
	return t.Apply(d, now), nil
}

// followPeer asks the i-th source.
func (f *Follower) followPeer(ctx context.Context, i int) {
	failures := 0
	for ctx.Err() == nil {
		if i > 0 && f.onStandby() {
			clock.SleepAligned(ctx, idleInterval)
			continue
		}
		asked, cancel := context.WithTimeout(ctx, peerPoll+responseSlack)
		d, ok, err := f.Peers.Changes(asked, i, f.query())
		cancel()
		if !ok {
			clock.SleepAligned(ctx, f.pollInterval())
			continue
		}
		if err != nil {
			failures++
			clock.Sleep(ctx, f.peerRetryDelay(failures))
			continue
		}
		failures = 0
		now := f.Now()
		for name, delta := range d {
			if t := f.Tables[name]; t != nil {
				t.Apply(delta, now)
			}
		}
		if i == 0 {
			f.firstResponseAt.Store(int64(now))
		}
		clock.Sleep(ctx, f.peerBatchDelay())
	}
}

// question returns what to ask another instance now.
func (f *Follower) query() Query {
	q := Query{After: make(map[string]int64, len(f.Tables)), Ages: make(map[string]time.Duration, len(f.Tables)), Wait: peerPoll}
	now := f.Now()
	for name, t := range f.Tables {
		if f.Excluded != nil && f.Excluded(name) {
			q.Excluded = append(q.Excluded, name)
			continue
		}
		if v, known := t.Version(); known {
			q.After[name] = v
			q.Ages[name] = now - t.ConfirmedAt()
		}
	}
	return q
}

// Answer answers another instance's question.
func (f *Follower) Respond(ctx context.Context, q Query) map[string]Delta {
	ctx, cancel := context.WithTimeout(ctx, q.Wait)
	defer cancel()
	if !f.hasNewerConfirmation(q.Ages) {
		f.awaitAnyUpdate(ctx, &q)
	}
	out := make(map[string]Delta)
	now := f.Now()
	for name, t := range f.Tables {
		if _, known := t.Version(); known && !slices.Contains(q.Excluded, name) {
			out[name] = t.Since(q.After[name], now)
		}
	}
	return out
}

// knowsNewer reports whether a table was confirmed since the asker heard of it last. Such a
// confirmation may have come between two questions; to wait for the next one would make the
// asker's tables look up to twice as old as they are, and those that look stale cost calls
// of the store.
func (f *Follower) hasNewerConfirmation(ages map[string]time.Duration) bool {
	now := f.Now()
	for name, age := range ages {
		if t := f.Tables[name]; t != nil && f.subscribed(name) && now-t.ConfirmedAt()+minAgeGain < age {
			return true
		}
	}
	return false
}

// awaitAnyNews waits until there is news of a table for the asker, or the context
// ends.
func (f *Follower) awaitAnyUpdate(ctx context.Context, q *Query) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for name, t := range f.Tables {
		if slices.Contains(q.Excluded, name) {
			continue
		}
		go func() {
			t.AwaitUpdate(ctx, q.After[name])
			cancel()
		}()
	}
	<-ctx.Done()
}
