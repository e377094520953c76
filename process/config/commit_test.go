// SPDX-License-Identifier: MIT

package config

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"shalewick/process/platform"
	standin "shalewick/standin/platform"
	"shalewick/version"
)

// allowAll allows every change.
func allowAll(*version.Config, *version.Change) error { return nil }

// newLog returns a log that uses the stand-in platform at url.
func newLog(t *testing.T, url string) *Log {
	t.Helper()
	s := &Store{Now: func() time.Duration { return 0 }, OnInstall: func(*version.Config, *version.View) {}}
	return &Log{Platform: platform.NewClient(url), Store: s}
}

func startStandin(t *testing.T) (*standin.Server, string) {
	t.Helper()
	var s standin.Server
	srv := httptest.NewServer(s.Handler())
	t.Cleanup(srv.Close)
	return &s, srv.URL
}

func regionChange(name, text string, v int64) version.Change {
	return version.Change{Operation: name + text, Puts: []version.Resource{{
		Key: version.Key{Kind: version.KindRegion, Name: name}, Version: v, Region: &version.Region{Description: text},
	}}}
}

func TestLostCommitResponseIsReadBack(t *testing.T) {
	s, url := startStandin(t)
	l := newLog(t, url)
	s.SetFault(standin.Fault{LoseResponses: 1})
	seq, err := l.Commit(context.Background(), regionChange("a", "x", 0), allowAll)
	assert.NilError(t, err)
	assert.Equal(t, seq, int64(1))
	s.SetFault(standin.Fault{})
	seq, err = newLog(t, url).Commit(context.Background(), regionChange("a", "x", 0), allowAll) // the operator retries at another instance
	assert.NilError(t, err)
	assert.Equal(t, seq, int64(1))
}

func TestConcurrentChangeConflicts(t *testing.T) {
	_, url := startStandin(t)
	a, b := newLog(t, url), newLog(t, url)
	_, err := a.Commit(context.Background(), regionChange("a", "x", 0), allowAll)
	assert.NilError(t, err)
	_, err = b.Commit(context.Background(), regionChange("a", "y", 0), allowAll)
	var conflict *version.ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, conflict.Present.Region.Description, "x")
}

func TestCommitUnavailableWhenPlatformDown(t *testing.T) {
	s, url := startStandin(t)
	l := newLog(t, url)
	s.SetFault(standin.Fault{Down: true})
	_, err := l.Commit(context.Background(), regionChange("a", "x", 0), allowAll)
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	assert.Assert(t, !errors.Is(err, platform.ErrUnknownOutcome))
}

func TestCatchUpReadsSnapshotAndChanges(t *testing.T) {
	_, url := startStandin(t)
	l := newLog(t, url)
	const n = 2*snapshotInterval + 7
	for i := range int64(n) {
		_, err := l.Commit(context.Background(), regionChange("a", time.Duration(i).String(), i), allowAll)
		assert.NilError(t, err)
	}
	l.writeSnapshot(l.Store.Config()) // commits also write snapshots, concurrently
	fresh := newLog(t, url)
	assert.NilError(t, fresh.CatchUp(context.Background()))
	assert.DeepEqual(t, fresh.Store.Config().Snapshot(), l.Store.Config().Snapshot())
}

func TestVersionOnlyIncreases(t *testing.T) {
	var installed []int64
	s := &Store{Now: func() time.Duration { return 0 }, OnInstall: func(_ *version.Config, v *version.View) { installed = append(installed, v.Seq) }}
	one, two, three := regionChange("a", "1", 0), regionChange("a", "2", 1), regionChange("a", "3", 2)
	one.Seq, two.Seq, three.Seq = 1, 2, 3
	assert.NilError(t, s.Adopt(one, three)) // a gap: three is not applied
	assert.NilError(t, s.Adopt(two, one, two, three))
	assert.NilError(t, s.AdoptSnapshot(&version.Config{Seq: 2}))
	assert.NilError(t, s.Adopt(two))
	assert.DeepEqual(t, installed, []int64{1, 2, 3})
	changes, ok := s.ChangesSince(1)
	assert.Assert(t, ok && len(changes) == 2)
}
