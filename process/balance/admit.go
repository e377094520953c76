// SPDX-License-Identifier: MIT

package balance

import (
	"math/rand/v2"
	"time"

	"shalewick/request"
	"shalewick/version"
)

// minTime is the remaining time below which a request is not sent, because the backend server could not
// answer it before its deadline: the typical processing time there, once it is known. It is at
// most the route's objective, so that a backend server that was slow is still tried by requests
// with the usual time left.
func (t *Table) minTime(q *Query, c candidate) time.Duration {
	return min(t.state(c.index).work, time.Duration(q.Route.Objective))
}

// waitLimit is the longest queueing time that is accepted for a request. Beyond it the request
// could not be answered within its objective and is refused. The most urgent requests of a service
// may be answered later than the objective, since less urgent ones delay them. Retries of refused
// requests have no such exception: their capacity would be taken from first attempts, which are
// worth more to their callers.
func (t *Table) waitLimit(q *Query, s *version.RoutedService, c candidate) time.Duration {
	work := min(t.state(c.index).typicalWork(), time.Duration(t.Policy.MaxWorkShare*float64(q.Route.Objective)))
	within := time.Duration(q.Route.Objective) - q.Elapsed
	if s.Urgent(q.Priority) {
		within = time.Duration(t.Policy.UrgentWaitFactor * float64(within))
	}
	return max(0, min(within, q.Left)-work)
}

// retryAfter returns when a refused request should be tried again, randomised so that requests
// that were refused together do not return together.
func (t *Table) retryAfter(code request.Code, excess time.Duration) time.Duration {
	after := t.Policy.MinRetryAfter
	if code == request.NoBackend {
		after = t.Policy.NoBackendRetryAfter
	}
	after += min(excess, t.Policy.MaxAddedRetryAfter)
	return after + rand.N(after)
}
