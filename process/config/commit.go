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

// Names of tables and keys in the platform.
const (
	tableConfig  = "config"
	tableChanges = "changes"
	keyHead      = "head"
)

// snapshotInterval is the number of changes between two snapshots.
const snapshotInterval = 100

// head is the value of the head row.
type head struct {
	Seq      int64 `json:"seq"`
	Snapshot int64 `json:"snapshot,omitempty"`
}

// Log gives an instance access to the accepted changes in the platform.
type Log struct {
	Platform platform.Platform
	Store    *Store
}

func changeKey(seq int64) string { return fmt.Sprintf("%020d", seq) }

func snapshotName(seq int64) string { return fmt.Sprintf("config-%020d", seq) }

// readHead returns the head row and its revision, which is 0 if there is no row yet.
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

// CatchUp applies everything in the platform that is newer than the version in force.
// If it succeeds, the version in force is at least the platform's at the time of the
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

// ErrNotAllowed is returned for a change that the caller is not allowed to make.
const ErrNotAllowed = errors.ConstError("the change is not allowed")

// maxCommitAttempts bounds how often a change is attempted if another change is
// accepted first, or a response is lost.
const maxCommitAttempts = 8

// Commit checks a change against the latest configuration, has it accepted by the
// platform, and puts it in force here. It returns a *version.ConflictError, a
// *version.FieldError, platform.Unavailable (nothing was written) or platform.Unknown
// (retry with the same operation id). A change whose operation was accepted before is
// not made again.
//
// Commit calls allowed with the configuration that the change is about to be made to.
// If allowed returns an error, Commit returns it as ErrNotAllowed.
func (l *Log) Commit(ctx context.Context, ch version.Change, allowed func(*version.Config, *version.Change) error) (seq int64, err error) {
	outcomeUnknown := false
	for attempt := range maxCommitAttempts {
		if attempt > 0 {
			time.Sleep(time.Duration(attempt) * 10 * time.Millisecond)
		}
		h, revision, err := l.catchUp(ctx)
		if err != nil {
			return 0, asUnknown(outcomeUnknown, err)
		}
		if seq := l.Store.Config().FindOperation(ch.Operation); seq != 0 {
			return seq, nil
		}
		if l.Store.Config().Seq != h.Seq {
			continue // a peer sent a later change in the meantime
		}
		if err := allowed(l.Store.Config(), &ch); err != nil {
			return 0, errors.WithType(err, ErrNotAllowed)
		}
		next, numbered, err := l.Store.Config().Propose(ch)
		if err != nil {
			return 0, err
		}
		err = l.Platform.Commit(ctx, commitOps(h, revision, numbered))
		switch {
		case err == nil:
			return l.adoptAccepted(numbered, next)
		case errors.Is(err, platform.ErrConflict):
			continue
		case errors.Is(err, platform.ErrUnavailable):
			return 0, asUnknown(outcomeUnknown, err)
		}
		outcomeUnknown = true // the next attempt reads back whether it was written
	}
	if outcomeUnknown {
		return 0, platform.ErrUnknownOutcome
	}
	return 0, errors.WithType(errors.New("too many changes at once"), platform.ErrUnavailable)
}

// asUnknown returns err as platform.Unknown if the response to an earlier write was
// lost.
func asUnknown(outcomeUnknown bool, err error) error {
	if outcomeUnknown {
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

// encode marshals a value whose type cannot fail to marshal.
func encode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // a programming error
	}
	return b
}

// adoptAccepted puts an accepted change in force, and starts writing a snapshot if one
// is due.
func (l *Log) adoptAccepted(ch version.Change, next *version.Config) (int64, error) {
	if err := l.Store.Adopt(ch); err != nil {
		return 0, err
	}
	if ch.Seq%snapshotInterval == 0 {
		go l.writeSnapshot(next)
	}
	return ch.Seq, nil
}

// snapshotTimeout bounds the writing of a snapshot. A failed snapshot is not retried;
// the next one replaces it.
const snapshotTimeout = 30 * time.Second

// writeSnapshot stores the configuration as an object, points the head to it, and
// deletes the changes that no reader needs any longer.
func (l *Log) writeSnapshot(c *version.Config) {
	ctx, cancel := context.WithTimeout(context.Background(), snapshotTimeout)
	defer cancel()
	if err := l.Platform.PutObject(ctx, snapshotName(c.Seq), encode(c.Snapshot())); err != nil {
		return
	}
	for range maxCommitAttempts {
		h, revision, err := l.readHead(ctx)
		if err != nil || h.Snapshot >= c.Seq {
			return
		}
		ops := []platform.Op{}
		for seq := h.Snapshot - snapshotInterval + 1; seq <= h.Snapshot; seq++ {
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
