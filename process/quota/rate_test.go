// SPDX-License-Identifier: MIT

package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPaceOfASmallerShareGoesOn tells of requests that were refused with OVER_QUOTA for half a
// second at a fiftieth of the limit: an instance had turned to another owner just before it
// found the others, so that its share shrank. What was to be used up first was as of the larger
// share. What proved it: refusals at 20 a second within a share of 130, the owner's last answer
// 60 ms old and its bucket full; none with what is missing bounded.
func TestLimiterDeficitIsBoundedAfterShareShrinks(t *testing.T) {
	const before, after = 266.0, 133.0
	now := time.Minute
	p := emptyLimiter(before, now)
	now += time.Second / 50
	assert.Assert(t, p.allows(after, depthFor(after), now))
	p.deficit++
	assert.Assert(t, p.deficit <= depthFor(after))
}
