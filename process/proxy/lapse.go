// SPDX-License-Identifier: MIT

package proxy

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// leastSuspended is what the two clocks of a request may differ by without a suspension of the
// machine: they are read one after the other, and a thread may be held up in between.
const minSuspension = 100 * time.Millisecond

// left returns the time until the request's deadline. Contexts, timers and sockets wait by a
// clock that stands still while the machine is suspended; the caller's time goes on.
func (c *call) timeLeft() time.Duration {
	left := time.Until(c.deadline)
	if lost := (c.bootClock() - c.startedOnBootClock) - time.Since(c.startedAt); lost >= minSuspension {
		left -= lost
	}
	return left
}

// reading tells whether a request's body is being read. The zero value is ready.
type bodyReadState struct {
	mu     sync.Mutex
	active bool
}

// reads lets the reading of the body end at a time; zero: it is over.
func (c *call) setBodyReadDeadline(until time.Time) {
	c.bodyRead.mu.Lock()
	defer c.bodyRead.mu.Unlock()
	c.bodyRead.active = !until.IsZero()
	_ = http.NewResponseController(c.w).SetReadDeadline(until) // an error means that the caller is gone
}

// endReading ends the reading of the body, if it is being read. At any other time it would look
// as if the caller had left.
func (c *call) abortBodyRead() {
	c.bodyRead.mu.Lock()
	defer c.bodyRead.mu.Unlock()
	if c.bodyRead.active {
		_ = http.NewResponseController(c.w).SetReadDeadline(aLongTimeAgo) // an error means that the caller is gone
	}
}

// calls are the requests under way that have a deadline. The zero value is ready.
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

// past is a deadline that ends all waiting.
var aLongTimeAgo = time.Unix(1, 0)

// EndLapsed ends the requests whose deadline passed while the machine was suspended: nothing
// else would, for as long as that took. Answers that are there by now have been read.
func (p *Proxy) CancelExpired() (ended int) {
	p.calls.mu.Lock()
	defer p.calls.mu.Unlock()
	for c, cancel := range p.calls.cancels {
		if c.timeLeft() > 0 {
			continue
		}
		cancel()
		c.abortBodyRead()
		ended++
	}
	return ended
}
