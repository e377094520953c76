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

// rowPlatform is a platform with the split's row only. Commit asks act what to
// do with each write.
type rowPlatform struct {
	platform.Platform
	row platform.Row
	act func(ops []platform.Op) error
}

func (p *rowPlatform) Get(context.Context, string, string) (platform.Row, error) { return p.row, nil }

func (p *rowPlatform) Commit(_ context.Context, ops []platform.Op) error { return p.act(ops) }

// land carries a write out, if its condition holds.
func (p *rowPlatform) land(ops []platform.Op) error {
	if ops[0].Revision != p.row.Revision {
		return platform.Conflict
	}
	p.row.Revision++
	p.row.Value = ops[0].Value
	return nil
}

// TestLateSplitIsNotUndone: the answer to a ceding is lost, and its write lands
// only while the member tries to rule that out. The tokens are the other's then.
func TestLateSplitIsNotUndone(t *testing.T) {
	e := configured(t, 1)
	view := e.steer.Active().View
	self := e.members.Self().GetId()
	e.members.Merge([]*peer.Member{{Id: "z", Hall: "h", Peer: "127.0.0.1:2"}}, e.now())
	e.members.RecordContact("z", e.now())
	all, _ := slots.Plan(&slots.Split{}, slots.PlanInput{Live: []slots.Candidate{{ID: self, Region: "r"}}, View: view})
	e.slots.SetSplit(all, e.now())
	value, err := json.Marshal(all)
	assert.NilError(t, err)
	p := &rowPlatform{row: platform.Row{Revision: 1, Value: value}}
	e.platform = p
	var late []platform.Op
	p.act = func(ops []platform.Op) error {
		if late == nil {
			late = ops // on its way
			return platform.Unknown
		}
		_ = p.land(late) // it lands now, before this one
		return p.land(ops)
	}
	e.splitter.ceded = -cedeEvery // due
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
	assert.Assert(t, late != nil)
}
