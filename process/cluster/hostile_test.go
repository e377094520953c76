// SPDX-License-Identifier: MIT

package cluster

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestDatagramWithHugeListIsRejected guards against a datagram of a few bytes that declares a list of
// four billion members: allocating it would crash the process.
func TestDatagramWithHugeListIsRejected(t *testing.T) {
	_, err := decodeDatagram([]byte("\x81\xa1r\xdd\xff\xff\xff\xf0"))
	assert.Assert(t, err != nil)
}
