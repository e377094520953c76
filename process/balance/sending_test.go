// SPDX-License-Identifier: MIT

package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestHeldAnswersOccupyNoSlot guards against callers being refused with QUEUE_FULL while others
// read large responses slowly: each response in transfer counted as a request that occupies a slot, so
// that idle backend servers seemed to have queues of seconds. At one of three instances 577 of 582
// quick callers were refused beside 2,000 that read one byte a second; none were once such responses
// counted as processed.
func TestHeldAnswersOccupyNoSlot(t *testing.T) {
	const answers = 50
	p := newFixture(1)
	p.backend("u", 0, nil)
	p.install()
	for i := range answers {
		k := p.pick(t, uint64(i))
		assert.Equal(t, k.Wait, time.Duration(0))
		k.Hold()
		k.Done(Answered, &Report{Running: 1, Slots: 1})
	}
	u := p.stateOf("u")
	assert.Equal(t, u.inFlight, answers)
	assert.Equal(t, u.ownLoad(), 0)

}
