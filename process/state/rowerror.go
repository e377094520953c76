// SPDX-License-Identifier: MIT

package state

import "fmt"

// RowError says why a row can't be used.
type RowError struct {
	Key string
	// Reason is one of a few fixed words, used as a metric label.
	Reason string
	Err    error
}

// Error implements error.
func (e *RowError) Error() string { return fmt.Sprintf("row %q: %s: %s", e.Key, e.Reason, e.Err) }

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.Err }
