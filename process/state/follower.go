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

// ErrCompacted is returned by a source that no longer has the requested history.
const ErrCompacted = errors.ConstError("history was compacted")

// ErrBehind is returned for a response that is older than what is already known.
const ErrBehind = errors.ConstError("store is behind the local table")

// ErrConflict is returned for a write that was not carried out because a row was not at its expected
// version.
const ErrConflict = errors.ConstError("row has changed since it was read")

// Store is the origin of all rows. Its methods return an error when a call was not answered or was
// rejected.
type Store interface {
	// Read returns all rows of a table.
	Read(ctx context.Context, table string) (Delta, error)
	// Changes returns the changes after a version as soon as there are any or wait is over. It
	// returns ErrCompacted when that history is no longer available.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (Delta, error)
}

// Peers gives a follower access to the other instances.
type Peers interface {
	// Changes queries the i-th source among the other instances for changes of the tables. Ok is
	// false when there is no such source.
	Changes(ctx context.Context, i int, q Query) (d map[string]Delta, ok bool, err error)
	// Relay reports whether this instance queries the store on behalf of others.
	Relay() bool
	// Head reports whether others get the tables from this instance.
	Head() bool
	// RecordStoreCall records whether a store call was answered.
	RecordStoreCall(answered bool)
}

// Query is a long poll of one instance at another for changes.
type Query struct {
	// After are the versions that the requester has, by table; absent: none.
	After map[string]int64
	// Ages are the times since these were confirmed, as far as the requester knows.
	Ages map[string]time.Duration
	// Excluded are tables that the requester does not need.
	Excluded []string
	// Wait is how long the query may be held until there are changes.
	Wait time.Duration
}

// Timing of replication.
const (
	// maxStorePoll is the maximum time that the store may hold a query.
	maxStorePoll = 2 * time.Second
	// minRelayPoll is the minimum time that it may hold a relay's query. The actual time is random
	// between the two, so that when the store stops answering several relays at once, the first of
	// them notices soon and another instance takes over.
	minRelayPoll = 1200 * time.Millisecond
	// relayResponseSlack is how long after its poll time a relay gives up waiting for a response,
	// unless a query failed less than cautiousFor ago: the store may be slow.
	relayResponseSlack = 400 * time.Millisecond
	cautiousFor        = 10 * time.Second
	// peerPoll is how long another instance may hold a query.
	peerPoll = time.Second
	// minAgeGain is how much newer than the requester's a confirmation must be to be reported at
	// once. Queries of relays are held for at least minRelayPoll, so that two confirmations are
	// further apart than this; a smaller difference is transmission time.
	minAgeGain = 500 * time.Millisecond
	// responseSlack is how long after its poll time a query is given up.
	responseSlack = 700 * time.Millisecond
	// staleAfter is the age of a table from which an instance queries the store itself.
	staleAfter = 2700 * time.Millisecond
	// minBatchDelay and maxBatchDelay bound how long a follower lets changes accumulate before the
	// next query: the minimum while changes are rare, up to the maximum while each response contains
	// some, as when many backend servers start. This saves a relay store calls.
	minBatchDelay = 60 * time.Millisecond
	maxBatchDelay = 480 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed query, which doubles with
	// each further failure.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// standbyRetryDelay is the delay after the first failed query of an instance that queries the
	// store only because no peer responds.
	standbyRetryDelay = 400 * time.Millisecond
	// peerSources is the number of other instances that an instance queries concurrently.
	peerSources = 2
	// minStartWait and maxStartWait bound how long after its start an instance waits for the tables
	// from others before it queries the store itself. The time is random, so that when all start
	// at once a few instances read the tables for all.
	minStartWait = 1500 * time.Millisecond
	maxStartWait = 3 * time.Second
	// minHeadWait is the minimum of that time for a head; the maximum is twice as long. A running
	// relay responds sooner; one without power gives no response for 0.4 s.
	minHeadWait = 40 * time.Millisecond
	// idleInterval is the interval at which a follower checks whether it has to query the store,
	// and startInterval that at which it looks for another instance to query while tables are
	// unknown.
	idleInterval  = 250 * time.Millisecond
	startInterval = 20 * time.Millisecond
	// subscribeGrace is how long others have to deliver a newly subscribed table before it counts as
	// unknown or stale: the others subscribe at about the same time, and the relay queries the
	// store for it almost at once.
	subscribeGrace = 3 * time.Second
)

// Follower keeps tables up to date. The exported fields are set before Run.
type Follower struct {
	Store  Store
	Peers  Peers
	Tables map[string]*Table
	Log    zerolog.Logger
	Now    func() time.Duration
	// Subscribed reports whether a table is to be kept up to date. While it is not, the store is
	// not queried for it, and it counts neither as unknown nor as stale; rows that others send are
	// applied all the same. Nil: all tables are, always.
	Subscribed func(table string) bool
	// Excluded, if set, reports whether queries to others exclude a table, since it is not needed.
	Excluded func(table string) bool
	// Instances, if set, returns the number of instances, as far as it is known.
	Instances func() int

	subscriptions subscriptions
	// primaryRespondedAt is when the first (primary) peer source last responded, by Now.
	primaryRespondedAt atomic.Int64
	// startWaitUntil is the time until which unknown tables are awaited from others, and
	// headWaitUntil that for a head.
	startWaitUntil, headWaitUntil time.Duration
}

// Run follows the tables until the context is done.
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

// Stale reports whether some required table has not been confirmed by any source lately, or is still
// unknown after the start wait.
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

// startWaitOver reports whether unknown tables have been awaited for long enough.
func (f *Follower) startWaitOver(now time.Duration) bool {
	return now >= f.startWaitUntil || now >= f.headWaitUntil && f.Peers.Head()
}

// allKnown reports whether all required tables are known.
func (f *Follower) allKnown() bool {
	now := f.Now()
	for name, t := range f.Tables {
		if _, known := t.Version(); !known && f.required(name, now) {
			return false
		}
	}
	return true
}

// Age returns the time since the confirmation of the required table that was confirmed the longest ago.
// It is meaningless until all of them are known.
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

// followStore queries the store for a table while the instance subscribes to it and is a relay or
// stale.
func (f *Follower) followStore(ctx context.Context, name string, t *Table) {
	failures := 0
	lastFailure := time.Duration(0) // when a query last failed; zero: never
	behind := false                 // the last response was at a version below the known one
	var delay batchDelay
	for ctx.Err() == nil {
		if !f.subscribed(name) {
			clock.SleepAligned(ctx, idleInterval)
			continue
		}
		if !f.Peers.Relay() && !f.Stale() {
			clock.SleepAligned(ctx, f.pollInterval())
			continue
		}
		careful := lastFailure != 0 && f.Now()-lastFailure < cautiousFor
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
			delay.update(changed, f.Now())
			if changed {
				clock.Sleep(ctx, delay.current)
			}
			continue
		}
		failures++
		lastFailure = f.Now()
		first := standbyRetryDelay
		if f.Peers.Relay() {
			first = minRetryDelay
		}
		clock.Sleep(ctx, retryDelay(first, failures))
	}
}

// pollTimes returns how long the store may hold a query after a number of consecutive failures, and
// how long after that to wait for the response. While the store does not answer, a relay sends queries
// that are not held, so that it soon notices when the store is back: others wait for its updates.
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

// queryStore sends one query, which the store may hold. The first one, and one after the history was
// compacted, reads the full table.
func (f *Follower) queryStore(ctx context.Context, name string, t *Table, hold, slack time.Duration) (changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, hold+slack)
	defer cancel()
	queriedAt := f.Now()
	after, known := t.Version()
	var d Delta
	if known {
		d, err = f.Store.Changes(ctx, name, after, hold)
	}
	if !known || errors.Is(err, ErrCompacted) {
		queriedAt = f.Now()
		d, err = f.Store.Read(ctx, name)
		d.Full = true
	}
	if err != nil {
		return false, err
	}
	if d.Full && d.Version < after {
		return false, errors.WithType(errors.Errorf("table %s was read at version %d, which is behind version %d", name, d.Version, after), ErrBehind)
	}
	now := f.Now()
	if !d.Full {
		queriedAt = now // the response was made when a row changed or the wait was over
	}
	d.Age = now - queriedAt
	return t.Apply(d, now), nil
}

// followPeer queries the i-th source among the other instances.
func (f *Follower) followPeer(ctx context.Context, i int) {
	failures := 0
	for ctx.Err() == nil {
		if i > 0 && f.onStandby() {
			clock.SleepAligned(ctx, idleInterval)
			continue
		}
		queryCtx, cancel := context.WithTimeout(ctx, peerPoll+responseSlack)
		d, ok, err := f.Peers.Changes(queryCtx, i, f.query())
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
			f.primaryRespondedAt.Store(int64(now))
		}
		clock.Sleep(ctx, f.peerBatchDelay())
	}
}

// query returns the query to send to another instance now.
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

// Respond returns the response to the query of another instance.
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

// hasNewerConfirmation reports whether a table was confirmed since the last confirmation that the
// requester knows of. That may have happened between two of its queries; if it had to wait for the
// next confirmation, its tables would look up to twice as old as they are, and instances whose tables
// look stale query the store.
func (f *Follower) hasNewerConfirmation(ages map[string]time.Duration) bool {
	now := f.Now()
	for name, age := range ages {
		if t := f.Tables[name]; t != nil && f.subscribed(name) && now-t.ConfirmedAt()+minAgeGain < age {
			return true
		}
	}
	return false
}

// awaitAnyUpdate waits until any table has an update for the requester, or the context is done.
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
