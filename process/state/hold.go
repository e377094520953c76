// SPDX-License-Identifier: MIT

package state

import (
	"bytes"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Hold is how long a table holds what it had when the store came back from an older copy, unless
// the rows are written again. Zero: until then.
type Retention struct {
	// Missing is that time for rows that the copy does not have, and Older for those that
	// it has as they once were.
	Missing, Reverted time.Duration
}

// pastKept is how long a table remembers how rows were before. A store's copy is some seconds old.
const historyTTL = time.Minute

// past is a row as it was.
type pastVersion struct {
	number     int64
	hash       uint64
	replacedAt time.Duration // when it was replaced
}

// held is what a table had as the epoch of the store changed.
type retainedRows struct {
	since time.Duration
	rows  map[string]Row // as they were effective, with those gone
	// older are the versions of the rows that the copy has as they once were.
	reverted map[string]int64
}

// remember notes a row that is about to be replaced. The caller holds the lock.
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

// forgetPast drops what is remembered of rows that were replaced long ago. The caller holds the lock.
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

// beginEpoch gives up the rows of the epoch before, as a whole table of a newer one is there. The
// caller holds the lock.
func (t *Table) beginEpoch(version int64, now time.Duration) {
	h := &retainedRows{since: now, rows: make(map[string]Row, len(t.rows)), reverted: make(map[string]int64)}
	if t.retained != nil {
		for key, b := range t.retained.rows {
			if b.Deleted {
				h.rows[key] = b
			}
		}
	}
	for key, r := range t.rows {
		if r.Deleted {
			h.rows[key] = r
		}
	}
	t.refreshSorted(now)
	for _, r := range t.sorted {
		h.rows[r.Key] = r
	}
	t.markAllDirty()
	if t.retention != nil {
		t.retained = h
		t.retentionCheckedAt = now
	}
	t.rows = make(map[string]Row)
	clear(t.deletedAt)
	t.floor = version // what was removed before is not known
}

// compareEpoch notes which rows of the present epoch are as they once were, and remembers those of
// the epoch before that it has otherwise: the store may come back from a copy once more. The caller
// holds the lock.
func (t *Table) findReverted(now time.Duration) {
	if t.retained == nil {
		return
	}
	for key, r := range t.rows {
		if t.inHistory(r) {
			t.retained.reverted[key] = r.Version
		}
	}
	for key, b := range t.retained.rows {
		if r, there := t.rows[key]; !b.Deleted && (!there || !bytes.Equal(b.Value, r.Value)) {
			t.addHistory(b, now)
		}
	}
}

// touchAll lets Rows look at each row again. The caller holds the lock.
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

// effective returns the row of a key that counts: that of the table, or what is held in its place.
// The caller holds the lock.
func (t *Table) effective(key string, now time.Duration) (Row, bool) {
	r, there := t.rows[key]
	if b, holds := t.retainedFor(key, r, there, now); holds {
		return b, !b.Deleted
	}
	return r, there && !r.Deleted
}

// heldFor returns the row that is held in place of that of the present epoch, if there is one. The
// caller holds the lock.
func (t *Table) retainedFor(key string, r Row, there bool, now time.Duration) (Row, bool) {
	if t.retained == nil {
		return Row{}, false
	}
	b, known := t.retained.rows[key]
	if !known {
		b = Row{Key: key, Deleted: true}
	}
	return b, t.retains(b, r, there, now)
}

// Held returns the rows of Rows that are held: the store has lost them, or has them as they were
// before. By key it tells the version that the store has, which a write has to expect; its number
// is zero if the store has none.
func (t *Table) Retained() map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.retained == nil {
		return nil
	}
	out := make(map[string]int64)
	for key := range t.retained.rows {
		r, there := t.rows[key]
		b, holds := t.retainedFor(key, r, there, t.now)
		if !holds || b.Deleted {
			continue
		}
		out[key] = VersionOf(Epoch(t.version), 0)
		if there {
			out[key] = r.Version
		}
	}
	return out
}

// Holding reports whether the store came back from an older copy so lately that rows which it has as they
// once were are held.
func (t *Table) Retaining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.retained != nil && (t.retention.Reverted == 0 || t.now-t.retained.since < t.retention.Reverted)
}

// holds reports whether a row of the epoch before is held in place of that of the present one, if
// there is one. The caller holds the lock.
func (t *Table) retains(before, r Row, there bool, now time.Duration) bool {
	h := t.retained
	within := func(d time.Duration) bool { return d == 0 || now-h.since < d }
	switch {
	case !there:
		return !before.Deleted && within(t.retention.Missing)
	case r.Deleted:
		return false // it was removed in this epoch
	case !before.Deleted && bytes.Equal(before.Value, r.Value):
		return false // it says the same
	}
	return h.reverted[r.Key] == r.Version && within(t.retention.Reverted)
}

// wasBefore reports whether a row is as it was at some time before the epoch. The caller holds the
// lock.
func (t *Table) inHistory(r Row) bool {
	hash := xxhash.Sum64(r.Value)
	for _, p := range t.history[r.Key] {
		if p.number == Number(r.Version) && p.hash == hash {
			return true
		}
	}
	return false
}

// expireHolds gives up what was held long enough, and reports whether that may have changed rows. The
// caller holds the lock.
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
