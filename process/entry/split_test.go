// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"shalewick/process/peer"
	"shalewick/process/platform"
	"shalewick/process/slots"
)

// fakePlatform is a platform that has only the split's row. Commit passes each
// write to onCommit.
type fakePlatform struct {
	platform.Platform
	row      platform.Row
	onCommit func(ops []platform.Op) error
}

func (p *fakePlatform) Get(context.Context, string, string) (platform.Row, error) { return p.row, nil }

func (p *fakePlatform) Commit(_ context.Context, ops []platform.Op) error { return p.onCommit(ops) }

// apply carries out a write if its condition holds.
func (p *fakePlatform) apply(ops []platform.Op) error {
	if ops[0].Revision != p.row.Revision {
		return platform.ErrConflict
	}
	p.row.Revision++
	p.row.Value = ops[0].Value
	return nil
}

// TestDelayedSplitWriteIsNotUndone guards against a member using tokens that it has ceded. The
// response to the ceding is lost, and its write takes effect only while the member tries to rule
// that out. The tokens then belong to the other member.
func TestDelayedSplitWriteIsNotUndone(t *testing.T) {
	e := newConfiguredEntry(t, 1)
	view := e.steer.Active().View
	self := e.members.Self().GetId()
	e.members.Merge([]*peer.Member{{Id: "z", Hall: "h", Peer: "127.0.0.1:2"}}, e.now())
	e.members.RecordContact("z", e.now())
	all, _ := slots.Plan(&slots.Split{}, slots.PlanInput{Live: []slots.Candidate{{ID: self, Region: "r"}}, View: view})
	e.slots.SetSplit(all, e.now())
	value, err := json.Marshal(all)
	assert.NilError(t, err)
	p := &fakePlatform{row: platform.Row{Revision: 1, Value: value}}
	e.platform = p
	var delayed []platform.Op
	p.onCommit = func(ops []platform.Op) error {
		if delayed == nil {
			delayed = ops // still in transit
			return platform.ErrUnknownOutcome
		}
		_ = p.apply(delayed) // takes effect now, before this write
		return p.apply(ops)
	}
	e.splitter.lastCedeCheck = -cedeInterval // due
	for range 4 {
		e.splitRound(context.Background())
		row, err := slots.ParseSplit(p.row.Value)
		assert.NilError(t, err)
		own := 0
		for i := range 4 {
			if row.Owner("upstream/u0", i) == self {
				own++
			}
		}
		free := e.slots.Status(e.now())[0].Free
		assert.Assert(t, free <= own, "%d tokens are usable, the row gives %d", free, own)
	}
	assert.Assert(t, delayed != nil)
}
