// SPDX-License-Identifier: MIT

package edge

import "shalewick/process/crash"

// backendCrashed writes that a backend server has ended, and which requests were in flight
// there from this instance.
func (e *Edge) backendCrashed(c crash.Crash) {
	requests := make([]string, 0, len(c.Suspects))
	for _, s := range c.Suspects {
		requests = append(requests, s.Request.String())
	}
	e.metrics.Counter("backend_crashes_total").Inc(1)
	e.log.Info().Str("backend", c.Backend).Str("service", c.Service).Strs("requests", few(requests)).
		Int("lost", len(requests)).Msg("backend-crashed")
}
