// SPDX-License-Identifier: MIT

package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestWindowForgets(t *testing.T) {
	w := &Window{Span: 10 * time.Second, Fixed: 2, Instances: func() int { return 1 }}
	now := time.Hour
	for range 2 {
		assert.Assert(t, w.Retry("s", now))
	}
	assert.Assert(t, !w.Retry("s", now))
	assert.Assert(t, w.Retry("t", now), "services are counted apart")
	now += 11 * time.Second
	assert.Assert(t, w.Retry("s", now))
}
