// SPDX-License-Identifier: MIT

// Package clock waits, for code that may be told to stop waiting.
package clock

import (
	"context"
	"math/rand/v2"
	"sync"
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

// phase is where the grid of SleepAligned begins in this process, so that processes that start
// together do not all wake at the same moments.
var phase = sync.OnceValue(func() time.Duration { return rand.N(time.Second) })

// SleepAligned waits for the next multiple of a period, and reports whether the context goes on.
// Loops that only look whether there is something to do wake together by it: each wake-up by
// itself costs more than what most of them do.
func SleepAligned(ctx context.Context, period time.Duration) bool {
	return Sleep(ctx, period-(Now()+phase())%period)
}
