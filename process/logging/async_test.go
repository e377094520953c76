// SPDX-License-Identifier: MIT

package logging

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

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

// failingWriter is a writer whose writes fail while broken is set.
type failingWriter struct {
	bytes.Buffer
	broken bool
}

func (f *failingWriter) Write(p []byte) (int, error) {
	if f.broken {
		return 0, io.ErrClosedPipe
	}
	return f.Buffer.Write(p)
}

// TestLinesThatCannotBeWrittenAreCounted guards against a log that lacks lines and does not tell so.
func TestLinesThatCannotBeWrittenAreCounted(t *testing.T) {
	out := &failingWriter{broken: true}
	a := NewAsyncWriter(out)
	for range 3 {
		_, _ = a.Write([]byte("lost\n"))
	}
	for a.Dropped() < 3 {
		time.Sleep(time.Millisecond)
	}
	out.broken = false
	_, _ = a.Write([]byte("kept\n"))
	_, _ = a.Write([]byte("kept\n"))
	a.Close()
	assert.Equal(t, strings.Count(out.String(), "kept"), 2)
	assert.Equal(t, strings.Count(out.String(), "event=log-lines-dropped lines=3"), 1, out.String())
}
