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
const leastSuspended = 100 * time.Millisecond

// left returns the time until the request's deadline. Contexts, timers and sockets wait by a
// clock that stands still while the machine is suspended; the caller's time goes on.
func (c *call) left() time.Duration {
	left := time.Until(c.deadline)
	if lost := (c.now() - c.begun) - time.Since(c.began); lost >= leastSuspended {
		left -= lost
	}
	return left
}

// reading tells whether a request's body is being read. The zero value is ready.
type reading struct {
	mu sync.Mutex
	on bool
}

// reads lets the reading of the body end at a time; zero: it is over.
func (c *call) reads(until time.Time) {
	c.reading.mu.Lock()
	defer c.reading.mu.Unlock()
	c.reading.on = !until.IsZero()
	_ = http.NewResponseController(c.w).SetReadDeadline(until) // an error means that the caller is gone
}

// endReading ends the reading of the body, if it is being read. At any other time it would look
// as if the caller had left.
func (c *call) endReading() {
	c.reading.mu.Lock()
	defer c.reading.mu.Unlock()
	if c.reading.on {
		_ = http.NewResponseController(c.w).SetReadDeadline(past) // an error means that the caller is gone
	}
}

// calls are the requests under way that have a deadline. The zero value is ready.
type calls struct {
	mu sync.Mutex
	of map[*call]context.CancelFunc
}

func (s *calls) add(c *call, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.of == nil {
		s.of = make(map[*call]context.CancelFunc)
	}
	s.of[c] = cancel
}

func (s *calls) remove(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.of, c)
}

// past is a deadline that ends all waiting.
var past = time.Unix(1, 0)

// EndLapsed ends the requests whose deadline passed while the machine was suspended: nothing
// else would, for as long as that took. Answers that are there by now have been read.
func (p *Proxy) EndLapsed() (ended int) {
	p.calls.mu.Lock()
	defer p.calls.mu.Unlock()
	for c, cancel := range p.calls.of {
		if c.left() > 0 {
			continue
		}
		cancel()
		c.endReading()
		ended++
	}
	return ended
}
