// SPDX-License-Identifier: MIT

// Package clock provides waits that end with a context, a clock that includes the time for which
// the machine was suspended, and measurements of suspensions and of scheduling delay.
package clock

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Sleep waits for d or until the context is done. It reports whether it waited
// for all of d. If d is zero or less, it returns immediately and reports whether
// the context is not done.
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

// phase is the random offset of the wake-up times of SleepAligned in this process, so that
// processes that start together do not all wake up at the same time.
var phase = sync.OnceValue(func() time.Duration { return rand.N(time.Second) })

// SleepAligned waits until the next multiple of a period, and reports whether the context is not
// done. It is for loops that poll: those with the same period wake up together, since a separate
// wake-up costs more than the work that most of them do.
func SleepAligned(ctx context.Context, period time.Duration) bool {
	return Sleep(ctx, period-(Now()+phase())%period)
}
