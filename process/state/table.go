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
	// Version is that of the transaction that wrote or removed the row.
	Version int64 `json:"n"`
	// Gone marks a row that was removed.
	Deleted bool `json:"g,omitempty"`
}

// Delta is what changed in a table after some version.
type Delta struct {
	Rows []Row `json:"rows,omitempty"`
	// Version is the one up to which the delta is complete.
	Version int64 `json:"version"`
	// Whole says that Rows are all the rows of the table.
	Full bool `json:"whole,omitempty"`
	// Age is how long ago the store said so.
	Age time.Duration `json:"age,omitempty"`
}

// epoch returns the epoch that a delta is of.
func (d *Delta) epoch() int64 {
	newest := d.Version
	for _, r := range d.Rows {
		newest = max(newest, r.Version)
	}
	return Epoch(newest)
}

// awayAfter is the time without a word of the store from which it counts as
// having been away. Questions are held for up to storeWait, so a store that
// answers confirms a table more often than that.
const outageAfter = staleAfter

// goneKept is how long a removed row is remembered, for the deltas of others.
const tombstoneTTL = time.Minute

// Table is the rows that an instance knows of one table. Use NewTable.
type Table struct {
	mu               sync.Mutex
	rows             map[string]Row // those gone as well, for goneKept
	deletedAt        map[string]time.Duration
	floor            int64 // removals up to this version may be forgotten
	unseen           versionGap
	version          int64
	confirmedAt      time.Duration // when the store last said that version is the newest
	storeRecoveredAt time.Duration // when it last did so after it had been away; zero: never
	known            bool
	updated          chan struct{} // closed when the version next rises, or is next confirmed
	changed          chan struct{} // closed when a row next changes
	// sorted are the rows that were there at the last call of Rows, by key, and touched the keys
	// of those that have changed since.
	sorted []Row
	dirty  map[string]struct{}
	// What follows is of a store that may come back from an older copy.
	now                time.Duration // of the last delta
	retention          *Retention    // nil: nothing is held
	retained           *retainedRows // nil: nothing is
	retentionCheckedAt time.Duration // when what is held was last looked at
	history            map[string][]pastVersion
	historyPrunedAt    time.Duration
}

// NewTable returns a table of which nothing is known.
func NewTable() *Table {
	return &Table{
		rows: make(map[string]Row), deletedAt: make(map[string]time.Duration), dirty: make(map[string]struct{}),
		updated: make(chan struct{}), changed: make(chan struct{}), history: make(map[string][]pastVersion),
	}
}

// NewHoldingTable returns a table of which nothing is known, and which holds what it had when the
// store comes back from an older copy.
func NewRetainingTable(h Retention) *Table {
	t := NewTable()
	t.retention = &h
	return t
}

// Apply takes a delta up that was received at a moment, both on the process's
// clock. It reports whether a row changed.
func (t *Table) Apply(d Delta, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.now = max(t.now, now)
	changed := t.expireRetention(t.now)
	changed = t.apply(d, now) || changed
	return changed
}

// take takes a delta up. The caller holds the lock.
func (t *Table) apply(d Delta, now time.Duration) bool {
	if d.Full && d.Version < t.version {
		return false // read from a replica that is behind
	}
	changed := false
	began := false // a new epoch
	switch epoch, known := d.epoch(), Epoch(t.version); {
	case epoch < known:
		return false // of what the store has lost
	case epoch > known && t.known && d.Full:
		t.beginEpoch(d.Version, now)
		began, changed = true, true
	case epoch > known && t.known && d.Version != 0:
		return false // it does not tell what is gone
	}
	for _, r := range d.Rows {
		changed = t.applyRow(r, now) || changed
	}
	if d.Full {
		changed = t.deleteMissing(d, now) || changed
	}
	if began {
		t.findReverted(now)
	}
	advanced := d.Version > t.version
	learned := d.Full && !t.known
	if learned {
		t.floor = d.Version // what was removed before is not known
	} else if d.Full && !began {
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
	if changed || learned {
		close(t.changed)
		t.changed = make(chan struct{})
	}
	return changed
}

// gap is the versions between which a table was read whole: rows that came and went between them
// left no trace.
type versionGap struct {
	from, to int64
	at       time.Duration
}

// add adds a whole read at a version by a table that was at an older one. A gap is forgotten with
// the removals of its time.
func (g *versionGap) add(from, to int64, now time.Duration) {
	if g.to == 0 || now-g.at > tombstoneTTL {
		g.from = from
	}
	g.from, g.to, g.at = min(g.from, from), to, now
}

// has reports whether a table that is complete up to a version may have rows that went unseen.
func (g *versionGap) contains(version int64) bool { return version > g.from && version < g.to }

// confirm notes that the store said at a moment that the version is the newest.
func (t *Table) confirmAt(now, said time.Duration) {
	if t.confirmedAt != 0 && said-t.confirmedAt > outageAfter {
		t.storeRecoveredAt = now
	}
	t.confirmedAt = max(t.confirmedAt, said)
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

// dropOthers removes the rows that a whole delta does not have.
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

// forget drops removed rows that were kept long enough.
func (t *Table) pruneTombstones(now time.Duration) {
	for key, at := range t.deletedAt {
		if now-at > tombstoneTTL {
			t.floor = max(t.floor, t.rows[key].Version)
			delete(t.rows, key)
			delete(t.deletedAt, key)
		}
	}
}

// Since returns what changed after a version. Now sets its age.
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

// Rows returns the rows that count, by key: those that are there, and those that are held. Callers
// share the list and must not change it.
func (t *Table) Rows() []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refreshSorted(t.now)
	return t.sorted
}

// refresh brings sorted up to date. What did not change since the last call is copied, not looked
// up. The caller holds the lock.
func (t *Table) refreshSorted(now time.Duration) {
	if len(t.dirty) == 0 {
		return
	}
	before := t.sorted
	t.sorted = make([]Row, 0, len(before)+len(t.dirty))
	for _, key := range slices.Sorted(maps.Keys(t.dirty)) {
		n, there := slices.BinarySearchFunc(before, key, func(r Row, key string) int { return cmp.Compare(r.Key, key) })
		t.sorted = append(t.sorted, before[:n]...)
		if there {
			n++
		}
		before = before[n:]
		if r, there := t.effective(key, now); there {
			t.sorted = append(t.sorted, r)
		}
	}
	t.sorted = append(t.sorted, before...)
	clear(t.dirty)
}

// Len returns the number of rows, those that are gone and still remembered included.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows)
}

// Forget forgets all that is known of the table.
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

// Version returns the version up to which the table is complete, and whether
// it was ever read whole.
func (t *Table) Version() (int64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version, t.known
}

// Confirmed returns when the store last confirmed the table, on the process's
// clock.
func (t *Table) ConfirmedAt() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmedAt
}

// Returned returns when the store was heard of again after it had been away, on
// the process's clock; zero if that never was.
func (t *Table) StoreRecoveredAt() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.storeRecoveredAt
}

// Changed returns a channel that is closed when a row changes, or the table is
// first known whole. The version rises far more often, with every transaction of
// the store in any table, and says nothing that has to be acted on.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// AwaitNews waits until the version is above after, or until it was confirmed once
// more, or until the context ends. So those who ask one another learn in little
// more than the time on the way how fresh their tables are.
func (t *Table) AwaitUpdate(ctx context.Context, after int64) {
	t.mu.Lock()
	version, news := t.version, t.updated
	t.mu.Unlock()
	if version > after {
		return
	}
	select {
	case <-news:
	case <-ctx.Done():
	}
}

// Await waits until the version is above after, or until the context ends.
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
