// SPDX-License-Identifier: MIT

package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLimiterDeficitIsBoundedAfterShareShrinks guards against refusals (OVER_QUOTA) for half a
// second at a fiftieth of the limit. An instance changed its owner just before it learned of
// the other instances, so that its share shrank, while the deficit remained that of the larger
// share. Requests at 20 per second were refused within a share of 130, although the owner had
// responded 60 ms before and its bucket was full.
func TestLimiterDeficitIsBoundedAfterShareShrinks(t *testing.T) {
	const before, after = 266.0, 133.0
	now := time.Minute
	l := emptyLimiter(before, now)
	now += time.Second / 50
	assert.Assert(t, l.allows(after, depthFor(after), now))
	l.deficit++
	assert.Assert(t, l.deficit <= depthFor(after))
}
