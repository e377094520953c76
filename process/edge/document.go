// SPDX-License-Identifier: MIT

package edge

import (
	"bytes"
	"slices"

	"github.com/juju/errors"

	"shalewick/process/state"
	"shalewick/version"
)

// reasonOlder is the reason of an operator's document of an older version than the one in force.
const reasonOlderVersion = "older"

// Documents decides which of the operator's documents is in force: the newest good one. Beside a
// bad one all other rows are taken up, since what leaves or is evacuated must not wait until
// somebody has mended it. The fields are set before use; it is not safe for concurrent use.
type DocumentSelector struct {
	// Key is the key of the document's row.
	Key string
	// Translate translates rows. Without a configuration the document, or what it needs, is bad.
	Translate func(operator, backends []state.Row) (*version.Config, []error)

	lastGood  state.Row // its value is nil if there was none
	seq       int64     // of good
	rejected  []byte    // the document that was refused last
	rejection error     // of refused; nil: there is none
}

// Reread lets a document that was refused be read again: what it may name has changed.
func (d *DocumentSelector) RetryRejected() { d.rejection = nil }

// Configuration returns what the rows say with the newest good document, and all problems.
func (d *DocumentSelector) Configuration(operator, backends []state.Row) (*version.Config, []error) {
	at := slices.IndexFunc(operator, func(r state.Row) bool { return r.Key == d.Key })
	if at < 0 {
		_, problems := d.Translate(operator, nil)
		return d.withLastGood(problems, operator, at, backends)
	}
	row := operator[at]
	if d.rejection != nil && bytes.Equal(d.rejected, row.Value) {
		return d.withLastGood([]error{d.rejection}, operator, at, backends)
	}
	c, problems := d.Translate(operator, backends)
	if c != nil && c.Seq < d.seq {
		c = nil
		problems = []error{&state.RowError{Key: d.Key, Reason: reasonOlderVersion, Err: errors.Errorf(
			"the operator's row %s: its version is older than %x, which is in force", d.Key, d.seq)}}
	}
	if c == nil {
		d.rejected, d.rejection = bytes.Clone(row.Value), problems[0]
		return d.withLastGood(problems[:1], operator, at, backends)
	}
	d.lastGood, d.seq, d.rejected, d.rejection = row, c.Seq, nil, nil
	return c, problems
}

// beside returns what the rows say with the last good document in place of the one at an index,
// which has problems; -1: there is none.
func (d *DocumentSelector) withLastGood(problems []error, operator []state.Row, at int, backends []state.Row) (*version.Config, []error) {
	if d.lastGood.Value == nil {
		return nil, problems
	}
	rows := slices.Clone(operator)
	if at < 0 {
		rows = append(rows, d.lastGood)
	} else {
		rows[at] = d.lastGood
	}
	c, others := d.Translate(rows, backends)
	if c == nil {
		return nil, problems // the last good one names what is gone
	}
	return c, append(problems, others...)
}
