// SPDX-License-Identifier: MIT

package balance

import (
	"math/rand/v2"
	"time"

	"shalewick/request"
	"shalewick/version"
)

// leastTime is the time below which a request is not sent, since the backend server
// could not answer it before its deadline: the usual work there, once it is
// known. It is at most the objective, so that a backend server that was slow is tried
// again by requests that have their usual time.
func (t *Table) minTime(q *Query, c candidate) time.Duration {
	return min(t.state(c.index).work, time.Duration(q.Route.Objective))
}

// patience is the wait beyond which a request is refused: it could not be
// answered within its objective. The most urgent of those that share a service may
// be answered later than that, since less urgent ones make it wait. One that came
// back after a refusal may not: its room is taken from a first try, which is worth
// more to its caller.
func (t *Table) waitLimit(q *Query, s *version.RoutedService, c candidate) time.Duration {
	work := min(t.state(c.index).typicalWork(), time.Duration(t.Policy.MaxWorkShare*float64(q.Route.Objective)))
	within := time.Duration(q.Route.Objective) - q.Elapsed
	if s.Urgent(q.Priority) {
		within = time.Duration(t.Policy.UrgentWaitFactor * float64(within))
	}
	return max(0, min(within, q.Left)-work)
}

// comeBack returns when a refused request should be tried again, spread so
// that those refused together do not come back together.
func (t *Table) retryAfter(code request.Code, over time.Duration) time.Duration {
	least := t.Policy.MinRetryAfter
	if code == request.NoBackend {
		least = t.Policy.NoBackendRetryAfter
	}
	least += min(over, t.Policy.MaxAddedRetryAfter)
	return least + rand.N(least)
}
