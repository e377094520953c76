// SPDX-License-Identifier: MIT

// Package clock waits, for code that may be told to stop waiting.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d, or until the context ends. It reports whether it waited
// for all of d; a d of zero or less is over at once, and reports whether the
// context still lasts.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
