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

// Intervals and limits of splitting tokens among members.
const (
	splitInterval = 500 * time.Millisecond
	// takeoverDelay is how long a member waits for each live member with a
	// lower id to write the split before it does so itself.
	takeoverDelay = time.Second
	// cedeInterval is how often a member looks for tokens that other members
	// should own.
	cedeInterval     = 2 * time.Second
	maxCededPerRound = 64
)

// splitter holds a member's state of splitting tokens.
type splitter struct {
	mu       sync.Mutex // guards revision and rows
	revision int64      // of the split's row, as last read
	rows     []string   // ids of the members' rows, as last read

	round sync.Mutex // held for a whole round; guards the fields below
	// ceding holds tokens that this member no longer uses because of a
	// transaction with unknown outcome. They stay unused until the row's
	// revision differs from the one that the transaction expected.
	ceding           []slots.TokenID
	expectedRevision int64
	neededSince      time.Duration // since when a new split is needed; 0: it is not
	lastCedeCheck    time.Duration // last time that tokens to cede were looked for
}

// setRevision stores the revision of the split's row.
func (s *splitter) setRevision(revision int64) {
	s.mu.Lock()
	s.revision = revision
	s.mu.Unlock()
}

// setRows stores the ids of the members' rows.
func (s *splitter) setRows(ids []string) {
	s.mu.Lock()
	s.rows = ids
	s.mu.Unlock()
}

// splitLoop assigns owners to tokens that have none.
func (e *Entry) splitLoop(ctx context.Context) {
	select {
	case <-e.synced:
	case <-ctx.Done():
		return
	}
	t := time.NewTicker(splitInterval)
	defer t.Stop()
	for {
		e.splitRound(ctx)
		select {
		case <-e.splitNeeded: // a new version may have new limits
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// splitRound writes a new split if tokens need one and it is this member's
// turn. Otherwise it cedes tokens that other members should own.
func (e *Entry) splitRound(ctx context.Context) {
	b := e.steer.Active()
	e.splitter.round.Lock()
	defer e.splitter.round.Unlock()
	if b == nil || e.members.Leaving() {
		return
	}
	if !e.resolveCeding(ctx) {
		return
	}
	now := e.now()
	live := e.candidates(b.View)
	in := slots.PlanInput{Live: live, Down: e.members.Down(now), View: b.View, Planner: e.members.Self().GetId()}
	_, needed := slots.Plan(e.slots.Split(), in)
	if !needed {
		e.splitter.neededSince = 0
		if e.rank(live) == 0 {
			e.deleteDownRows(ctx, in.Down)
		}
		if now-e.splitter.lastCedeCheck < cedeInterval {
			return
		}
		e.splitter.lastCedeCheck = now
		in.Transferred = e.slots.StartTransfer(live, maxCededPerRound, now)
		if len(in.Transferred) > 0 {
			e.commitSplit(ctx, in)
		}
		return
	}
	if e.splitter.neededSince == 0 {
		e.splitter.neededSince = now
	}
	if now-e.splitter.neededSince >= e.rank(live)*takeoverDelay {
		e.commitSplit(ctx, in)
	}
}

// deleteDownRows deletes the rows of members that are down and own no tokens.
func (e *Entry) deleteDownRows(ctx context.Context, down map[string]bool) {
	owners := e.slots.Split().Members
	var ops []platform.Op
	e.splitter.mu.Lock()
	rows := e.splitter.rows
	e.splitter.mu.Unlock()
	for _, id := range rows {
		if down[id] && !slices.Contains(owners, id) {
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

// rank returns the number of candidates with a lower id than this member.
func (e *Entry) rank(live []slots.Candidate) time.Duration {
	self := e.members.Self().GetId()
	return time.Duration(max(0, slices.IndexFunc(live, func(c slots.Candidate) bool { return c.ID == self })))
}

// candidates returns the members that can own tokens, ordered by id.
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

// commitSplit reads the platform's current split, plans the next one and
// commits it.
func (e *Entry) commitSplit(ctx context.Context, in slots.PlanInput) {
	e.splitter.ceding = in.Transferred
	if err := e.readSplit(ctx); err != nil {
		e.splitter.expectedRevision = -1 // nothing was sent
		return
	}
	e.splitter.mu.Lock()
	revision := e.splitter.revision
	e.splitter.mu.Unlock()
	next, changed := slots.Plan(e.slots.Split(), in)
	if !changed {
		e.splitter.expectedRevision = -1
		return
	}
	e.writeSplit(ctx, next, revision)
}

// writeSplit commits a split if the row still has the given revision, and
// installs it.
func (e *Entry) writeSplit(ctx context.Context, next *slots.Split, revision int64) {
	b, err := json.Marshal(next)
	if err != nil {
		e.log.Error().Err(err).Msg("split-not-written")
		return
	}
	e.splitter.expectedRevision = revision
	err = e.platform.Commit(ctx, []platform.Op{{
		Kind: platform.OpPut, Table: tableSlots, Key: keySplit, Revision: revision, Value: b,
	}})
	switch {
	case err == nil:
		e.slots.SetSplit(next, e.now())
		e.splitter.setRevision(-1) // unknown until the row is read again
		e.splitter.expectedRevision = -1
		e.log.Info().Int64("epoch", next.Epoch).Msg("split")
		notify(e.pushNeeded)
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrUnavailable):
		e.splitter.expectedRevision = -1
	}
}

// resolveCeding makes tokens usable again if ceding them certainly failed. After
// a lost response that is known only once the row has a new revision. If it
// still has the old one, the split is written again under a new epoch, so that
// the lost write can't take effect later. It returns false while the outcome is
// unknown.
func (e *Entry) resolveCeding(ctx context.Context) bool {
	s := &e.splitter
	if len(s.ceding) == 0 {
		return true
	}
	// The row is read before a token is used, whatever the outcome of the write.
	if err := e.readSplit(ctx); err != nil {
		return false
	}
	s.mu.Lock()
	revision := s.revision
	s.mu.Unlock()
	if revision == s.expectedRevision {
		current := *e.slots.Split()
		current.Epoch++
		e.writeSplit(ctx, &current, revision)
		return false
	}
	e.slots.CancelTransfer(s.ceding, e.now())
	s.ceding = nil
	s.expectedRevision = -1
	return true
}
