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
	// operatorRowRetention is how long rows of the operator that a restored store has lost, or has in
	// an older version, are kept unless they are written again.
	operatorRowRetention = 10 * time.Second
	// backendRowRetention is the same for rows of backend servers that a restored store has in an older
	// version: the row of a backend server that is down expires in the store before that.
	backendRowRetention = 10 * time.Second
	// watchEpochInterval is the pause between two checks of the store's epoch.
	watchEpochInterval = 250 * time.Millisecond
	// maxSnapshotAge bounds the age of the copy that a store is restored from: what the store
	// lost was written at most this long before.
	maxSnapshotAge = time.Minute
)

// epoch returns the newest epoch of the store that the instance knows of, itself or from others.
func (e *Edge) epoch() int64 {
	newest := e.deployment.Store.Epoch()
	for _, t := range e.follower.Tables {
		v, _ := t.Version()
		newest = max(newest, state.Epoch(v))
	}
	return newest
}

// watchEpoch writes again what the store has lost of this instance's data whenever it was restored
// from an older copy, until the context ends.
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

// onStoreRollback has the data that the store may have lost written again.
func (e *Edge) onStoreRollback(from, to int64) {
	held := 0
	for _, t := range e.follower.Tables {
		held += len(t.Retained())
	}
	e.log.Info().Int64("from", from).Int64("to", to).Int("held", held).Msg("store-went-back")
	e.storedEntries.reset()
	if !e.followsInstances.Load() || e.uptime() < maxSnapshotAge {
		select {
		case e.rowLost <- struct{}{}:
		default: // a write is already pending
		}
	}
}

// keepLaterStarts replaces each backend server in now by the one in before if that started later. A
// restored store may have the row of an earlier start, and an instance that was not running when
// that one ended would take it for a new backend server. Both lists are ordered by name.
func keepLaterStarts(now, before []*version.AnnouncedBackend) {
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

// recordsOutdated reports whether the records of rollouts are known from an earlier epoch of the
// store, so that the store may lack some of them.
func (e *Edge) recordsOutdated() bool {
	v, known := e.records().Version()
	return known && state.Epoch(v) < e.deployment.Store.Epoch()
}
