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

// blockedWriter is a writer whose writes wait until it is released.
type blockedWriter struct {
	bytes.Buffer
	released chan struct{}
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.released
	return b.Buffer.Write(p)
}

// TestLongLinesOfAStalledLogTakeLittleMemory guards against a log whose reader has stalled and that queues lines of any length:
// they contain what callers send, as the ids of their requests.
func TestLongLinesOfAStalledLogTakeLittleMemory(t *testing.T) {
	const lineBytes = 100 << 10
	out := &blockedWriter{released: make(chan struct{})}
	a := NewAsyncWriter(out)
	line := append(bytes.Repeat([]byte("x"), lineBytes-1), '\n')
	for range maxQueuedLines {
		_, _ = a.Write(line)
	}
	queued := (maxQueuedLines - a.Dropped()) * lineBytes
	assert.Assert(t, queued > 0 && queued <= maxQueuedBytes, "%d bytes", queued)
	close(out.released)
	for a.queuedBytes.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	_, _ = a.Write([]byte("short\n"))
	a.Close()
	assert.Equal(t, strings.Count(out.String(), "short\n"), 1)
}
