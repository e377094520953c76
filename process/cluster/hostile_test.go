// SPDX-License-Identifier: MIT

package cluster

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestDatagramOfManyRumoursIsRefused checks one of a few bytes that says that it holds four
// billion members: to make room for them would end the process.
func TestDatagramWithHugeListIsRejected(t *testing.T) {
	_, err := decodeDatagram([]byte("\x81\xa1r\xdd\xff\xff\xff\xf0"))
	assert.Assert(t, err != nil)
}
