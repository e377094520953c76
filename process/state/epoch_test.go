// SPDX-License-Identifier: MIT

package state

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// revertingStore is a store that can be restored from an older copy.
type revertingStore struct {
	epoch, number int64
	log           []Row
}

func (s *revertingStore) write(key, value string) {
	s.number++
	s.log = append(s.log, Row{Key: key, Value: []byte(value), Version: VersionOf(s.epoch, s.number), Deleted: value == ""})
}

// revert discards all writes after a number and begins a new epoch.
func (s *revertingStore) revert(number int64) {
	s.epoch++
	s.number = number
	kept := s.log[:0]
	for _, r := range s.log {
		if Number(r.Version) <= number {
			r.Version = VersionOf(s.epoch, Number(r.Version))
			kept = append(kept, r)
		}
	}
	s.log = kept
}

func (s *revertingStore) version() int64 { return VersionOf(s.epoch, s.number) }

// read returns the full table.
func (s *revertingStore) read() Delta {
	last := make(map[string]Row)
	for _, r := range s.log {
		last[r.Key] = r
	}
	d := Delta{Full: true, Version: s.version()}
	for _, r := range last {
		if !r.Deleted {
			d.Rows = append(d.Rows, r)
		}
	}
	return d
}

// changes returns the delta that a table gets if it queries the store like a follower.
func (s *revertingStore) changes(t *Table) Delta {
	after, known := t.Version()
	if !known || Epoch(after) != s.epoch {
		return s.read()
	}
	d := Delta{Version: s.version()}
	for _, r := range s.log {
		if r.Version > after {
			d.Rows = append(d.Rows, r)
		}
	}
	return d
}

func values(t *Table) map[string]string {
	out := make(map[string]string)
	for _, r := range t.Rows() {
		out[r.Key] = string(r.Value)
	}
	return out
}

// TestTablesConvergeAfterStoreReverts guards against tables that keep or spread the lost history, and
// against a restored copy that replaces what was known before it was written again. Tables get deltas
// from the store or from each other, while the store is written to and reverts now and then.
func TestTablesConvergeAfterStoreReverts(t *testing.T) {
	retention := Retention{Missing: 2 * time.Second, Reverted: 10 * time.Second}
	rapid.Check(t, func(r *rapid.T) {
		store := &revertingStore{epoch: 1}
		tables := make([]*Table, 4)
		for i := range tables {
			tables[i] = NewRetainingTable(retention)
		}
		now := time.Hour
		// Each value is the serial number of its write, which distinguishes older from newer ones.
		serial := 0
		lost := make(map[string]string)
		revertedAt := time.Duration(0)
		mayExpire := make(map[string]bool)
		step := func() {
			now += time.Duration(rapid.IntRange(1, 400).Draw(r, "ms")) * time.Millisecond
			x := tables[rapid.IntRange(0, len(tables)-1).Draw(r, "table")]
			switch rapid.IntRange(0, 9).Draw(r, "operation") {
			case 0, 1:
				key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(r, "key")
				serial++
				value := fmt.Sprint(serial)
				if rapid.IntRange(0, 4).Draw(r, "deleted") == 0 {
					value = ""
				}
				store.write(key, value)
				delete(lost, key)
			case 2:
				for _, key := range slices.Sorted(maps.Keys(lost)) { // its writer repeats the write
					store.write(key, lost[key])
					delete(lost, key)
					break
				}
			case 3, 4, 5:
				x.Apply(store.changes(x), now)
			default:
				y := tables[rapid.IntRange(0, len(tables)-1).Draw(r, "other")]
				after, _ := x.Version()
				if _, known := y.Version(); known {
					x.Apply(y.Since(after, now), now)
				}
			}
		}
		for range rapid.IntRange(1, 3).Draw(r, "rounds") {
			follower := tables[0]
			follower.Apply(store.changes(follower), now)
			for range rapid.IntRange(0, 40).Draw(r, "steps") {
				step()
				follower.Apply(store.changes(follower), now)
			}
			before := values(follower)
			for key := range follower.Retained() { // retained since the previous round, and may expire soon
				delete(before, key)
				mayExpire[key] = true
			}
			copyNumber := store.number - int64(rapid.IntRange(0, 6).Draw(r, "lost versions"))
			for _, row := range store.log {
				if Number(row.Version) > copyNumber && !row.Deleted {
					lost[row.Key] = before[row.Key]
				}
			}
			written := make(map[string]bool)
			store.revert(max(0, copyNumber))
			revertedAt = now
			from := len(store.log)
			for range rapid.IntRange(0, 6).Draw(r, "steps after revert") {
				step()
				for _, row := range store.log[min(from, len(store.log)):] {
					written[row.Key] = true
				}
				for key, value := range values(follower) {
					if now-revertedAt < retention.Missing && !written[key] && !mayExpire[key] && value != before[key] {
						r.Fatalf("%s is %q, was %q, and was not written since", key, value, before[key])
					}
				}
				for key, value := range before {
					if now-revertedAt < retention.Missing && !written[key] && values(follower)[key] != value {
						r.Fatalf("%s is missing, was %q, and was not written since", key, value)
					}
				}
				follower.Apply(store.changes(follower), now)
			}
		}
		now += retention.Reverted + time.Second
		want := make(map[string]string)
		for _, row := range store.read().Rows {
			want[row.Key] = string(row.Value)
		}
		tables[0].Apply(store.changes(tables[0]), now)
		for i, x := range tables[1:] {
			after, _ := x.Version()
			x.Apply(tables[i].Since(after, now), now)
		}
		for i, x := range tables {
			now += retention.Reverted + time.Second
			x.Apply(Delta{Version: store.version()}, now)
			assert.DeepEqual(r, values(x), want)
			v, _ := x.Version()
			if v != store.version() {
				r.Fatalf("table %d is at version %d, the store at %d", i, v, store.version())
			}
		}
	})
}

// TestRetainedRowsReportStoreVersion guards against writes that expect a version that the store has
// lost.
func TestRetainedRowsReportStoreVersion(t *testing.T) {
	x := NewRetainingTable(Retention{})
	now := time.Hour
	x.Apply(Delta{Full: true, Version: VersionOf(1, 50), Rows: []Row{{Key: "a", Value: []byte("1"), Version: VersionOf(1, 40)}}}, now)
	x.Apply(Delta{Version: VersionOf(1, 60), Rows: []Row{
		{Key: "a", Value: []byte("2"), Version: VersionOf(1, 60)}, {Key: "b", Value: []byte("3"), Version: VersionOf(1, 60)},
	}}, now)
	x.Apply(Delta{Full: true, Version: VersionOf(2, 55), Rows: []Row{{Key: "a", Value: []byte("1"), Version: VersionOf(2, 40)}}}, now)
	rows := x.Rows()
	assert.Equal(t, len(rows), 2)
	assert.Equal(t, string(rows[0].Value), "2")
	assert.DeepEqual(t, x.Retained(), map[string]int64{"a": VersionOf(2, 40), "b": VersionOf(2, 0)})
	x.Apply(Delta{Rows: []Row{{Key: "b", Value: []byte("3"), Version: VersionOf(2, 56)}}}, now+time.Hour)
	assert.DeepEqual(t, x.Retained(), map[string]int64{"a": VersionOf(2, 40)})
}

// TestOlderEpochDoesNotConfirm guards against instances that missed that the store reverted, and whose
// deltas would count as confirmations by the store.
func TestOlderEpochDoesNotConfirm(t *testing.T) {
	x := NewTable()
	x.Apply(Delta{Full: true, Version: VersionOf(2, 10)}, time.Hour)
	changed := x.Apply(Delta{Version: VersionOf(1, 90), Rows: []Row{{Key: "a", Version: VersionOf(1, 90)}}}, 2*time.Hour)
	assert.Assert(t, !changed)
	assert.Equal(t, x.ConfirmedAt(), time.Hour)
	assert.Equal(t, len(x.Rows()), 0)
	d := x.Since(VersionOf(1, 90), 2*time.Hour)
	assert.Assert(t, d.Full, "a requester of an older epoch may have rows that were deleted")
}
