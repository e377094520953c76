// SPDX-License-Identifier: MIT

package logging

import (
	"io"
	"sync/atomic"
)

// maxQueuedLines is the maximum number of lines that wait to be written.
const maxQueuedLines = 1024

// AsyncWriter is a writer that never blocks its caller. If the queue is full, lines are
// dropped and counted.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	closing chan struct{}
	done    chan struct{}
	Dropped atomic.Int64
}

// NewAsyncWriter returns a writer that writes lines to out in a separate goroutine.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	a := &AsyncWriter{out: out, lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{})}
	go a.run()
	return a
}

// Write queues one line. It copies the line and never fails.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case a.lines <- line:
	default:
		a.Dropped.Add(1)
	}
	return len(p), nil
}

func (a *AsyncWriter) run() {
	defer close(a.done)
	for {
		select {
		case line := <-a.lines:
			a.write(line)
		case <-a.closing:
			for range len(a.lines) {
				a.write(<-a.lines)
			}
			return
		}
	}
}

func (a *AsyncWriter) write(line []byte) {
	_, _ = a.out.Write(line) // there is nowhere to report a failure to write the log
}

// Close writes the queued lines. Lines that are written afterwards are lost: goroutines that wait for
// the network may log while the process ends.
func (a *AsyncWriter) Close() {
	close(a.closing)
	<-a.done
}
