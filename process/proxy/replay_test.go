// SPDX-License-Identifier: MIT

package proxy

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestLargeBodyIsSentAfterFailedConnect guards against large uploads that are rejected because no
// connection to the first backend server could be opened, although nothing of their body was sent.
func TestLargeBodyIsSentAfterFailedConnect(t *testing.T) {
	f := newFixture(t, 2)
	f.backends[0].Close()
	body := strings.Repeat("x", 2<<20)
	for i := range 8 {
		id := fmt.Sprintf("x%d", i)
		f.assertServed(f.sendFor(fmt.Sprint(i), id, "/bids/1", body), id)
	}
	for _, run := range f.backends[1].Runs() {
		assert.Assert(t, run.Body == body)
	}
}
