// SPDX-License-Identifier: MIT

package state

import "fmt"

// RowError says why a row can't be used.
type RowError struct {
	Key string
	// Reason is one of a few words, for metrics.
	Reason string
	Err    error
}

// Error describes the failure.
func (e *RowError) Error() string { return fmt.Sprintf("row %q: %s: %s", e.Key, e.Reason, e.Err) }

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.Err }
