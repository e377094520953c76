// SPDX-License-Identifier: MIT

package state

// Precondition is the version of a row that a write expects.
type Precondition struct {
	Table, Key string
	// Version is that of the transaction that wrote the row. Zero: the row must not exist.
	Version int64
}

// Put is a row that a write puts, whatever its current value; only a Precondition can restrict that.
type Put struct {
	Table, Key string
	Value      []byte
}
