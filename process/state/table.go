// SPDX-License-Identifier: MIT

package state

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"
)

// Row is one row of a table.
type Row struct {
	Key   string `json:"k"`
	Value []byte `json:"v,omitempty"`
	// Version is that of the transaction that wrote or deleted the row.
	Version int64 `json:"n"`
	// Deleted marks a tombstone.
	Deleted bool `json:"g,omitempty"`
}

// Delta is the changes of a table after some version.
type Delta struct {
	Rows []Row `json:"rows,omitempty"`
	// Version is the version up to which the delta is complete.
	Version int64 `json:"version"`
	// Full says that Rows are all rows of the table.
	Full bool `json:"whole,omitempty"`
	// Age is the time since the store sent or confirmed it.
	Age time.Duration `json:"age,omitempty"`
}

// epoch returns the epoch of a delta.
func (d *Delta) epoch() int64 {
	newest := d.Version
	for _, r := range d.Rows {
		newest = max(newest, r.Version)
	}
	return Epoch(newest)
}

// outageAfter is the time without a confirmation after which the store counts as having been down.
// Queries are held for at most maxStorePoll, so a store that is up confirms a table more often.
const outageAfter = staleAfter

// tombstoneTTL is how long a deleted row is remembered, for the deltas sent to others.
const tombstoneTTL = time.Minute

// Table is the local replica of a table. Use NewTable.
type Table struct {
	mu               sync.Mutex
	rows             map[string]Row // including tombstones, for tombstoneTTL
	deletedAt        map[string]time.Duration
	floor            int64 // deletions up to this version may have been pruned
	unseen           versionGap
	version          int64
	confirmedAt      time.Duration // when the store last confirmed version as the newest
	storeRecoveredAt time.Duration // when it last did so after an outage; zero: never
	known            bool
	updated          chan struct{} // closed when the version increases or is confirmed again
	changed          chan struct{} // closed when a row changes
	// sorted are the rows by key as of the last call of Rows, and dirty the keys that have
	// changed since.
	sorted []Row
	dirty  map[string]struct{}
	// The fields below handle a store that is restored from an older copy.
	now                time.Duration // of the last delta
	retention          *Retention    // nil: nothing is retained
	retained           *retainedRows // nil: there are none
	retentionCheckedAt time.Duration // when expiry was last checked
	history            map[string][]pastVersion
	historyPrunedAt    time.Duration
}

// NewTable returns an empty table whose content is unknown.
func NewTable() *Table {
	return &Table{
		rows: make(map[string]Row), deletedAt: make(map[string]time.Duration), dirty: make(map[string]struct{}),
		updated: make(chan struct{}), changed: make(chan struct{}), history: make(map[string][]pastVersion),
	}
}

// NewRetainingTable returns a table like NewTable that retains its rows when the store is restored from
// an older copy.
func NewRetainingTable(h Retention) *Table {
	t := NewTable()
	t.retention = &h
	return t
}

// Apply applies a delta received at the given time of the process's clock. It reports whether a row
// changed.
func (t *Table) Apply(d Delta, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.now = max(t.now, now)
	changed := t.expireRetention(t.now)
	changed = t.apply(d, now) || changed
	return changed
}

// apply applies a delta. The caller holds the lock.
func (t *Table) apply(d Delta, now time.Duration) bool {
	if d.Full && d.Version < t.version {
		return false // read from a replica that lags behind
	}
	changed := false
	newEpoch := false // whether this delta begins one
	switch epoch, known := d.epoch(), Epoch(t.version); {
	case epoch < known:
		return false // from a history that the store has lost
	case epoch > known && t.known && d.Full:
		t.beginEpoch(d.Version, now)
		newEpoch, changed = true, true
	case epoch > known && t.known && d.Version != 0:
		return false // deletions of the new epoch are unknown without a full delta
	}
	for _, r := range d.Rows {
		changed = t.applyRow(r, now) || changed
	}
	if d.Full {
		changed = t.deleteMissing(d, now) || changed
	}
	if newEpoch {
		t.findReverted(now)
	}
	advanced := d.Version > t.version
	firstFull := d.Full && !t.known
	if firstFull {
		t.floor = d.Version // earlier deletions are unknown
	} else if d.Full && !newEpoch {
		t.unseen.add(t.version, d.Version, now)
	}
	t.version = max(t.version, d.Version)
	t.known = t.known || d.Full
	before := t.confirmedAt
	if d.Version >= t.version {
		t.confirmAt(now, now-d.Age)
	}
	t.pruneTombstones(now)
	t.pruneHistory(now)
	if changed || advanced || t.confirmedAt > before {
		close(t.updated)
		t.updated = make(chan struct{})
	}
	if changed || firstFull {
		close(t.changed)
		t.changed = make(chan struct{})
	}
	return changed
}

// versionGap is the range of versions between which a table was read in full: rows written and deleted
// within it were never seen.
type versionGap struct {
	from, to int64
	at       time.Duration
}

// add adds a full read at a version by a table that was at an older one. A gap is forgotten together
// with the tombstones of its time.
func (g *versionGap) add(from, to int64, now time.Duration) {
	if g.to == 0 || now-g.at > tombstoneTTL {
		g.from = from
	}
	g.from, g.to, g.at = min(g.from, from), to, now
}

// contains reports whether a table that is complete up to a version may have rows that this one never saw.
func (g *versionGap) contains(version int64) bool { return version > g.from && version < g.to }

// confirmAt records that the store confirmed the version as the newest at some time.
func (t *Table) confirmAt(now, confirmedAt time.Duration) {
	if t.confirmedAt != 0 && confirmedAt-t.confirmedAt > outageAfter {
		t.storeRecoveredAt = now
	}
	t.confirmedAt = max(t.confirmedAt, confirmedAt)
}

func (t *Table) applyRow(r Row, now time.Duration) bool {
	old, ok := t.rows[r.Key]
	if ok && old.Version >= r.Version {
		return false
	}
	if !ok && r.Deleted && r.Version <= t.floor {
		return false
	}
	if ok && !old.Deleted {
		t.addHistory(old, now)
	}
	t.rows[r.Key] = r
	t.dirty[r.Key] = struct{}{}
	delete(t.deletedAt, r.Key)
	if r.Deleted {
		t.deletedAt[r.Key] = now
	}
	return true
}

// deleteMissing deletes the rows that a full delta does not contain.
func (t *Table) deleteMissing(d Delta, now time.Duration) bool {
	present := make(map[string]bool, len(d.Rows))
	for _, r := range d.Rows {
		present[r.Key] = true
	}
	changed := false
	for key, r := range t.rows {
		if present[key] || r.Deleted || r.Version > d.Version {
			continue
		}
		t.addHistory(r, now)
		t.rows[key] = Row{Key: key, Version: d.Version, Deleted: true}
		t.dirty[key] = struct{}{}
		t.deletedAt[key] = now
		changed = true
	}
	return changed
}

// pruneTombstones drops expired tombstones.
func (t *Table) pruneTombstones(now time.Duration) {
	for key, at := range t.deletedAt {
		if now-at > tombstoneTTL {
			t.floor = max(t.floor, t.rows[key].Version)
			delete(t.rows, key)
			delete(t.deletedAt, key)
		}
	}
}

// Since returns the changes after a version. Now determines its age.
func (t *Table) Since(after int64, now time.Duration) Delta {
	t.mu.Lock()
	defer t.mu.Unlock()
	whole := after < t.floor || after == 0 || t.unseen.contains(after) || Epoch(after) < Epoch(t.version)
	d := Delta{Version: t.version, Age: now - t.confirmedAt, Full: whole}
	for _, r := range t.rows {
		if d.Full && !r.Deleted || !d.Full && r.Version > after {
			d.Rows = append(d.Rows, r)
		}
	}
	return d
}

// Rows returns the effective rows by key: the existing ones, and those that are retained. Callers share
// the slice and must not modify it.
func (t *Table) Rows() []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refreshSorted(t.now)
	return t.sorted
}

// refreshSorted updates sorted. Runs of unchanged rows are copied instead of looked up. The caller holds
// the lock.
func (t *Table) refreshSorted(now time.Duration) {
	if len(t.dirty) == 0 {
		return
	}
	before := t.sorted
	t.sorted = make([]Row, 0, len(before)+len(t.dirty))
	for _, key := range slices.Sorted(maps.Keys(t.dirty)) {
		n, exists := slices.BinarySearchFunc(before, key, func(r Row, key string) int { return cmp.Compare(r.Key, key) })
		t.sorted = append(t.sorted, before[:n]...)
		if exists {
			n++
		}
		before = before[n:]
		if r, exists := t.effective(key, now); exists {
			t.sorted = append(t.sorted, r)
		}
	}
	t.sorted = append(t.sorted, before...)
	clear(t.dirty)
}

// Len returns the number of rows, including tombstones.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows)
}

// Reset discards the content of the table, which is unknown afterwards.
func (t *Table) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.rows)
	clear(t.deletedAt)
	clear(t.dirty)
	clear(t.history)
	t.retained = nil
	t.sorted, t.known, t.version, t.floor, t.confirmedAt, t.storeRecoveredAt = nil, false, 0, 0, 0, 0
}

// Version returns the version up to which the table is complete, and whether it was ever read in full.
func (t *Table) Version() (int64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version, t.known
}

// ConfirmedAt returns when the store last confirmed the table, on the process's clock.
func (t *Table) ConfirmedAt() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmedAt
}

// StoreRecoveredAt returns when the store last confirmed the table after an outage, on the process's
// clock; zero: never.
func (t *Table) StoreRecoveredAt() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.storeRecoveredAt
}

// Changed returns a channel that is closed when a row changes, or when the table is first known in full.
// The version increases far more often, with every transaction of the store in any table, and requires
// no action.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// AwaitUpdate waits until the version is above after or was confirmed again, or until the context is
// done. With it confirmations pass along a chain of instances in little more than the transmission time.
func (t *Table) AwaitUpdate(ctx context.Context, after int64) {
	t.mu.Lock()
	version, updated := t.version, t.updated
	t.mu.Unlock()
	if version > after {
		return
	}
	select {
	case <-updated:
	case <-ctx.Done():
	}
}

// AwaitVersion waits until the version is above after, or until the context is done.
func (t *Table) AwaitVersion(ctx context.Context, after int64) {
	for {
		t.mu.Lock()
		version, advanced := t.version, t.updated
		t.mu.Unlock()
		if version > after {
			return
		}
		select {
		case <-advanced:
		case <-ctx.Done():
			return
		}
	}
}
