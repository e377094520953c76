// SPDX-License-Identifier: MIT

package config

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/juju/errors"

	"shalewick/process/platform"
	"shalewick/version"
)

// Names in the platform.
const (
	tableConfig  = "config"
	tableChanges = "changes"
	keyHead      = "head"
)

// snapshotEvery is the number of changes between two snapshots.
const snapshotEvery = 100

// head is the value of the head row.
type head struct {
	Seq      int64 `json:"seq"`
	Snapshot int64 `json:"snapshot,omitempty"`
}

// Log is the accepted changes in the platform, as one instance sees them.
type Log struct {
	Platform platform.Platform
	Store    *Store
}

func changeKey(seq int64) string { return fmt.Sprintf("%020d", seq) }

func snapshotName(seq int64) string { return fmt.Sprintf("config-%020d", seq) }

// readHead returns the head row; a missing one has revision zero.
func (l *Log) readHead(ctx context.Context) (head, int64, error) {
	var h head
	row, err := l.Platform.Get(ctx, tableConfig, keyHead)
	if errors.Is(err, platform.ErrNotFound) {
		return h, 0, nil
	}
	if err != nil {
		return h, 0, errors.Annotate(err, "read head")
	}
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return h, 0, errors.Annotate(err, "read head")
	}
	return h, row.Revision, nil
}

// CatchUp takes up from the platform whatever is newer than the version in
// force. On success the version in force is at least the platform's as of the
// call.
func (l *Log) CatchUp(ctx context.Context) error {
	_, _, err := l.catchUp(ctx)
	return err
}

func (l *Log) catchUp(ctx context.Context) (head, int64, error) {
	h, revision, err := l.readHead(ctx)
	if err != nil {
		return h, 0, err
	}
	seq, _, ok := l.Store.InForce()
	if ok && seq >= h.Seq {
		return h, revision, nil
	}
	if h.Snapshot > seq {
		if err := l.readSnapshot(ctx, h.Snapshot); err != nil {
			return h, 0, err
		}
	}
	if err := l.readChanges(ctx); err != nil {
		return h, 0, err
	}
	if !ok && h.Seq == 0 {
		return h, revision, l.Store.AdoptSnapshot(&version.Config{})
	}
	if seq, _, _ := l.Store.InForce(); seq < h.Seq {
		return h, 0, errors.Errorf("changes %d to %d are missing in the platform", seq+1, h.Seq)
	}
	return h, revision, nil
}

func (l *Log) readSnapshot(ctx context.Context, seq int64) error {
	b, err := l.Platform.GetObject(ctx, snapshotName(seq))
	if err != nil {
		return errors.Annotate(err, "read snapshot")
	}
	var s version.Snapshot
	if err := json.Unmarshal(b, &s); err != nil {
		return errors.Annotate(err, "read snapshot")
	}
	return l.Store.AdoptSnapshot(s.Config())
}

func (l *Log) readChanges(ctx context.Context) error {
	rows, err := l.Platform.Scan(ctx, tableChanges, changeKey(l.Store.Config().Seq))
	if err != nil {
		return errors.Annotate(err, "read changes")
	}
	for _, row := range rows {
		var ch version.Change
		if err := json.Unmarshal(row.Value, &ch); err != nil {
			return errors.Annotatef(err, "read change %s", row.Key)
		}
		if err := l.Store.Adopt(ch); err != nil {
			return err
		}
	}
	return nil
}

// NotAllowed is the error of a change that the caller may not make.
const NotAllowed = errors.ConstError("the change is not allowed")

// commitTries bounds how often a change is tried again after another change
// came first, or an answer was lost.
const commitTries = 8

// Commit checks a change against the newest configuration and has it accepted
// by the platform. It is then in force here. The errors are a
// *version.ConflictError, a *version.FieldError, platform.Unavailable (nothing
// was written) and platform.Unknown (ask again with the same operation id). A
// change whose operation was accepted before is not made twice.
//
// Allowed is asked whether the caller may make the change to the configuration
// that it is about to be made to; its refusal is returned as NotAllowed.
func (l *Log) Commit(ctx context.Context, ch version.Change, allowed func(*version.Config, *version.Change) error) (seq int64, err error) {
	unknown := false
	for try := range commitTries {
		if try > 0 {
			time.Sleep(time.Duration(try) * 10 * time.Millisecond)
		}
		h, revision, err := l.catchUp(ctx)
		if err != nil {
			return 0, worst(unknown, err)
		}
		if seq := l.Store.Config().FindOperation(ch.Operation); seq != 0 {
			return seq, nil
		}
		if l.Store.Config().Seq != h.Seq {
			continue // a peer told of a later change meanwhile
		}
		if err := allowed(l.Store.Config(), &ch); err != nil {
			return 0, errors.WithType(err, NotAllowed)
		}
		next, numbered, err := l.Store.Config().Propose(ch)
		if err != nil {
			return 0, err
		}
		err = l.Platform.Commit(ctx, commitOps(h, revision, numbered))
		switch {
		case err == nil:
			return l.accepted(numbered, next)
		case errors.Is(err, platform.ErrConflict):
			continue
		case errors.Is(err, platform.ErrUnavailable):
			return 0, worst(unknown, err)
		}
		unknown = true // the next round reads back whether it was written
	}
	if unknown {
		return 0, platform.ErrUnknownOutcome
	}
	return 0, errors.WithType(errors.New("too many changes at once"), platform.ErrUnavailable)
}

// worst returns Unknown for a failure after a write whose answer was lost.
func worst(unknown bool, err error) error {
	if unknown {
		return errors.WithType(err, platform.ErrUnknownOutcome)
	}
	return err
}

func commitOps(h head, revision int64, ch version.Change) []platform.Op {
	h.Seq = ch.Seq
	return []platform.Op{
		{Kind: platform.OpPut, Table: tableConfig, Key: keyHead, Revision: revision, Value: encode(h)},
		{Kind: platform.OpPut, Table: tableChanges, Key: changeKey(ch.Seq), Revision: 0, Value: encode(ch)},
	}
}

// encode marshals values whose types always can be.
func encode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // a broken program: the types here have no way to fail
	}
	return b
}

func (l *Log) accepted(ch version.Change, next *version.Config) (int64, error) {
	if err := l.Store.Adopt(ch); err != nil {
		return 0, err
	}
	if ch.Seq%snapshotEvery == 0 {
		go l.snapshot(next)
	}
	return ch.Seq, nil
}

// snapshotTimeout bounds the writing of a snapshot. A failed one is left to
// the next.
const snapshotTimeout = 30 * time.Second

// snapshot stores the configuration as an object, points the head to it, and
// deletes the changes that no reader needs any more.
func (l *Log) snapshot(c *version.Config) {
	ctx, cancel := context.WithTimeout(context.Background(), snapshotTimeout)
	defer cancel()
	if err := l.Platform.PutObject(ctx, snapshotName(c.Seq), encode(c.Snapshot())); err != nil {
		return
	}
	for range commitTries {
		h, revision, err := l.readHead(ctx)
		if err != nil || h.Snapshot >= c.Seq {
			return
		}
		ops := []platform.Op{}
		for seq := h.Snapshot - snapshotEvery + 1; seq <= h.Snapshot; seq++ {
			if seq > 0 {
				ops = append(ops, platform.Op{Kind: platform.OpDelete, Table: tableChanges, Key: changeKey(seq), Revision: platform.AnyRevision})
			}
		}
		h.Snapshot = c.Seq
		ops = append(ops, platform.Op{Kind: platform.OpPut, Table: tableConfig, Key: keyHead, Revision: revision, Value: encode(h)})
		if err := l.Platform.Commit(ctx, ops); !errors.Is(err, platform.ErrConflict) {
			return
		}
	}
}
