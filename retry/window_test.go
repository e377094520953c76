// SPDX-License-Identifier: MIT

package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestWindowExpires(t *testing.T) {
	w := &Window{Span: 10 * time.Second, Fixed: 2, Instances: func() int { return 1 }}
	now := time.Hour
	for range 2 {
		assert.Assert(t, w.TryRetry("s", now))
	}
	assert.Assert(t, !w.TryRetry("s", now))
	assert.Assert(t, w.TryRetry("t", now), "services are counted separately")
	now += 11 * time.Second
	assert.Assert(t, w.TryRetry("s", now))
}

// TestClockJumpGrantsNoExtraRetries lets the clock jump by less than the window, as after a
// suspension of the machine: retries within the window still count, however much of it the
// machine was suspended.
func TestClockJumpGrantsNoExtraRetries(t *testing.T) {
	const span, jump = 10 * time.Second, 5 * time.Second
	w := &Window{Span: span, Fixed: 2, Instances: func() int { return 1 }}
	now := time.Hour
	for range 2 {
		assert.Assert(t, w.TryRetry("s", now))
	}
	now += jump
	assert.Assert(t, !w.TryRetry("s", now), "the retries are 5 s old")
	now += jump - time.Second
	assert.Assert(t, !w.TryRetry("s", now), "they are 9 s old")
	now += jump
	assert.Assert(t, w.TryRetry("s", now))
}
