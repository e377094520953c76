// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"shalewick/process/platform"
	"shalewick/process/slots"
	"shalewick/version"
)

// Times and bounds of the splitting of tokens.
const (
	splitTime = 500 * time.Millisecond
	// splitTurn is how long a member waits for each member before it, in the
	// order of ids, to do the work.
	splitTurn = time.Second
	// cedeEvery is how often a member looks for tokens that others should have.
	cedeEvery = 2 * time.Second
	cedeLimit = 64
)

// splitter is the state of the splitting at one member.
type splitter struct {
	mu       sync.Mutex // guards revision and rows
	revision int64      // of the split's row, as last read
	rows     []string   // ids of the members' rows, as last read

	work sync.Mutex // held for a whole round; guards the rest
	// ceding are tokens taken off this member for a transaction whose end
	// is not known. They stay so until the row has another revision than
	// the one that the transaction was bound to.
	ceding  []slots.TokenID
	boundTo int64
	due     time.Duration // since when there is something to do
	ceded   time.Duration // last look for tokens to cede
}

// read notes the revision of the row.
func (s *splitter) read(revision int64) {
	s.mu.Lock()
	s.revision = revision
	s.mu.Unlock()
}

// readRows notes the members' rows.
func (s *splitter) readRows(ids []string) {
	s.mu.Lock()
	s.rows = ids
	s.mu.Unlock()
}

// splitLoop gives homes to tokens that have none.
func (e *Entry) splitLoop(ctx context.Context) {
	select {
	case <-e.synced:
	case <-ctx.Done():
		return
	}
	t := time.NewTicker(splitTime)
	defer t.Stop()
	for {
		e.splitRound(ctx)
		select {
		case <-e.split: // a new version may have new limits
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func (e *Entry) splitRound(ctx context.Context) {
	b := e.steer.Active()
	e.splitter.work.Lock()
	defer e.splitter.work.Unlock()
	if b == nil || e.members.Leaving() {
		return
	}
	if !e.settleCeding(ctx) {
		return
	}
	now := e.now()
	live := e.candidates(b.View)
	in := slots.PlanInput{Live: live, Down: e.members.Down(now), View: b.View, Planner: e.members.Self().GetId()}
	_, needed := slots.Plan(e.slots.Split(), in)
	if !needed {
		e.splitter.due = 0
		if e.rank(live) == 0 {
			e.sweepRows(ctx, in.Down)
		}
		if now-e.splitter.ceded < cedeEvery {
			return
		}
		e.splitter.ceded = now
		in.Transferred = e.slots.StartTransfer(live, cedeLimit, now)
		if len(in.Transferred) > 0 {
			e.commitSplit(ctx, in)
		}
		return
	}
	if e.splitter.due == 0 {
		e.splitter.due = now
	}
	if now-e.splitter.due >= e.rank(live)*splitTurn {
		e.commitSplit(ctx, in)
	}
}

// sweepRows deletes the rows of dead members that are the home of nothing.
func (e *Entry) sweepRows(ctx context.Context, dead map[string]bool) {
	homes := e.slots.Split().Members
	var ops []platform.Op
	e.splitter.mu.Lock()
	rows := e.splitter.rows
	e.splitter.mu.Unlock()
	for _, id := range rows {
		if dead[id] && !slices.Contains(homes, id) {
			ops = append(ops, platform.Op{Kind: platform.OpDelete, Table: tableMembers, Key: id, Revision: platform.AnyRevision})
		}
	}
	if len(ops) == 0 {
		return
	}
	if err := e.platform.Commit(ctx, ops); err != nil {
		e.log.Debug().Err(err).Msg("rows-not-deleted")
	}
}

// rank is the number of live members before this one.
func (e *Entry) rank(live []slots.Candidate) time.Duration {
	self := e.members.Self().GetId()
	return time.Duration(max(0, slices.IndexFunc(live, func(c slots.Candidate) bool { return c.ID == self })))
}

// candidates returns the members that can be homes of tokens, ordered by id.
func (e *Entry) candidates(v *version.View) []slots.Candidate {
	var out []slots.Candidate
	for _, m := range e.members.Live(e.now()) {
		h := v.Hall(m.GetHall())
		if m.GetLeaving() || m.GetGone() || h == version.None {
			continue
		}
		out = append(out, slots.Candidate{ID: m.GetId(), Region: v.Regions[v.Halls[h].Region]})
	}
	return out
}

// commitSplit plans on the platform's present split and commits the plan.
func (e *Entry) commitSplit(ctx context.Context, in slots.PlanInput) {
	e.splitter.ceding = in.Transferred
	if err := e.readSplit(ctx); err != nil {
		e.splitter.boundTo = -1 // nothing was sent
		return
	}
	e.splitter.mu.Lock()
	revision := e.splitter.revision
	e.splitter.mu.Unlock()
	next, changed := slots.Plan(e.slots.Split(), in)
	if !changed {
		e.splitter.boundTo = -1
		return
	}
	e.writeSplit(ctx, next, revision)
}

// writeSplit commits a split over the row at a revision, and takes it up.
func (e *Entry) writeSplit(ctx context.Context, next *slots.Split, revision int64) {
	b, err := json.Marshal(next)
	if err != nil {
		e.log.Error().Err(err).Msg("split-not-written")
		return
	}
	e.splitter.boundTo = revision
	err = e.platform.Commit(ctx, []platform.Op{{
		Kind: platform.OpPut, Table: tableSlots, Key: keySplit, Revision: revision, Value: b,
	}})
	switch {
	case err == nil:
		e.slots.SetSplit(next, e.now())
		e.splitter.read(-1) // not known until it is read again
		e.splitter.boundTo = -1
		e.log.Info().Int64("epoch", next.Epoch).Msg("split")
		poke(e.push)
	case errors.Is(err, platform.Conflict), errors.Is(err, platform.Unavailable):
		e.splitter.boundTo = -1
	}
}

// settleCeding makes tokens usable again whose ceding surely failed. After a
// lost answer that is known only once the row has a new revision; if it still
// has the old one, it is written anew, so that the lost write can not come
// after. It returns false while the end is not known.
func (e *Entry) settleCeding(ctx context.Context) bool {
	s := &e.splitter
	if len(s.ceding) == 0 {
		return true
	}
	// Whatever became of the write, the row is read before a token is used.
	if err := e.readSplit(ctx); err != nil {
		return false
	}
	s.mu.Lock()
	revision := s.revision
	s.mu.Unlock()
	if revision == s.boundTo {
		same := *e.slots.Split()
		same.Epoch++
		e.writeSplit(ctx, &same, revision)
		return false
	}
	e.slots.CancelTransfer(s.ceding, e.now())
	s.ceding = nil
	s.boundTo = -1
	return true
}
