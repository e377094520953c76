// SPDX-License-Identifier: MIT

package logging

import (
	"io"
	"sync/atomic"
)

// asyncLines bounds the lines that wait to be written.
const asyncLines = 1024

// Async is a writer that never blocks its caller. Lines that find no room are
// dropped and counted.
type Async struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	Dropped atomic.Int64
}

// NewAsync returns a writer that passes lines on to out.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, lines: make(chan []byte, asyncLines), done: make(chan struct{})}
	go a.run()
	return a
}

// Write queues one line.
func (a *Async) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case a.lines <- line:
	default:
		a.Dropped.Add(1)
	}
	return len(p), nil
}

func (a *Async) run() {
	defer close(a.done)
	for line := range a.lines {
		_, _ = a.out.Write(line) // a log that can not be written has no reader
	}
}

// Close writes what is queued. Nothing may be written afterwards.
func (a *Async) Close() {
	close(a.lines)
	<-a.done
}
