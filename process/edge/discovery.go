// SPDX-License-Identifier: MIT

package edge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"time"

	"github.com/juju/errors"

	"shalewick/clock"
	"shalewick/process/cluster"
	"shalewick/process/state"
)

// Times of instance rows and of the discovery of other instances.
const (
	storeTimeout   = 2 * time.Second // of one call of the store
	rereadInterval = time.Minute
	// minRereadInterval is the interval while no other instance has been seen: all may have read the
	// rows before any had written its own. It doubles.
	minRereadInterval = time.Second
	minRetryPause     = 100 * time.Millisecond // after a failure; doubles
	firstSeedPause    = 300 * time.Millisecond // before the seeds are queried; doubles
	maxRetryPause     = 2 * time.Second
)

// smallFleet is the number of instances up to which each one reads the rows of all others and
// announces itself to all of them. In a larger fleet the cost of a start of all instances would
// grow with the square of their number: there an instance reads some rows, announces itself to some
// instances, and follows the table of instances along the distribution tree.
const smallFleet = cluster.MaxSmallFleet

// register keeps this instance registered until staying ends, and deletes its row then. Nothing else changes the row, so none of its
// writes can arrive after the deletion.
func (e *Edge) register(ctx, staying context.Context) {
	e.keepRegistered(ctx, staying)
	e.unregister(ctx)
}

// keepRegistered writes this instance's row and reads those of the others, and reads them again at
// intervals. At the first start of the whole system it writes first, so that of two instances that
// start at the same time at least one finds the other. Otherwise the rows of the others are
// present, and reading them first provides the tables sooner. A write that has begun is completed when staying ends.
func (e *Edge) keepRegistered(ctx, staying context.Context) {
	written, read := false, false
	pause, reread := minRetryPause, minRereadInterval
	for staying.Err() == nil {
		if e.settings.First && !written {
			written = e.storeCall(ctx, e.writeInstanceRow) == nil
		}
		if !read {
			read = e.storeCall(staying, e.readInstanceRows) == nil
		}
		if !written && staying.Err() == nil {
			written = e.storeCall(ctx, e.writeInstanceRow) == nil
		}
		if written && read {
			read = e.followsInstances.Load() // the table is followed, so the rows need not be read again
			pause = minRetryPause
			written = !e.awaitReread(staying, reread)
			reread = min(2*reread, rereadInterval)
			continue
		}
		clock.Sleep(staying, pause/2+rand.N(pause))
		pause = min(2*pause, maxRetryPause)
	}
}

// unregister deletes this instance's row, until that succeeds or the context ends.
func (e *Edge) unregister(ctx context.Context) {
	for pause := minRetryPause; ctx.Err() == nil; pause = min(2*pause, maxRetryPause) {
		err := e.storeCall(ctx, func(ctx context.Context) error {
			return e.deployment.Store.Delete(ctx, e.deployment.InstanceTable, e.settings.Instance)
		})
		if err == nil {
			return
		}
		e.log.Info().Err(err).Msg("row-not-deleted")
		clock.Sleep(ctx, pause)
	}
}

// awaitReread waits until the rows have to be read again, for a shorter time if no other instance has
// been seen, and reports whether this instance's row has to be written again before.
func (e *Edge) awaitReread(ctx context.Context, whileAlone time.Duration) bool {
	interval := rereadInterval
	if !e.members.AnySeen() {
		interval = whileAlone
	}
	select {
	case <-e.rowLost:
		clock.Sleep(ctx, rand.N(maxRetryPause)) // spreads the writes, since all instances write again
		return true
	case <-time.After(interval):
	case <-ctx.Done():
	}
	return false
}

func (e *Edge) writeInstanceRow(ctx context.Context) error {
	value, err := json.Marshal(e.members.Self())
	if err != nil {
		return errors.Trace(err)
	}
	return e.deployment.Store.Put(ctx, e.deployment.InstanceTable, e.settings.Instance, value)
}

func (e *Edge) readInstanceRows(ctx context.Context) error {
	rows, more, err := e.deployment.Store.ReadPage(ctx, e.deployment.InstanceTable, "", smallFleet)
	if err != nil {
		return err
	}
	if more {
		e.followsInstances.Store(true)
		adjacent, _, err := e.deployment.Store.ReadPage(ctx, e.deployment.InstanceTable, e.settings.Instance, smallFleet)
		if err != nil {
			return err
		}
		rows = append(rows, adjacent...) // adjacent names mostly belong to the same hall
	}
	first := !e.members.Listed()
	e.mergeInstanceRows(rows)
	e.members.MarkListed()
	if first {
		e.heartbeats.Announce()
	}
	return nil
}

// mergeInstanceRows adds the instances in the rows to the known ones.
func (e *Edge) mergeInstanceRows(rows []state.Row) {
	list := make([]cluster.Member, 0, len(rows))
	for _, r := range rows {
		m, err := parseInstance(r)
		if err != nil {
			e.instanceRowSkipped(err)
			continue
		}
		list = append(list, m)
	}
	e.members.Merge(false, list...)
}

// parseInstance returns the instance in a row. Rows may be written by anyone: one that names another
// instance, or an address that can't be called, would hide a live instance or draw calls.
func parseInstance(r state.Row) (m cluster.Member, rowErr *state.RowError) {
	if err := json.Unmarshal(r.Value, &m); err != nil {
		return m, &state.RowError{Key: r.Key, Reason: reasonUnreadable, Err: err}
	}
	fail := func(format string, args ...any) (cluster.Member, *state.RowError) {
		return cluster.Member{}, &state.RowError{Key: r.Key, Reason: reasonValue, Err: errors.Errorf(format, args...)}
	}
	if m.Name == "" || m.Name != r.Key {
		return fail("it names instance %.60q", m.Name)
	}
	for _, address := range []string{m.Peer, m.Front} {
		at, err := netip.ParseAddrPort(address)
		if err != nil || at.Port() == 0 || at.Addr().IsUnspecified() || at.Addr().IsMulticast() {
			return fail("address %.60q can't be called", address)
		}
	}
	if m.Hall == "" || m.Region == "" {
		return fail("hall %.60q or region %.60q is missing", m.Hall, m.Region)
	}
	if m.Link < 0 || m.Cores < 0 {
		return fail("link %g or cores %g is negative", m.Link, m.Cores)
	}
	return m, nil
}

// maxSkippedInstances bounds the number of rows that are remembered as logged.
const maxSkippedInstances = 1000

// instanceRowSkipped logs and counts the row of an instance that can't be used, once for each reason: rows are
// read again at intervals.
func (e *Edge) instanceRowSkipped(err *state.RowError) {
	e.skippedInstancesMu.Lock()
	known := e.skippedInstances[err.Key] == err.Error()
	if e.skippedInstances == nil || len(e.skippedInstances) >= maxSkippedInstances {
		e.skippedInstances = make(map[string]string)
	}
	e.skippedInstances[err.Key] = err.Error()
	e.skippedInstancesMu.Unlock()
	if known {
		return
	}
	e.metrics.Counter("instance_rows_skipped_total{reason=" + strconv.Quote(err.Reason) + "}").Inc(1)
	e.log.Warn().Err(err.Err).Str("row", err.Key).Str("reason", err.Reason).Msg("instance-row-skipped")
}

// followInstances merges changes of the table of instances, if it is followed, until the context
// ends. A deleted row is ignored: an instance that stops announces that itself, and a late delete
// may remove the row of its next start.
func (e *Edge) followInstances(ctx context.Context) {
	table := e.follower.Tables[e.deployment.InstanceTable]
	var before []state.Row
	for ctx.Err() == nil {
		changed := table.Changed()
		rows := table.Rows()
		e.mergeInstanceRows(changedRows(before, rows))
		before = rows
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// changedRows returns the rows in now that before lacks or has in another version. Both lists are
// ordered by key.
func changedRows(before, now []state.Row) (out []state.Row) {
	for _, r := range now {
		for len(before) > 0 && before[0].Key < r.Key {
			before = before[1:]
		}
		if len(before) == 0 || before[0].Key != r.Key || before[0].Version != r.Version {
			out = append(out, r)
		}
	}
	return out
}

// storeCall makes a call of the store that is limited to storeTimeout.
func (e *Edge) storeCall(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := f(ctx)
	if err != nil {
		e.log.Debug().Err(err).Msg("store-call-failed")
	}
	return err
}

// querySeeds discovers other instances through the seeds while the store provides none, until there
// is a configuration.
func (e *Edge) querySeeds(ctx context.Context) {
	pause := firstSeedPause
	for e.table.Routing() == nil && clock.Sleep(ctx, pause) {
		pause = min(2*pause, maxRetryPause)
		if e.members.Listed() && len(e.members.Sources()) > 0 {
			continue
		}
		for _, seed := range e.settings.Seeds {
			if seed != e.settings.Control {
				e.querySeed(ctx, seed)
			}
		}
	}
}

// queryPeer fetches the known instances of another instance.
func (e *Edge) queryPeer(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	err := e.peers.FetchMembers(ctx, address)
	e.log.Info().Str("from", address).AnErr("error", err).Int("live", len(e.members.Live())).Msg("instances-asked")
}

// querySeed fetches the known instances of a seed, and announces this instance to them.
func (e *Edge) querySeed(ctx context.Context, seed string) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := e.peers.FetchMembers(ctx, seed); err != nil {
		e.log.Debug().Err(err).Str("seed", seed).Msg("seed-failed")
		return
	}
	e.heartbeats.Announce()
}
