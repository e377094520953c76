// SPDX-License-Identifier: MIT

package logging

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestWriteAfterCloseIsIgnored guards against a planned stop that ends with a panic, since a goroutine
// logs after the log was closed. All lines that were written before are kept.
func TestWriteAfterCloseIsIgnored(t *testing.T) {
	var out bytes.Buffer
	a := NewAsyncWriter(&out)
	want := ""
	for i := range maxQueuedLines / 2 {
		line := fmt.Sprintf("line %d\n", i)
		want += line
		_, _ = a.Write([]byte(line))
	}
	a.Close()
	for range 2 * maxQueuedLines {
		n, err := a.Write([]byte("late\n"))
		assert.NilError(t, err)
		assert.Equal(t, n, len("late\n"))
	}
	assert.Equal(t, out.String(), want)
}
