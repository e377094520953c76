// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"shalewick/clock"
	"shalewick/process/config"
	"shalewick/process/peer"
	"shalewick/process/platform"
	"shalewick/process/slots"
	"shalewick/process/state"
)

// Tables and keys on the platform.
const (
	tableConfig  = "config" // including the table of changes and the snapshots
	tableMembers = "members"
	tableSlots   = "slots"
	keySplit     = "split"
)

// Intervals of polling the platform.
const (
	pollInterval = 2 * time.Second
	// pollIntervalAlone is the interval without peers, when only the platform
	// can confirm the version in force.
	pollIntervalAlone = slots.ConfirmationTTL / 4
	// pollIntervalPerMember limits the total request rate of all members: the
	// interval of each grows with their number.
	pollIntervalPerMember = 50 * time.Millisecond
)

// platformLoop writes the heartbeat and reads updates. After the first round it
// announces this member to the members that it found.
func (e *Entry) platformLoop(ctx context.Context) {
	e.poll(ctx)
	notify(e.pushNeeded)
	for ctx.Err() == nil {
		live := len(e.members.Live(e.now()))
		wait := max(pollInterval, time.Duration(live)*pollIntervalPerMember)
		if live <= 1 || !e.steer.ConfigFresh() {
			wait = pollIntervalAlone
		}
		clock.Sleep(ctx, wait*3/4+rand.N(wait/2))
		e.poll(ctx)
	}
}

// poll writes the heartbeat and reads members, changes and split once.
func (e *Entry) poll(ctx context.Context) {
	sentAt := e.now()
	err := e.heartbeat(ctx)
	if err == nil {
		err = e.readMembers(ctx)
	}
	if err == nil {
		err = e.catchUp(ctx)
	}
	if err == nil {
		err = e.readSplit(ctx)
	}
	if err == nil {
		e.confirm(sentAt)
	}
	if err != nil {
		e.members.PlatformUnreadable()
		e.metrics.Counter("platform_failures_total").Inc(1)
		e.log.Debug().Err(err).Msg("platform-failed")
	}
}

// catchUp applies the changes of the configuration. While one can't be read, the last valid version stays
// in force and counts as confirmed, since no caller is served better by an instance that refuses; peers
// that know a later version provide it.
func (e *Entry) catchUp(ctx context.Context) error {
	err := e.changes.CatchUp(ctx)
	_, _, ok := e.store.InForce()
	keep := ok && errors.Is(err, config.ErrUnreadable)
	e.metrics.Gauge("configuration_unreadable").Update(0)
	if !keep {
		return err
	}
	e.metrics.Gauge("configuration_unreadable").Update(1)
	return nil
}

// heartbeat writes the own member's row, unless it is gone.
func (e *Entry) heartbeat(ctx context.Context) error {
	e.rowMu.Lock()
	defer e.rowMu.Unlock()
	e.members.UpdateSelf(func(m *peer.Member) { m.Beat++ })
	row := e.members.Self()
	if row.GetGone() {
		return nil
	}
	b, err := protojson.Marshal(row)
	if err != nil {
		return errors.Trace(err)
	}
	op := platform.Op{Kind: platform.OpPut, Table: tableMembers, Key: row.GetId(), Revision: platform.AnyRevision, Value: b}
	return errors.Annotate(e.platform.Commit(ctx, []platform.Op{op}), "write heartbeat")
}

// readMembers reads the members' rows and the list of instances.
func (e *Entry) readMembers(ctx context.Context) error {
	rows, err := e.platform.Scan(ctx, tableMembers, "")
	if err != nil {
		return errors.Annotate(err, "read members")
	}
	instances, err := e.platform.Instances(ctx)
	if err != nil {
		return errors.Annotate(err, "read instances")
	}
	var members []*peer.Member
	var ids []string
	for _, row := range rows {
		ids = append(ids, row.Key)
		m := &peer.Member{}
		if err := protojson.Unmarshal(row.Value, m); err != nil {
			e.skipped.report(tableMembers, &state.RowError{Key: row.Key, Reason: reasonUnreadable, Err: err})
			continue
		}
		if m.GetId() != row.Key { // would hide a live member
			e.skipped.report(tableMembers, &state.RowError{Key: row.Key, Reason: reasonKey, Err: errors.Errorf("it names member %.60q", m.GetId())})
			continue
		}
		members = append(members, m)
	}
	e.members.ApplyRows(members, e.now())
	e.members.ApplyInstanceList(instances)
	e.splitter.setRows(ids)
	return nil
}

// readSplit reads the split of tokens and records the revision of its row.
func (e *Entry) readSplit(ctx context.Context) error {
	row, err := e.platform.Get(ctx, tableSlots, keySplit)
	if errors.Is(err, platform.ErrNotFound) {
		e.splitter.setRevision(0)
		return nil
	}
	if err != nil {
		return errors.Annotate(err, "read split")
	}
	s, err := slots.ParseSplit(row.Value)
	if err != nil { // the owners of the tokens are unknown, so that nothing is confirmed
		e.skipped.report(tableSlots, &state.RowError{Key: keySplit, Reason: reasonUnreadable, Err: err})
		return err
	}
	e.slots.SetSplit(s, e.now())
	e.splitter.setRevision(row.Revision)
	return nil
}
