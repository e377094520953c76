// SPDX-License-Identifier: MIT

package state

import (
	"bytes"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Hold is how long a table holds what it had when the store came back from an older copy, unless
// the rows are written again. Zero: until then.
type Hold struct {
	// Missing is that time for rows that the copy does not have, and Older for those that
	// it has as they once were.
	Missing, Older time.Duration
}

// pastKept is how long a table remembers how rows were before. A store's copy is some seconds old.
const pastKept = time.Minute

// past is a row as it was.
type past struct {
	number int64
	hash   uint64
	until  time.Duration // when it was replaced
}

// held is what a table had as the epoch of the store changed.
type held struct {
	since time.Duration
	rows  map[string]Row // as they were effective, with those gone
	// older are the versions of the rows that the copy has as they once were.
	older map[string]int64
}

// remember notes a row that is about to be replaced. The caller holds the lock.
func (t *Table) remember(old Row, now time.Duration) {
	if t.hold == nil {
		return
	}
	list := t.past[old.Key]
	for len(list) > 0 && now-list[0].until > pastKept {
		list = list[1:]
	}
	t.past[old.Key] = append(list, past{number: Number(old.Version), hash: xxhash.Sum64(old.Value), until: now})
}

// forgetPast drops what is remembered of rows that were replaced long ago. The caller holds the lock.
func (t *Table) forgetPast(now time.Duration) {
	if now-t.pastForgot < pastKept {
		return
	}
	t.pastForgot = now
	for key, list := range t.past {
		if now-list[len(list)-1].until > pastKept {
			delete(t.past, key)
		}
	}
}

// beginEpoch gives up the rows of the epoch before, as a whole table of a newer one is there. The
// caller holds the lock.
func (t *Table) beginEpoch(version int64, now time.Duration) {
	h := &held{since: now, rows: make(map[string]Row, len(t.rows)), older: make(map[string]int64)}
	if t.held != nil {
		for key, b := range t.held.rows {
			if b.Gone {
				h.rows[key] = b
			}
		}
	}
	for key, r := range t.rows {
		if r.Gone {
			h.rows[key] = r
		}
	}
	t.refresh(now)
	for _, r := range t.sorted {
		h.rows[r.Key] = r
	}
	t.touchAll()
	if t.hold != nil {
		t.held = h
		t.holdSeen = now
	}
	t.rows = make(map[string]Row)
	clear(t.goneAt)
	t.floor = version // what was removed before is not known
}

// compareEpoch notes which rows of the present epoch are as they once were, and remembers those of
// the epoch before that it has otherwise: the store may come back from a copy once more. The caller
// holds the lock.
func (t *Table) compareEpoch(now time.Duration) {
	if t.held == nil {
		return
	}
	for key, r := range t.rows {
		if t.wasBefore(r) {
			t.held.older[key] = r.Version
		}
	}
	for key, b := range t.held.rows {
		if r, there := t.rows[key]; !b.Gone && (!there || !bytes.Equal(b.Value, r.Value)) {
			t.remember(b, now)
		}
	}
}

// touchAll lets Rows look at each row again. The caller holds the lock.
func (t *Table) touchAll() {
	for key := range t.rows {
		t.touched[key] = struct{}{}
	}
	for _, r := range t.sorted {
		t.touched[r.Key] = struct{}{}
	}
	if t.held != nil {
		for key := range t.held.rows {
			t.touched[key] = struct{}{}
		}
	}
}

// effective returns the row of a key that counts: that of the table, or what is held in its place.
// The caller holds the lock.
func (t *Table) effective(key string, now time.Duration) (Row, bool) {
	r, there := t.rows[key]
	if b, holds := t.heldFor(key, r, there, now); holds {
		return b, !b.Gone
	}
	return r, there && !r.Gone
}

// heldFor returns the row that is held in place of that of the present epoch, if there is one. The
// caller holds the lock.
func (t *Table) heldFor(key string, r Row, there bool, now time.Duration) (Row, bool) {
	if t.held == nil {
		return Row{}, false
	}
	b, known := t.held.rows[key]
	if !known {
		b = Row{Key: key, Gone: true}
	}
	return b, t.holds(b, r, there, now)
}

// Held returns the rows of Rows that are held: the store has lost them, or has them as they were
// before. By key it tells the version that the store has, which a write has to expect; its number
// is zero if the store has none.
func (t *Table) Held() map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.held == nil {
		return nil
	}
	out := make(map[string]int64)
	for key := range t.held.rows {
		r, there := t.rows[key]
		b, holds := t.heldFor(key, r, there, t.now)
		if !holds || b.Gone {
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
func (t *Table) Holding() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held != nil && (t.hold.Older == 0 || t.now-t.held.since < t.hold.Older)
}

// holds reports whether a row of the epoch before is held in place of that of the present one, if
// there is one. The caller holds the lock.
func (t *Table) holds(before, r Row, there bool, now time.Duration) bool {
	h := t.held
	within := func(d time.Duration) bool { return d == 0 || now-h.since < d }
	switch {
	case !there:
		return !before.Gone && within(t.hold.Missing)
	case r.Gone:
		return false // it was removed in this epoch
	case !before.Gone && bytes.Equal(before.Value, r.Value):
		return false // it says the same
	}
	return h.older[r.Key] == r.Version && within(t.hold.Older)
}

// wasBefore reports whether a row is as it was at some time before the epoch. The caller holds the
// lock.
func (t *Table) wasBefore(r Row) bool {
	hash := xxhash.Sum64(r.Value)
	for _, p := range t.past[r.Key] {
		if p.number == Number(r.Version) && p.hash == hash {
			return true
		}
	}
	return false
}

// expireHolds gives up what was held long enough, and reports whether that may have changed rows. The
// caller holds the lock.
func (t *Table) expireHolds(now time.Duration) (changed bool) {
	if t.held == nil {
		return false
	}
	for _, d := range []time.Duration{t.hold.Missing, t.hold.Older} {
		at := t.held.since + d
		changed = changed || d != 0 && t.holdSeen < at && at <= now
	}
	t.holdSeen = now
	if t.hold.Missing != 0 && t.hold.Older != 0 && now-t.held.since > max(pastKept, t.hold.Missing, t.hold.Older) {
		t.held = nil
	}
	if changed {
		t.touchAll()
		close(t.changed)
		t.changed = make(chan struct{})
	}
	return changed
}
