// SPDX-License-Identifier: MIT

package proxy

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// minSuspension is the smallest difference between the two clocks of a request that counts as a
// suspension of the machine. The clocks are read one after the other, and the thread may be
// descheduled in between.
const minSuspension = 100 * time.Millisecond

// timeLeft returns the time until the request's deadline. Contexts, timers and sockets use a clock
// that stops while the machine is suspended; the caller's deadline does not.
func (c *call) timeLeft() time.Duration {
	remaining := time.Until(c.deadline)
	if suspended := (c.bootClock() - c.startedOnBootClock) - time.Since(c.startedAt); suspended >= minSuspension {
		remaining -= suspended
	}
	return remaining
}

// bodyReadState records whether a request's body is being read. The zero value is ready to use.
type bodyReadState struct {
	mu     sync.Mutex
	active bool
}

// setBodyReadDeadline starts the reading of the body with a deadline. A zero time ends it.
func (c *call) setBodyReadDeadline(until time.Time) {
	c.bodyRead.mu.Lock()
	defer c.bodyRead.mu.Unlock()
	c.bodyRead.active = !until.IsZero()
	_ = http.NewResponseController(c.w).SetReadDeadline(until) // an error means that the caller has disconnected
}

// abortBodyRead aborts the reading of the body if it is in progress. At any other time, a read
// deadline would be taken for a disconnect of the caller.
func (c *call) abortBodyRead() {
	c.bodyRead.mu.Lock()
	defer c.bodyRead.mu.Unlock()
	if c.bodyRead.active {
		_ = http.NewResponseController(c.w).SetReadDeadline(aLongTimeAgo) // an error means that the caller has disconnected
	}
}

// Abort implements drain.Aborter.
func (c *call) Abort() {
	c.cancel()
	c.abortBodyRead()
}

// callSet is the set of requests in flight that have a deadline. The zero value is ready to use.
type callSet struct {
	mu      sync.Mutex
	cancels map[*call]context.CancelFunc
}

func (s *callSet) add(c *call, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancels == nil {
		s.cancels = make(map[*call]context.CancelFunc)
	}
	s.cancels[c] = cancel
}

func (s *callSet) remove(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.cancels, c)
}

// aLongTimeAgo is a deadline that interrupts pending I/O immediately.
var aLongTimeAgo = time.Unix(1, 0)

// CancelExpired cancels the requests whose deadline passed while the machine was suspended, and
// returns their number. Their timers did not advance, so they would otherwise continue for as long as
// the suspension lasted. Responses that have arrived by now have already been read.
func (p *Proxy) CancelExpired() (cancelled int) {
	p.calls.mu.Lock()
	defer p.calls.mu.Unlock()
	for c, cancel := range p.calls.cancels {
		if c.timeLeft() > 0 {
			continue
		}
		cancel()
		c.abortBodyRead()
		cancelled++
	}
	return cancelled
}
