// SPDX-License-Identifier: MIT

package config

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/juju/errors"

	"shalewick/process/platform"
	"shalewick/process/state"
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
	// OnUnreadable, if set, is called whenever a row or object was read that can't be used.
	OnUnreadable func(*state.RowError)
}

// ErrUnreadable is returned while a row or object of the configuration can't be used. The last valid
// version stays in force.
const ErrUnreadable = errors.ConstError("a row or object of the configuration can't be used")

// Reasons why a row or object can't be used.
const (
	reasonUnreadable = "unreadable" // it has another format
	reasonMissing    = "missing"    // the object does not exist
	reasonKey        = "key"        // the key is not a sequence number
	reasonSequence   = "sequence"   // it contains another version than its key says
	reasonInvalid    = "invalid"    // the resulting configuration violates a rule
)

func changeKey(seq int64) string { return fmt.Sprintf("%020d", seq) }

// parseChangeKey returns the sequence number in the key of a change's row. The bool is false for
// the key of another row.
func parseChangeKey(key string) (seq int64, ok bool) {
	seq, err := strconv.ParseInt(key, 10, 64)
	return seq, err == nil && key == changeKey(seq)
}

func snapshotName(seq int64) string { return fmt.Sprintf("config-%020d", seq) }

// unreadable reports a row or object that can't be used, and returns its error.
func (l *Log) unreadable(key, reason string, err error) error {
	rowErr := &state.RowError{Key: key, Reason: reason, Err: err}
	if l.OnUnreadable != nil {
		l.OnUnreadable(rowErr)
	}
	return errors.WithType(rowErr, ErrUnreadable)
}

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
		return head{}, 0, l.unreadable(keyHead, reasonUnreadable, err)
	}
	return h, row.Revision, nil
}

// CatchUp applies everything in the platform that is newer than the version in force.
// If it succeeds, the version in force is at least the platform's at the time of the
// call. The error is ErrUnreadable if a newer version can't be read: the versions before
// it are in force then, and later ones once a snapshot or a peer provides them.
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
	var snapshotErr error
	if h.Snapshot > seq {
		// The changes since the previous snapshot are kept, so that an unreadable snapshot may not
		// be needed.
		if snapshotErr = l.readSnapshot(ctx, h.Snapshot); snapshotErr != nil && !errors.Is(snapshotErr, ErrUnreadable) {
			return h, 0, snapshotErr
		}
	}
	if err := l.readChanges(ctx, h.Seq); err != nil {
		return h, 0, err
	}
	if !ok && h.Seq == 0 {
		return h, revision, l.Store.AdoptSnapshot(&version.Config{})
	}
	if seq, _, _ := l.Store.InForce(); seq < h.Seq {
		if snapshotErr != nil {
			return h, 0, snapshotErr
		}
		return h, 0, errors.Errorf("changes %d to %d are missing in the platform", seq+1, h.Seq)
	}
	return h, revision, nil
}

func (l *Log) readSnapshot(ctx context.Context, seq int64) error {
	name := snapshotName(seq)
	b, err := l.Platform.GetObject(ctx, name)
	if errors.Is(err, platform.ErrNotFound) {
		return l.unreadable(name, reasonMissing, err)
	}
	if err != nil {
		return errors.Annotate(err, "read snapshot")
	}
	var s version.Snapshot
	if err := json.Unmarshal(b, &s); err != nil {
		return l.unreadable(name, reasonUnreadable, err)
	}
	if s.Seq != seq {
		return l.unreadable(name, reasonSequence, errors.Errorf("it contains version %d", s.Seq))
	}
	if err := l.Store.AdoptSnapshot(s.Config()); err != nil {
		return l.unreadable(name, reasonInvalid, err)
	}
	return nil
}

// readChanges applies the changes after the version in force up to the last one that was accepted. It
// skips rows that are not changes: other writers may use the table too.
func (l *Log) readChanges(ctx context.Context, last int64) error {
	rows, err := l.Platform.Scan(ctx, tableChanges, changeKey(l.Store.Config().Seq))
	if err != nil {
		return errors.Annotate(err, "read changes")
	}
	for _, row := range rows {
		seq, ok := parseChangeKey(row.Key)
		if !ok {
			_ = l.unreadable(row.Key, reasonKey, errors.New("the key is not that of a change")) // the versions don't depend on it
			continue
		}
		if seq > last {
			continue // not accepted, or accepted since the head was read
		}
		if err := l.readChange(row, seq); err != nil {
			return err
		}
	}
	return nil
}

// readChange applies the change in a row.
func (l *Log) readChange(row platform.Row, seq int64) error {
	var ch version.Change
	if err := json.Unmarshal(row.Value, &ch); err != nil {
		return l.unreadable(row.Key, reasonUnreadable, err)
	}
	if ch.Seq != seq {
		return l.unreadable(row.Key, reasonSequence, errors.Errorf("it contains change %d", ch.Seq))
	}
	if err := l.Store.Adopt(ch); err != nil {
		return l.unreadable(row.Key, reasonInvalid, err)
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
		if errors.Is(err, ErrUnreadable) {
			// The error has another cause than the caller's change.
			err = errors.WithType(errors.Errorf("read the configuration: %s", err), platform.ErrUnavailable)
		}
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

// commitOps returns the operations that have a change accepted. The revision of the head alone decides
// whether it is: a row under the key of the change that was written without the head is replaced.
func commitOps(h head, revision int64, ch version.Change) []platform.Op {
	h.Seq = ch.Seq
	return []platform.Op{
		{Kind: platform.OpPut, Table: tableConfig, Key: keyHead, Revision: revision, Value: encode(h)},
		{Kind: platform.OpPut, Table: tableChanges, Key: changeKey(ch.Seq), Revision: platform.AnyRevision, Value: encode(ch)},
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
