// SPDX-License-Identifier: MIT

package retry

import (
	"sync"
	"time"
)

// windowSteps is the number of steps of a window: its resolution.
const windowSteps = 20

// Window limits the retries of this instance, as its part of a limit on the
// retries of all instances. Per service and sliding window, it allows a ratio of
// the requests plus a fixed number that is divided among the instances. The
// exported fields must be set before use.
type Window struct {
	// Span is the length of the window.
	Span time.Duration
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Fixed is the number of additional retries, over all instances.
	Fixed float64
	// Instances returns the number of instances, or 0 if not yet known; Fixed
	// is not used then.
	Instances func() int

	mu       sync.Mutex
	services map[string]*counts
}

// counts holds the requests and retries per step of the window, as a ring.
type counts struct {
	step              int64
	requests, retries [windowSteps]int
}

// advance clears the steps that have left the window.
func (c *counts) advance(step int64) {
	for c.step < step {
		c.step++
		if step-c.step >= windowSteps {
			c.step = step - windowSteps + 1
		}
		c.requests[c.step%windowSteps] = 0
		c.retries[c.step%windowSteps] = 0
	}
}

// at returns the counts of a service and the index of the current step. The
// caller must hold w.mu.
func (w *Window) at(service string, now time.Duration) (*counts, int64) {
	if w.services == nil {
		w.services = make(map[string]*counts)
	}
	c := w.services[service]
	if c == nil {
		c = &counts{}
		w.services[service] = c
	}
	c.advance(int64(now / (w.Span / windowSteps)))
	return c, c.step % windowSteps
}

// RecordRequest records a request for a service.
func (w *Window) RecordRequest(service string, now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, current := w.at(service, now)
	c.requests[current]++
}

// TryRetry reports whether a retry for a service is allowed, and records it if so.
func (w *Window) TryRetry(service string, now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, current := w.at(service, now)
	requests, retries := 0, 0
	for i := range windowSteps {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	maxRetries := w.Ratio * float64(requests)
	if n := w.Instances(); n > 0 {
		maxRetries += w.Fixed / float64(n)
	}
	if float64(retries+1) > maxRetries {
		return false
	}
	c.retries[current]++
	return true
}
