// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"shalewick/clock"
	"shalewick/process/peer"
	"shalewick/process/platform"
	"shalewick/process/slots"
)

// Names in the platform.
const (
	tableMembers = "members"
	tableSlots   = "slots"
	keySplit     = "split"
)

// Times of the platform's polling.
const (
	pollTime = 2 * time.Second
	// pollAlone is the time without peers, when only the platform can
	// confirm the version in force.
	pollAlone = slots.ConfirmationTTL / 4
	// pollPerMember bounds what all members ask for together: each polls the
	// less often the more they are.
	pollPerMember = 50 * time.Millisecond
)

// platformLoop writes the heartbeat and reads what is new. After the first
// round the members that it found are told of this one.
func (e *Entry) platformLoop(ctx context.Context) {
	e.poll(ctx)
	poke(e.push)
	for ctx.Err() == nil {
		live := len(e.members.Live(e.now()))
		wait := max(pollTime, time.Duration(live)*pollPerMember)
		if live <= 1 || !e.steer.ConfigFresh() {
			wait = pollAlone
		}
		clock.Sleep(ctx, wait*3/4+rand.N(wait/2))
		e.poll(ctx)
	}
}

// poll does one round with the platform.
func (e *Entry) poll(ctx context.Context) {
	asked := e.now()
	err := e.heartbeat(ctx)
	if err == nil {
		err = e.readMembers(ctx)
	}
	if err == nil {
		err = e.changes.CatchUp(ctx)
	}
	if err == nil {
		err = e.readSplit(ctx)
	}
	if err == nil {
		e.confirm(asked)
	}
	if err != nil {
		e.members.PlatformUnreadable()
		e.metrics.Counter("platform_failures_total").Inc(1)
		e.log.Debug().Err(err).Msg("platform-failed")
	}
}

// heartbeat rewrites the own member's row.
func (e *Entry) heartbeat(ctx context.Context) error {
	var row *peer.Member
	e.members.UpdateSelf(func(m *peer.Member) { m.Beat++ })
	row = e.members.Self()
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

// readMembers takes up the rows of the members and the list of instances.
func (e *Entry) readMembers(ctx context.Context) error {
	rows, err := e.platform.Scan(ctx, tableMembers, "")
	if err != nil {
		return errors.Annotate(err, "read members")
	}
	list, err := e.platform.Instances(ctx)
	if err != nil {
		return errors.Annotate(err, "read instances")
	}
	var ms []*peer.Member
	var ids []string
	for _, row := range rows {
		ids = append(ids, row.Key)
		m := &peer.Member{}
		if err := protojson.Unmarshal(row.Value, m); err != nil {
			e.log.Warn().Err(err).Str("key", row.Key).Msg("bad-member-row")
			continue
		}
		ms = append(ms, m)
	}
	e.members.ApplyRows(ms, e.now())
	e.members.ApplyInstanceList(list)
	e.splitter.readRows(ids)
	return nil
}

// readSplit takes up the split of tokens and remembers the row's revision.
func (e *Entry) readSplit(ctx context.Context) error {
	row, err := e.platform.Get(ctx, tableSlots, keySplit)
	if errors.Is(err, platform.NotFound) {
		e.splitter.read(0)
		return nil
	}
	if err != nil {
		return errors.Annotate(err, "read split")
	}
	s, err := slots.ParseSplit(row.Value)
	if err != nil {
		return err
	}
	e.slots.SetSplit(s, e.now())
	e.splitter.read(row.Revision)
	return nil
}
