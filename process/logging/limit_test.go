// SPDX-License-Identifier: MIT

package logging

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRateIsLimitedByEvent checks that many lines of one event do not suppress those of
// another, and that the number of suppressed lines is logged.
func TestRateIsLimitedByEvent(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(1000, 0)
	limit := NewRateLimiter(func() time.Time { return now })
	log := New(&out).Hook(limit)
	for range 10 * defaultRate {
		log.Info().Msg("refused")
		log.Info().Msg("answered")
	}
	log.Info().Msg("stopping")
	text := out.String()
	assert.Equal(t, strings.Count(text, "event=refused"), defaultRate)
	assert.Equal(t, strings.Count(text, "event=answered"), successRate)
	assert.Equal(t, strings.Count(text, "event=stopping"), 1)
	assert.Equal(t, limit.Suppressed(), int64(20*defaultRate-defaultRate-successRate))
	out.Reset()
	now = now.Add(time.Second)
	log.Info().Msg("refused")
	assert.Assert(t, strings.Contains(out.String(), "leftOut=900"), "%s", out.String())
	out.Reset()
	log.Info().Msg("refused")
	assert.Assert(t, !strings.Contains(out.String(), "leftOut"), "%s", out.String())
}
