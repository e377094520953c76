// SPDX-License-Identifier: MIT

package config

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"shalewick/process/platform"
	"shalewick/process/state"
	"shalewick/version"
)

// nested returns JSON arrays nested to a depth.
func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// oddValues are values that are not those of a change.
var oddValues = []string{
	`null`, `[]`, `7`, `"text"`, `1e400`, nested(9000), `{"seq":99999999999999999999}`, `{"seq":2,"puts":{}}`, `{"seq":2,"puts":[null]}`,
	`{"seq":2,"puts":[{"kind":"hall","name":"h"}]}`, `{"seq":2,"puts":[{"kind":"hall","name":"h","spec":null}]}`,
	`{"seq":2,"puts":[{"kind":"elsewhere","name":"h","spec":{}}]}`, `{"seq":2,"puts":[{"kind":"region","name":"\u0000","spec":{}}]}`,
	`{"seq":2,"deletes":[7]}`, `{"seq":7}`, `{"a":"` + strings.Repeat("x", 60_000) + `"}`,
}

// putRow writes a row as another writer would.
func putRow(t *testing.T, l *Log, table, key, value string) {
	t.Helper()
	op := platform.Op{Kind: platform.OpPut, Table: table, Key: key, Revision: platform.AnyRevision, Value: json.RawMessage(value)}
	assert.NilError(t, l.Platform.Commit(context.Background(), []platform.Op{op}))
}

// commitRegions commits n changes.
func commitRegions(t *testing.T, l *Log, n int64) {
	t.Helper()
	for range n {
		seq := l.Store.Config().Seq
		_, err := l.Commit(context.Background(), regionChange("a", time.Duration(seq).String(), seq), allowAll)
		assert.NilError(t, err)
	}
}

// recordUnreadable returns where the log records the keys of the rows that it can't use.
func recordUnreadable(l *Log) *[]string {
	keys := new([]string)
	l.OnUnreadable = func(err *state.RowError) { *keys = append(*keys, err.Key+" "+err.Reason) }
	return keys
}

// TestOddRowAmongChangesIsSkipped guards against an instance that stops following the configuration,
// or never gets one, because another writer left a row in the table of changes.
func TestOddRowAmongChangesIsSkipped(t *testing.T) {
	t.Parallel()
	for i, key := range []string{"odd", "00000000000000000001x", "1", "0x2", "99999999999999999999", "\u00ff"} {
		for _, value := range oddValues[i*2 : i*2+4] {
			_, url := startStandin(t)
			l, behind := newLog(t, url), newLog(t, url)
			commitRegions(t, l, 1)
			assert.NilError(t, behind.CatchUp(context.Background()))
			putRow(t, l, tableChanges, key, value)
			commitRegions(t, l, 2)
			started := newLog(t, url)
			for _, x := range []*Log{behind, started} {
				keys := recordUnreadable(x)
				assert.NilError(t, x.CatchUp(context.Background()), "%s: %.60s", key, value)
				assert.Equal(t, x.Store.Config().Seq, int64(3))
				assert.DeepEqual(t, *keys, []string{key + " " + reasonKey})
			}
		}
	}
}

// TestOddRowBeforeFirstChange guards against an instance that never has a version because the table
// of changes has an odd row before the first change.
func TestOddRowBeforeFirstChange(t *testing.T) {
	t.Parallel()
	_, url := startStandin(t)
	l := newLog(t, url)
	putRow(t, l, tableChanges, "odd", `{"seq":"1"}`)
	assert.NilError(t, l.CatchUp(context.Background()))
	_, _, ok := l.Store.InForce()
	assert.Assert(t, ok)
}

// TestRowAboveHeadIsNoChange guards against a row that nobody accepted, under the key of the next
// change: it must not take effect, and must not prevent the next change.
func TestRowAboveHeadIsNoChange(t *testing.T) {
	t.Parallel()
	for _, value := range append(slices.Clone(oddValues), `{"seq":2,"operation":"x","puts":[{"kind":"region","name":"b","spec":{}}]}`) {
		_, url := startStandin(t)
		l := newLog(t, url)
		commitRegions(t, l, 1)
		putRow(t, l, tableChanges, changeKey(2), value)
		started := newLog(t, url)
		assert.NilError(t, started.CatchUp(context.Background()), "%.60s", value)
		assert.Equal(t, started.Store.Config().Seq, int64(1))
		commitRegions(t, started, 1)
		assert.NilError(t, l.CatchUp(context.Background()))
		assert.DeepEqual(t, l.Store.Config().Snapshot(), started.Store.Config().Snapshot())
	}
}

// TestUnreadableChangeKeepsLastValidVersion guards against a change that can't be read and is skipped as
// if it were not there, and against an instance that does not follow the versions after a snapshot has
// made it good.
func TestUnreadableChangeKeepsLastValidVersion(t *testing.T) {
	t.Parallel()
	for _, value := range oddValues {
		_, url := startStandin(t)
		l, behind := newLog(t, url), newLog(t, url)
		commitRegions(t, l, 1)
		assert.NilError(t, behind.CatchUp(context.Background()))
		commitRegions(t, l, 2)
		putRow(t, l, tableChanges, changeKey(2), value)
		keys := recordUnreadable(behind)
		assert.ErrorIs(t, behind.CatchUp(context.Background()), ErrUnreadable)
		assert.Equal(t, behind.Store.Config().Seq, int64(1), "%.60s", value)
		assert.Equal(t, len(*keys), 1)
		_, err := behind.Commit(context.Background(), regionChange("b", "x", 0), allowAll)
		assert.Assert(t, errors.Is(err, platform.ErrUnavailable) && !errors.Is(err, platform.ErrUnknownOutcome), "%v", err)
		l.writeSnapshot(l.Store.Config())
		for _, x := range []*Log{behind, newLog(t, url)} {
			assert.NilError(t, x.CatchUp(context.Background()))
			assert.DeepEqual(t, x.Store.Config().Snapshot(), l.Store.Config().Snapshot())
		}
	}
}

// TestUnreadableSnapshotIsNotNeeded guards against an instance that stops because a snapshot can't be
// read, while the changes that lead to it are still there.
func TestUnreadableSnapshotIsNotNeeded(t *testing.T) {
	t.Parallel()
	for _, value := range []string{``, `{`, `[]`, `{"seq":7}`, `{"seq":3,"resources":[{"kind":"hall","name":"h","spec":{"region":"gone"}}]}`} {
		_, url := startStandin(t)
		l, behind := newLog(t, url), newLog(t, url)
		commitRegions(t, l, 1)
		assert.NilError(t, behind.CatchUp(context.Background()))
		commitRegions(t, l, 2)
		l.writeSnapshot(l.Store.Config())
		assert.NilError(t, l.Platform.PutObject(context.Background(), snapshotName(3), []byte(value)))
		for _, x := range []*Log{behind, newLog(t, url)} {
			keys := recordUnreadable(x)
			assert.NilError(t, x.CatchUp(context.Background()), value)
			assert.Equal(t, x.Store.Config().Seq, int64(3))
			assert.Equal(t, len(*keys), 1)
		}
	}
}

// TestUnreadableHeadKeepsLastValidVersion guards against a head that can't be read and counts as none.
func TestUnreadableHeadKeepsLastValidVersion(t *testing.T) {
	t.Parallel()
	for _, value := range []string{`[]`, `7`, `{"seq":"1"}`, `{"seq":1e400}`, nested(9000)} {
		_, url := startStandin(t)
		l := newLog(t, url)
		commitRegions(t, l, 1)
		putRow(t, l, tableConfig, keyHead, value)
		assert.ErrorIs(t, l.CatchUp(context.Background()), ErrUnreadable, "%.60s", value)
		assert.Equal(t, l.Store.Config().Seq, int64(1))
		_, err := l.Commit(context.Background(), regionChange("b", "x", 0), allowAll)
		assert.ErrorIs(t, err, platform.ErrUnavailable)
	}
}

// FuzzChange applies a row with any value as the next change. It must not end the process, and a version
// takes effect only if it is valid.
func FuzzChange(f *testing.F) {
	for _, value := range oddValues {
		f.Add([]byte(value))
	}
	f.Add([]byte(`{"seq":1,"puts":[{"kind":"region","name":"r","spec":{}},{"kind":"hall","name":"h","spec":{"region":"r"}},` +
		`{"kind":"service","name":"s","spec":{"routes":[{"prefix":"/","class":"read","deadline":"1s"}]}},` +
		`{"kind":"backend","name":"b","spec":{"service":"s","hall":"h","address":"10.0.0.1:80","slots":4}}]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		s := &Store{Now: func() time.Duration { return 0 }, OnInstall: func(*version.Config, *version.View) {}}
		l := &Log{Store: s}
		err := l.readChange(platform.Row{Key: changeKey(1), Value: value}, 1)
		if err != nil {
			assert.ErrorIs(t, err, ErrUnreadable)
			assert.Equal(t, s.Config().Seq, int64(0))
			return
		}
		assert.Equal(t, s.Config().Seq, int64(1))
		assert.NilError(t, s.Config().Check())
	})
}
