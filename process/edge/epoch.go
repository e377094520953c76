// SPDX-License-Identifier: MIT

package edge

import (
	"context"
	"time"

	"shalewick/clock"
	"shalewick/process/state"
	"shalewick/version"
)

const (
	// holdOperator is how long what the operator had written is held, unless it is written again,
	// when the store comes back from an older copy.
	holdOperatorRows = 10 * time.Second
	// holdBackends is that time for backend servers that the copy has as they were before: one that
	// has died lapses in the store before.
	holdBackendRows = 10 * time.Second
	// watchEpochPause is the pause between two looks at the epoch of the store.
	watchEpochInterval = 250 * time.Millisecond
	// lostWithin is how long before a copy at most what it lacks was written.
	maxSnapshotAge = time.Minute
)

// epoch returns the newest epoch of the store that the instance knows, by itself or from others.
func (e *Edge) epoch() int64 {
	newest := e.deployment.Store.Epoch()
	for _, t := range e.follower.Tables {
		v, _ := t.Version()
		newest = max(newest, state.Epoch(v))
	}
	return newest
}

// watchEpoch writes again what the store has lost of this instance whenever it has come back from
// an older copy, until the context ends.
func (e *Edge) watchEpoch(ctx context.Context) {
	known := e.epoch()
	for clock.SleepAligned(ctx, watchEpochInterval) {
		now := e.epoch()
		if now == known {
			continue
		}
		if known != 0 {
			e.onStoreRollback(known, now)
		}
		known = now
	}
}

// storeWentBack lets what the store may have lost be written again.
func (e *Edge) onStoreRollback(from, to int64) {
	held := 0
	for _, t := range e.follower.Tables {
		held += len(t.Held())
	}
	e.log.Info().Int64("from", from).Int64("to", to).Int("held", held).Msg("store-went-back")
	e.storedEntries.reset()
	if !e.followsInstances.Load() || e.uptime() < maxSnapshotAge {
		select {
		case e.rewriteRow <- struct{}{}:
		default: // it is about to
		}
	}
}

// laterStarts puts the start of a backend server that was known before in the place of an earlier
// one, which a copy has: the instance may have come after that one ended, and would take it for
// new. Both lists are ordered by name.
func keepLaterStarts(now, before []*version.Announced) {
	for i, x := range now {
		for len(before) > 0 && before[0].Name < x.Name {
			before = before[1:]
		}
		if len(before) == 0 {
			return
		}
		known := before[0]
		if known.Name == x.Name && x.Backend.Incarnation != 0 && x.Backend.Incarnation < known.Backend.Incarnation {
			now[i] = known
		}
	}
}

// recordsBehind reports whether the records of roll-outs are known from an epoch that is over, so
// that the store may lack them.
func (e *Edge) recordsOutdated() bool {
	v, known := e.records().Version()
	return known && state.Epoch(v) < e.deployment.Store.Epoch()
}
