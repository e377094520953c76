// SPDX-License-Identifier: MIT

package retry

import (
	"sync"
	"time"
)

// windowSteps is the number of steps that a window is counted in.
const windowSteps = 20

// Window bounds this instance's share of the retries that all instances may
// make together: in each span of time, a ratio of the requests for a service
// and a fixed number that is divided among the instances. The fields are set
// before use.
type Window struct {
	// Span is the time over which is counted.
	Span time.Duration
	// Ratio is the number of retries for each request.
	Ratio float64
	// Fixed is the number of retries besides, over all instances.
	Fixed float64
	// Instances returns the number of instances; zero: not known yet, and then
	// the fixed number is not used.
	Instances func() int

	mu       sync.Mutex
	services map[string]*counts
}

// counts are the requests and retries of the last steps.
type counts struct {
	step              int64
	requests, retries [windowSteps]int
}

// advance forgets the steps that are over.
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

// Request counts a request for a service.
func (w *Window) RecordRequest(service string, now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, i := w.at(service, now)
	c.requests[i]++
}

// Retry takes one retry, or reports that none is left.
func (w *Window) TryRetry(service string, now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, at := w.at(service, now)
	requests, retries := 0, 0
	for i := range windowSteps {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	most := w.Ratio * float64(requests)
	if n := w.Instances(); n > 0 {
		most += w.Fixed / float64(n)
	}
	if float64(retries+1) > most {
		return false
	}
	c.retries[at]++
	return true
}
