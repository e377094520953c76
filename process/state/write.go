// SPDX-License-Identifier: MIT

package state

// Expected is a row that a write is made against.
type Precondition struct {
	Table, Key string
	// Version is that of the transaction that wrote the row. Zero: it must not be there.
	Version int64
}

// Written is a row that a write puts, whatever it was but for what is expected.
type Put struct {
	Table, Key string
	Value      []byte
}
