// SPDX-License-Identifier: MIT

package logging

import (
	"io"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// maxQueuedLines is the maximum number of lines that wait to be written.
	maxQueuedLines = 1024
	// maxQueuedBytes is the maximum length of these lines together.
	maxQueuedBytes = 1 << 20
	// closeTimeout bounds the wait until the queued lines are written, so that a reader of the log that has stalled
	// doesn't delay the end of the process.
	closeTimeout = 100 * time.Millisecond
)

// AsyncWriter is a writer that never blocks its caller. Lines that find the queue full or cannot be written are
// dropped and counted. The first line after some were dropped is followed by one with their number.
type AsyncWriter struct {
	out         io.Writer
	lines       chan []byte
	queuedBytes atomic.Int64 // of the lines that wait or are being written
	closing     chan struct{}
	done        chan struct{}
	dropped     atomic.Int64
}

// NewAsyncWriter returns a writer that writes lines to out in a separate goroutine.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	a := &AsyncWriter{out: out, lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{})}
	go a.run()
	return a
}

// IgnoreBrokenPipes makes a write to a standard output or standard error whose reader has ended fail. Otherwise it
// ends the process.
func IgnoreBrokenPipes() { signal.Ignore(syscall.SIGPIPE) }

// Write queues one line. It copies the line and never fails.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	if !a.enqueue(p) {
		a.dropped.Add(1)
	}
	return len(p), nil
}

// WriteLast writes the last line of a process, for at most as long as Close waits.
func WriteLast(out io.Writer, line string) {
	a := NewAsyncWriter(out)
	_, _ = a.Write([]byte(line + "\n")) // never fails
	a.Close()
}

// enqueue copies a line to the queue. It returns false if the queue is full.
func (a *AsyncWriter) enqueue(p []byte) bool {
	size := int64(len(p))
	if a.queuedBytes.Add(size) <= maxQueuedBytes {
		select {
		case a.lines <- append([]byte(nil), p...):
			return true
		default:
		}
	}
	a.queuedBytes.Add(-size)
	return false
}

// Dropped returns the number of lines that were dropped.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

func (a *AsyncWriter) run() {
	defer close(a.done)
	log := New(a.out)
	reported := int64(0)
	write := func(line []byte) {
		defer a.queuedBytes.Add(-int64(len(line)))
		if _, err := a.out.Write(line); err != nil {
			a.dropped.Add(1) // the gauge tells it: there is no log to report it to
			return
		}
		if dropped := a.dropped.Load(); dropped > reported {
			log.Warn().Int64("lines", dropped-reported).Msg("log-lines-dropped")
			reported = dropped
		}
	}
	for {
		select {
		case line := <-a.lines:
			write(line)
		case <-a.closing:
			for range len(a.lines) {
				write(<-a.lines)
			}
			return
		}
	}
}

// Close writes the queued lines, as many as can be written within closeTimeout. Lines that are written afterwards are
// lost: goroutines that wait for the network may log while the process ends.
func (a *AsyncWriter) Close() {
	close(a.closing)
	select {
	case <-a.done:
	case <-time.After(closeTimeout): // a write that does not return must not delay the exit
	}
}
