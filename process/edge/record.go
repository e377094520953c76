// SPDX-License-Identifier: MIT

package edge

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"

	"shalewick/process/rollout"
	"shalewick/process/state"
)

// knownRecord is the record of a service's latest rollout, as read from its row. The zero value
// stands for no record.
type knownRecord struct {
	record      *rollout.Record
	revision    int64
	lostByStore bool // the store has lost it, or has an older version
}

// running reports whether the rollout has not ended.
func (k knownRecord) running() bool { return k.record != nil && !k.record.Phase.Ended() }

// endsOrder reports whether the record says how the rollout of an order ended.
func (k knownRecord) endsOrder(o *rollout.Order) bool {
	return k.record != nil && k.record.Phase.Ended() && k.record.For(o)
}

// recordKeyPrefix precedes the keys of the rows of records in the log, which tells them from those of backend
// servers.
const recordKeyPrefix = "rollout-record/"

// Reasons why a row can't be used.
const (
	reasonUnreadable = "unreadable" // it has another format
	reasonValue      = "value"      // a field has an invalid value
)

// records returns the table of rollout records.
func (e *Edge) records() *state.Table { return e.follower.Tables[e.deployment.RecordTable] }

// knownRecords returns the records in the table by service, and the problems of unreadable rows.
func knownRecords(table *state.Table) (map[string]knownRecord, []error) {
	held := table.Retained()
	out := make(map[string]knownRecord)
	var problems []error
	for _, row := range table.Rows() {
		r, err := parseRecord(row)
		if err != nil {
			problems = append(problems, err)
			continue
		}
		k := knownRecord{record: r, revision: row.Version}
		if stored, lost := held[row.Key]; lost {
			k.revision, k.lostByStore = stored, true
		}
		out[row.Key] = k
	}
	return out, problems
}

// parseRecord returns the record in a row. Rows may be written by anyone.
func parseRecord(row state.Row) (*rollout.Record, *state.RowError) {
	r := new(rollout.Record)
	if err := json.Unmarshal(row.Value, r); err != nil {
		return nil, &state.RowError{Key: recordKeyPrefix + row.Key, Reason: reasonUnreadable, Err: err}
	}
	switch r.Phase {
	case rollout.Canary, rollout.Promote, rollout.Completed, rollout.Reverted:
	default:
		return nil, &state.RowError{Key: recordKeyPrefix + row.Key, Reason: reasonValue, Err: errors.Errorf("unknown phase %q", r.Phase)}
	}
	r.Service = row.Key
	return r, nil
}

// readRecords reads the records from the store itself and puts them in force.
func (e *Edge) readRecords(ctx context.Context) error {
	requested := e.now()
	d, err := e.deployment.Store.Read(ctx, e.deployment.RecordTable)
	if err != nil {
		return err
	}
	now := e.now()
	d.Age = now - requested
	if e.records().Apply(d, now) {
		e.recompile()
	}
	return nil
}

// writeRecord writes a step and its status row for operators, if the record is still the one
// that the step was derived from. It returns the version of the row.
func (e *Edge) writeRecord(ctx context.Context, p rollout.Proposal) (int64, error) {
	value, err := json.Marshal(p.Record)
	if err != nil {
		return 0, errors.Trace(err)
	}
	status, err := e.deployment.RolloutStatus(p.Record)
	if err != nil {
		return 0, err
	}
	table, key := e.deployment.RecordTable, p.Record.Service
	revision, err := e.deployment.Store.Write(ctx,
		[]state.Precondition{{Table: table, Key: key, Version: p.Revision}},
		[]state.Put{{Table: table, Key: key, Value: value}, status})
	if err != nil {
		return 0, err
	}
	e.applyWrittenRecord(p, state.Row{Key: key, Value: value, Version: revision})
	return revision, nil
}

// applyWrittenRecord applies a record that this instance has written, before it arrives through
// the table.
func (e *Edge) applyWrittenRecord(p rollout.Proposal, row state.Row) {
	e.compileMu.Lock()
	e.records().Apply(state.Delta{Rows: []state.Row{row}}, e.now())
	e.rollouts.Confirm(p, row.Version)
	e.compileMu.Unlock()
	e.recompile()
}
