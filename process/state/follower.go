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
const Compacted = errors.ConstError("history is gone")

// Behind is the error of an answer that is older than what is known already.
const Behind = errors.ConstError("the store is behind")

// Conflict is the error of a write that was not carried out, since some row was not at
// the version that it was made against.
const Conflict = errors.ConstError("a row has changed meanwhile")

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
	Changes(ctx context.Context, i int, q Question) (d map[string]Delta, ok bool, err error)
	// Relay reports whether this instance asks the store for others.
	Relay() bool
	// Head reports whether others learn the tables from this instance.
	Head() bool
	// StoreCalled is told whether a call of the store was answered.
	StoreCalled(answered bool)
}

// Question is what one instance asks another one: what has changed.
type Question struct {
	// After are the versions that the asker knows, by table; not there: none.
	After map[string]int64
	// Ages are how long ago these were confirmed, as far as the asker knows.
	Ages map[string]time.Duration
	// Without are tables that the asker has no use for.
	Without []string
	// Wait is how long the question may be held until there is news.
	Wait time.Duration
}

// Times of following.
const (
	// storeWait is how long the store may hold a question, at most.
	storeWait = 2 * time.Second
	// relayWait is how long it may hold a relay's at least. What lies between
	// is random, so that of several relays that a silent store strikes at
	// once the first notices soon, and another instance takes its place.
	relayWait = 1200 * time.Millisecond
	// relaySlack is how long after its wait a relay gives an answer up, unless a
	// question failed less than carefulFor ago: the store may be slow.
	relaySlack = 400 * time.Millisecond
	carefulFor = 10 * time.Second
	// peerWait is how long a relay may hold a question.
	peerWait = time.Second
	// ageSlack is by how much a confirmation must be newer than what the asker knows to be
	// news at once. Origin: relays' questions are held for relayWait at least, so that
	// two confirmations lie further apart; less is the time on the way.
	ageSlack = 500 * time.Millisecond
	// answerSlack is how long after its wait an answer is given up.
	answerSlack = 700 * time.Millisecond
	// staleAfter is the age from which an instance asks the store itself.
	staleAfter = 2700 * time.Millisecond
	// gatherLeast and gatherMost bound how long a follower lets changes gather
	// before it asks again: the first while changes are rare, up to the second
	// while each answer brings some, as when many backend servers start. It saves a
	// relay's calls of the store.
	gatherLeast = 60 * time.Millisecond
	gatherMost  = 480 * time.Millisecond
	// retryLeast and retryMost bound the pause after a failed question, which
	// doubles with each further one.
	retryLeast = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
	// standbyPause is the pause after the first failed question of an instance
	// that asks the store only because nobody else answers.
	standbyPause = 400 * time.Millisecond
	// sources is the number of other instances that an instance asks at a time.
	sources = 2
	// startLeast and startMost bound how long after its start an instance waits
	// for others to tell it the tables before it asks the store itself, each for
	// another time: when all start at once, a few read the tables for all.
	startLeast = 1500 * time.Millisecond
	startMost  = 3 * time.Second
	// headLeast is how long a head waits at least; it waits for twice that at most.
	// A relay that runs answers sooner, and one that has no power not for 0.4 s.
	headLeast = 40 * time.Millisecond
	// idlePoll is the pause between two looks at whether the store has to be
	// asked, and firstPoll that between two looks for another instance to ask
	// while tables are not known.
	idlePoll  = 250 * time.Millisecond
	firstPoll = 20 * time.Millisecond
	// wantedGrace is how long a table that is wanted of a sudden has for being told by
	// others before it counts as not known, or stale: the others want it at about the
	// same time, and the relay asks the store for it within a moment.
	wantedGrace = 3 * time.Second
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
	Wanted func(table string) bool
	// Declines, if set, reports whether others are asked to leave a table out that is not wanted.
	Declines func(table string) bool
	// Instances, if set, returns how many instances there are, as far as is known.
	Instances func() int

	wants wants
	// answered is when the first source last answered, by Now.
	answered atomic.Int64
	// unknownUntil is until when tables that are not known are awaited from
	// others, and headUntil that for a head.
	unknownUntil, headUntil time.Duration
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.unknownUntil = f.Now() + startLeast + rand.N(startMost-startLeast)
	f.headUntil = f.Now() + headLeast + rand.N(headLeast)
	f.wantAtStart()
	var all sync.WaitGroup
	for name, t := range f.Tables {
		all.Go(func() { f.followStore(ctx, name, t) })
	}
	for i := range sources {
		all.Go(func() { f.followPeer(ctx, i) })
	}
	all.Wait()
}

// Stale reports whether no source has confirmed some table lately, or has told of
// it at all in the time there was for that since the start.
func (f *Follower) Stale() bool {
	now := f.Now()
	for name, t := range f.Tables {
		if !f.counts(name, now) {
			continue
		}
		_, known := t.Version()
		if known && t.Confirmed() < now-staleAfter || !known && f.waitedLong(now) {
			return true
		}
	}
	return false
}

// waitedLong reports whether tables that are not known were awaited long enough.
func (f *Follower) waitedLong(now time.Duration) bool {
	return now >= f.unknownUntil || now >= f.headUntil && f.Peers.Head()
}

// known reports whether all tables that are wanted are known.
func (f *Follower) known() bool {
	now := f.Now()
	for name, t := range f.Tables {
		if _, known := t.Version(); !known && f.counts(name, now) {
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
		if f.counts(name, now) {
			age = max(age, now-t.Confirmed())
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
	var pause gatherPause
	for ctx.Err() == nil {
		if !f.wanted(name) {
			clock.SleepAligned(ctx, idlePoll)
			continue
		}
		if !f.Peers.Relay() && !f.Stale() {
			clock.SleepAligned(ctx, f.pollPause())
			continue
		}
		careful := failed != 0 && f.Now()-failed < carefulFor
		hold, slack := f.holdFor(failures, careful)
		changed, err := f.askStore(ctx, name, t, hold, slack)
		if ctx.Err() != nil {
			return
		}
		f.Peers.StoreCalled(err == nil)
		if (err == nil) != (failures == 0) {
			f.Log.Info().Str("table", name).Bool("answered", err == nil).AnErr("error", err).Msg("store")
		}
		if now := errors.Is(err, Behind); now != behind {
			behind = now
			f.Log.Info().Str("table", name).Bool("behind", behind).AnErr("error", err).Msg("store-behind")
		}
		if err == nil {
			failures = 0
			pause.note(changed, f.Now())
			if changed {
				clock.Sleep(ctx, pause.now)
			}
			continue
		}
		failures++
		failed = f.Now()
		first := standbyPause
		if f.Peers.Relay() {
			first = retryLeast
		}
		clock.Sleep(ctx, retryPause(first, failures))
	}
}

// holdFor returns how long the store may hold a question after so many failed
// ones, and how long after that an answer is given up. A relay asks a store that
// does not answer for an answer at once, so that it notices soon when the store is
// back: others wait for its word.
func (f *Follower) holdFor(failures int, careful bool) (hold, slack time.Duration) {
	if !f.Peers.Relay() {
		return storeWait, answerSlack
	}
	if failures > 0 {
		return 0, answerSlack
	}
	hold = relayWait + rand.N(storeWait-relayWait)
	if careful {
		return hold, answerSlack
	}
	return hold, relaySlack
}

// askStore asks one question, which the store may hold for a time. The first
// one, and one after the history is gone, reads the table whole.
func (f *Follower) askStore(ctx context.Context, name string, t *Table, hold, slack time.Duration) (changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, hold+slack)
	defer cancel()
	asked := f.Now()
	after, known := t.Version()
	var d Delta
	if known {
		d, err = f.Store.Changes(ctx, name, after, hold)
	}
	if !known || errors.Is(err, Compacted) {
		asked = f.Now()
		d, err = f.Store.Read(ctx, name)
		d.Whole = true
	}
	if err != nil {
		return false, err
	}
	if d.Whole && d.Version < after {
		return false, errors.WithType(errors.Errorf("table %s read at %d, which is behind %d", name, d.Version, after), Behind)
	}
	now := f.Now()
	if !d.Whole {
		asked = now // the answer was made when a row changed or the wait was over
	}
	d.Age = now - asked
	return t.Apply(d, now), nil
}

// followPeer asks the i-th source.
func (f *Follower) followPeer(ctx context.Context, i int) {
	failures := 0
	for ctx.Err() == nil {
		if i > 0 && f.standsBy() {
			clock.SleepAligned(ctx, idlePoll)
			continue
		}
		asked, cancel := context.WithTimeout(ctx, peerWait+answerSlack)
		d, ok, err := f.Peers.Changes(asked, i, f.question())
		cancel()
		if !ok {
			clock.SleepAligned(ctx, f.pollPause())
			continue
		}
		if err != nil {
			failures++
			clock.Sleep(ctx, f.sourcePause(failures))
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
			f.answered.Store(int64(now))
		}
		clock.Sleep(ctx, f.peerGather())
	}
}

// question returns what to ask another instance now.
func (f *Follower) question() Question {
	q := Question{After: make(map[string]int64, len(f.Tables)), Ages: make(map[string]time.Duration, len(f.Tables)), Wait: peerWait}
	now := f.Now()
	for name, t := range f.Tables {
		if f.Declines != nil && f.Declines(name) {
			q.Without = append(q.Without, name)
			continue
		}
		if v, known := t.Version(); known {
			q.After[name] = v
			q.Ages[name] = now - t.Confirmed()
		}
	}
	return q
}

// Answer answers another instance's question.
func (f *Follower) Answer(ctx context.Context, q Question) map[string]Delta {
	ctx, cancel := context.WithTimeout(ctx, q.Wait)
	defer cancel()
	if !f.knowsNewer(q.Ages) {
		f.awaitAnyNews(ctx, &q)
	}
	out := make(map[string]Delta)
	now := f.Now()
	for name, t := range f.Tables {
		if _, known := t.Version(); known && !slices.Contains(q.Without, name) {
			out[name] = t.Since(q.After[name], now)
		}
	}
	return out
}

// knowsNewer reports whether a table was confirmed since the asker heard of it last. Such a
// confirmation may have come between two questions; to wait for the next one would make the
// asker's tables look up to twice as old as they are, and those that look stale cost calls
// of the store.
func (f *Follower) knowsNewer(ages map[string]time.Duration) bool {
	now := f.Now()
	for name, age := range ages {
		if t := f.Tables[name]; t != nil && f.wanted(name) && now-t.Confirmed()+ageSlack < age {
			return true
		}
	}
	return false
}

// awaitAnyNews waits until there is news of a table for the asker, or the context
// ends.
func (f *Follower) awaitAnyNews(ctx context.Context, q *Question) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for name, t := range f.Tables {
		if slices.Contains(q.Without, name) {
			continue
		}
		go func() {
			t.AwaitNews(ctx, q.After[name])
			cancel()
		}()
	}
	<-ctx.Done()
}
