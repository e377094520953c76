// SPDX-License-Identifier: MIT

package edge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"shalewick/clock"
	"shalewick/process/cluster"
	"shalewick/process/state"
)

// Times of the instances' rows and of the search for other instances.
const (
	storeTimeout   = 2 * time.Second // of one call of the store
	rereadInterval = time.Minute
	minRetryPause  = 100 * time.Millisecond // after a failure; it doubles
	firstSeedPause = 300 * time.Millisecond // until the seeds are asked; it doubles
	maxRetryPause  = 2 * time.Second
)

// smallFleet is the number of instances up to which each reads the rows of all, and tells all of
// itself. In a larger fleet that would grow with its square when all start: there an instance
// reads some rows and tells some, and follows the table of instances along the tree.
const smallFleet = cluster.MostIntroduced

// introduce writes the own row and reads those of the others, and reads them
// again now and then. When all start for the first time it writes first, so that
// of two instances that start together at least one finds the other. Otherwise
// the rows of the others are there, and reading first brings the tables sooner.
func (e *Edge) register(ctx context.Context) {
	written, read := false, false
	pause := minRetryPause
	for ctx.Err() == nil {
		if e.settings.First && !written {
			written = e.storeCall(ctx, e.writeRow) == nil
		}
		if !read {
			read = e.storeCall(ctx, e.readRows) == nil
		}
		if !written {
			written = e.storeCall(ctx, e.writeRow) == nil
		}
		if written && read {
			read = e.followsInstances.Load() // then there is nothing to read again
			pause = minRetryPause
			written = !e.awaitReread(ctx)
			continue
		}
		clock.Sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, maxRetryPause)
	}
}

// awaitsIntroduction waits until rows are read again, and reports whether the own one has to be
// written again before.
func (e *Edge) awaitReread(ctx context.Context) bool {
	select {
	case <-e.rewriteRow:
		clock.Sleep(ctx, rand.N(maxRetryPause)) // all others write as well
		return true
	case <-time.After(rereadInterval):
	case <-ctx.Done():
	}
	return false
}

func (e *Edge) writeRow(ctx context.Context) error {
	value, err := json.Marshal(e.members.Self())
	if err != nil {
		return errors.Trace(err)
	}
	return e.deployment.Store.Put(ctx, e.deployment.InstanceTable, e.settings.Instance, value)
}

func (e *Edge) readRows(ctx context.Context) error {
	rows, more, err := e.deployment.Store.ReadSome(ctx, e.deployment.InstanceTable, "", smallFleet)
	if err != nil {
		return err
	}
	if more {
		e.followsInstances.Store(true)
		near, _, err := e.deployment.Store.ReadSome(ctx, e.deployment.InstanceTable, e.settings.Instance, smallFleet)
		if err != nil {
			return err
		}
		rows = append(rows, near...) // names that follow each other are mostly of one hall
	}
	first := !e.members.KnowsOthers()
	e.mergeInstanceRows(rows)
	e.members.Read()
	if first {
		e.heartbeats.SendAll()
	}
	return nil
}

// learnRows takes up rows of instances.
func (e *Edge) mergeInstanceRows(rows []state.Row) {
	list := make([]cluster.Member, 0, len(rows))
	for _, r := range rows {
		var m cluster.Member
		if err := json.Unmarshal(r.Value, &m); err != nil {
			e.log.Warn().Err(err).Str("row", r.Key).Msg("instance-row-skipped")
			continue
		}
		list = append(list, m)
	}
	e.members.Learn(false, list...)
}

// followInstances takes up what the table of instances says, if it is followed, until the
// context ends. A row that is gone says nothing: who stops tells that itself, and a late removal
// may meet the row of its next start.
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

// changedRows returns the rows of a list that an earlier one does not have as they are. Both are
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

// storeCall makes one call of the store within a bounded time.
func (e *Edge) storeCall(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := f(ctx)
	if err != nil {
		e.log.Debug().Err(err).Msg("store-call-failed")
	}
	return err
}

// askSeeds learns other instances from the seeds while the store does not tell
// them, until there is a configuration.
func (e *Edge) querySeeds(ctx context.Context) {
	pause := firstSeedPause
	for e.table.Routing() == nil && clock.Sleep(ctx, pause) {
		pause = min(2*pause, maxRetryPause)
		if e.members.KnowsOthers() && len(e.members.Sources()) > 0 {
			continue
		}
		for _, seed := range e.settings.Seeds {
			if seed != e.settings.Control {
				e.querySeed(ctx, seed)
			}
		}
	}
}

// askPeer asks one instance which others there are.
func (e *Edge) queryPeer(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	err := e.peers.Fetch(ctx, address)
	e.log.Info().Str("from", address).AnErr("error", err).Int("live", len(e.members.Live())).Msg("instances-asked")
}

// askSeed asks one instance which others there are, and tells them of this one.
func (e *Edge) querySeed(ctx context.Context, seed string) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := e.peers.Fetch(ctx, seed); err != nil {
		e.log.Debug().Err(err).Str("seed", seed).Msg("seed-failed")
		return
	}
	e.heartbeats.SendAll()
}
