// SPDX-License-Identifier: MIT

package state

import (
	"bytes"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Retention is how long a table retains its rows after the store was restored from an older copy,
// unless they are written again. Zero: until then.
type Retention struct {
	// Missing applies to rows that the copy does not have, and Reverted to those that it has in an
	// older state.
	Missing, Reverted time.Duration
}

// historyTTL is how long a table remembers earlier states of rows. A store's copy is some seconds old.
const historyTTL = time.Minute

// pastVersion is an earlier state of a row.
type pastVersion struct {
	number     int64
	hash       uint64
	replacedAt time.Duration
}

// retainedRows is the content of a table when the epoch of the store changed.
type retainedRows struct {
	since time.Duration
	rows  map[string]Row // the effective rows, and the tombstones
	// reverted are the versions of the rows that the copy has in an older state.
	reverted map[string]int64
}

// addHistory records a row that is about to be replaced. The caller holds the lock.
func (t *Table) addHistory(old Row, now time.Duration) {
	if t.retention == nil {
		return
	}
	list := t.history[old.Key]
	for len(list) > 0 && now-list[0].replacedAt > historyTTL {
		list = list[1:]
	}
	t.history[old.Key] = append(list, pastVersion{number: Number(old.Version), hash: xxhash.Sum64(old.Value), replacedAt: now})
}

// pruneHistory drops the history of rows that were replaced long ago. The caller holds the lock.
func (t *Table) pruneHistory(now time.Duration) {
	if now-t.historyPrunedAt < historyTTL {
		return
	}
	t.historyPrunedAt = now
	for key, list := range t.history {
		if now-list[len(list)-1].replacedAt > historyTTL {
			delete(t.history, key)
		}
	}
}

// beginEpoch moves the rows of the previous epoch to retained, because a full delta of a newer epoch
// was received. The caller holds the lock.
func (t *Table) beginEpoch(version int64, now time.Duration) {
	kept := &retainedRows{since: now, rows: make(map[string]Row, len(t.rows)), reverted: make(map[string]int64)}
	if t.retained != nil {
		for key, old := range t.retained.rows {
			if old.Deleted {
				kept.rows[key] = old
			}
		}
	}
	for key, r := range t.rows {
		if r.Deleted {
			kept.rows[key] = r
		}
	}
	t.refreshSorted(now)
	for _, r := range t.sorted {
		kept.rows[r.Key] = r
	}
	t.markAllDirty()
	if t.retention != nil {
		t.retained = kept
		t.retentionCheckedAt = now
	}
	t.rows = make(map[string]Row)
	clear(t.deletedAt)
	t.floor = version // earlier deletions are unknown
}

// findReverted records which rows of the current epoch are in an older state, and adds those of the
// previous epoch that differ to the history: the store may be restored from a copy again. The
// caller holds the lock.
func (t *Table) findReverted(now time.Duration) {
	if t.retained == nil {
		return
	}
	for key, r := range t.rows {
		if t.inHistory(r) {
			t.retained.reverted[key] = r.Version
		}
	}
	for key, old := range t.retained.rows {
		if r, exists := t.rows[key]; !old.Deleted && (!exists || !bytes.Equal(old.Value, r.Value)) {
			t.addHistory(old, now)
		}
	}
}

// markAllDirty makes Rows recompute every row. The caller holds the lock.
func (t *Table) markAllDirty() {
	for key := range t.rows {
		t.dirty[key] = struct{}{}
	}
	for _, r := range t.sorted {
		t.dirty[r.Key] = struct{}{}
	}
	if t.retained != nil {
		for key := range t.retained.rows {
			t.dirty[key] = struct{}{}
		}
	}
}

// effective returns the row that applies for a key: that of the table, or the one retained in its
// place. The caller holds the lock.
func (t *Table) effective(key string, now time.Duration) (Row, bool) {
	r, exists := t.rows[key]
	if old, isRetained := t.retainedFor(key, r, exists, now); isRetained {
		return old, !old.Deleted
	}
	return r, exists && !r.Deleted
}

// retainedFor returns the row retained in place of that of the current epoch, if there is one. The
// caller holds the lock.
func (t *Table) retainedFor(key string, r Row, exists bool, now time.Duration) (Row, bool) {
	if t.retained == nil {
		return Row{}, false
	}
	old, known := t.retained.rows[key]
	if !known {
		old = Row{Key: key, Deleted: true}
	}
	return old, t.retains(old, r, exists, now)
}

// Retained returns the retained ones among Rows, which the store has lost or has in an older state. For
// each key it gives the version that the store has, as a write must expect it; its number is zero if
// the store does not have the row.
func (t *Table) Retained() map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.retained == nil {
		return nil
	}
	out := make(map[string]int64)
	for key := range t.retained.rows {
		r, exists := t.rows[key]
		old, isRetained := t.retainedFor(key, r, exists, t.now)
		if !isRetained || old.Deleted {
			continue
		}
		out[key] = VersionOf(Epoch(t.version), 0)
		if exists {
			out[key] = r.Version
		}
	}
	return out
}

// Retaining reports whether the store was restored from an older copy so recently that rows which it
// has in an older state are retained.
func (t *Table) Retaining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.retained != nil && (t.retention.Reverted == 0 || t.now-t.retained.since < t.retention.Reverted)
}

// retains reports whether a row of the previous epoch is retained in place of that of the current one, if
// there is one. The caller holds the lock.
func (t *Table) retains(old, r Row, exists bool, now time.Duration) bool {
	kept := t.retained
	active := func(d time.Duration) bool { return d == 0 || now-kept.since < d }
	switch {
	case !exists:
		return !old.Deleted && active(t.retention.Missing)
	case r.Deleted:
		return false // it was deleted in this epoch
	case !old.Deleted && bytes.Equal(old.Value, r.Value):
		return false // the values are equal
	}
	return kept.reverted[r.Key] == r.Version && active(t.retention.Reverted)
}

// inHistory reports whether a row is in a state that it had at some time before the epoch. The caller
// holds the lock.
func (t *Table) inHistory(r Row) bool {
	hash := xxhash.Sum64(r.Value)
	for _, p := range t.history[r.Key] {
		if p.number == Number(r.Version) && p.hash == hash {
			return true
		}
	}
	return false
}

// expireRetention drops expired retained rows, and reports whether that may have changed rows. The caller
// holds the lock.
func (t *Table) expireRetention(now time.Duration) (changed bool) {
	if t.retained == nil {
		return false
	}
	for _, d := range []time.Duration{t.retention.Missing, t.retention.Reverted} {
		at := t.retained.since + d
		changed = changed || d != 0 && t.retentionCheckedAt < at && at <= now
	}
	t.retentionCheckedAt = now
	if t.retention.Missing != 0 && t.retention.Reverted != 0 && now-t.retained.since > max(historyTTL, t.retention.Missing, t.retention.Reverted) {
		t.retained = nil
	}
	if changed {
		t.markAllDirty()
		close(t.changed)
		t.changed = make(chan struct{})
	}
	return changed
}
