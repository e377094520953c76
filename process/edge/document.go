// SPDX-License-Identifier: MIT

package edge

import (
	"bytes"
	"slices"

	"github.com/juju/errors"

	"shalewick/process/state"
	"shalewick/version"
)

// reasonOlderVersion is the reason of a document whose version is older than the one in force.
const reasonOlderVersion = "older"

// DocumentSelector selects the operator's document that is in force: the newest valid one. If the
// current one is invalid, all other rows still take effect, since what leaves or is evacuated must
// not wait until the document has been corrected. The fields are set before use. It is not safe for
// concurrent use.
type DocumentSelector struct {
	// Key is the key of the document's row.
	Key string
	// Translate converts rows to a configuration. It returns none if the document, or something
	// that it needs, is invalid.
	Translate func(operator, backends []state.Row) (*version.Config, []error)

	lastGood  state.Row // its Value is nil if there is none
	seq       int64     // version of lastGood
	rejected  []byte    // the document that was rejected last
	rejection error     // why it was rejected; nil if it was not
}

// RetryRejected makes the next call evaluate a rejected document again: what it refers to has
// changed.
func (d *DocumentSelector) RetryRejected() { d.rejection = nil }

// Configuration returns the configuration of the rows with the newest valid document, and all
// problems.
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
			"row %s of the operator: the version is older than %x, which is in force", d.Key, d.seq)}}
	}
	if c == nil {
		d.rejected, d.rejection = bytes.Clone(row.Value), problems[0]
		return d.withLastGood(problems[:1], operator, at, backends)
	}
	d.lastGood, d.seq, d.rejected, d.rejection = row, c.Seq, nil, nil
	return c, problems
}

// withLastGood returns the configuration of the rows with the last valid document in place of the
// row at index at, which has problems, or added to the rows if at is -1.
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
		return nil, problems // the last valid document refers to something that is gone
	}
	return c, append(problems, others...)
}
