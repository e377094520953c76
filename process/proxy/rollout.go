// SPDX-License-Identifier: MIT

package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"shalewick/process/balance"
	"shalewick/process/rollout"
)

// rolloutAttempt is an attempt as the rollout controller tracks it: a *rollout.Attempt or noRollout.
type rolloutAttempt interface {
	Target() string
	Decline(ended bool) bool
	Done(o rollout.Outcome)
}

// beginRolloutFunc begins an attempt as rollout.Controller.Begin does.
type beginRolloutFunc func(service, route string, first bool, home func() (hash uint64, ok bool)) rolloutAttempt

// noRollout is an attempt at a service that has no rollout.
type noRollout struct{}

func (noRollout) Target() string       { return "" }
func (noRollout) Decline(bool) bool    { return true }
func (noRollout) Done(rollout.Outcome) {}

// beginAttempt begins an attempt. Only the first attempt of a request goes to the target, unless
// the previous version is closed to requests.
func (t *transaction) beginAttempt() {
	first := !t.attempted
	t.attempted = true
	t.rolloutAttempt = t.newRolloutAttempt(t.c.service, t.c.route.Name, first)
}

func (t *transaction) newRolloutAttempt(service, route string, first bool) rolloutAttempt {
	if t.p.beginRollout != nil {
		return t.p.beginRollout(service, route, first, t.targetHome)
	}
	if t.p.Rollouts == nil {
		return noRollout{}
	}
	// Begin does not retain the function literal, so it does not escape to the heap. A method value
	// would.
	a := t.p.Rollouts.Begin(service, route, first, func() (uint64, bool) { return t.targetHome() })
	if a == nil {
		return noRollout{}
	}
	return a
}

// targetHome returns the home of the request's object among the target's backend servers.
func (t *transaction) targetHome() (hash uint64, ok bool) { return t.p.Table.TargetHome(&t.query) }

// pick picks a backend server of the target if the attempt goes there and one can take it.
// Otherwise it picks one of the version in force, unless that is closed to requests.
func (t *transaction) pick() (*balance.Pick, balance.Refusal) {
	t.query.Target = t.rolloutAttempt.Target()
	pick, refusal := t.p.Table.Pick(&t.query)
	if pick != nil || t.query.Target == "" {
		return pick, refusal
	}
	if !t.rolloutAttempt.Decline(refusal.NoRollout) {
		return nil, refusal
	}
	t.targetDeclined = true
	t.query.Target = ""
	return t.p.Table.Pick(&t.query)
}

// retryTargetFailure retries a request that the target answered with a server error, since a trial
// of a new version must not cost callers their responses. The retry goes to the version in force as
// long as that accepts requests. If it gets no response, the target's error is returned. A response
// that is too large to buffer is not retried.
func (t *transaction) retryTargetFailure(ctx context.Context, resp *response) *response {
	if !resp.fromTarget || !resp.isServerError() || resp.ex != nil || !t.c.route.Repeatable || !t.retryAllowed(ctx) {
		return resp
	}
	t.logRetry(func(e *zerolog.Event) { e.Int("status", resp.res.StatusCode) })
	retried, _ := t.attempt(ctx) // attempt logs how it ended
	if retried == nil {
		return resp
	}
	return retried
}

// isServerError reports whether the response is a server error (5xx).
func (r *response) isServerError() bool { return r.res.StatusCode >= http.StatusInternalServerError }

// reportResponse reports a response to the rollout controller.
func (t *transaction) reportResponse(resp *response, took time.Duration) {
	t.reportOutcome(resp.pick, rollout.Outcome{Failed: resp.isServerError(), Latency: took, Unseen: resp.pick.Unseen, Cold: resp.pick.Cold})
}

// reportOutcome reports the outcome of an attempt to the rollout controller, and counts it for the
// software version of the backend server.
func (t *transaction) reportOutcome(pick *balance.Pick, o rollout.Outcome) {
	t.p.reportOutcome(t.rolloutAttempt, t.c.service, pick, o)
}

func (p *Proxy) reportOutcome(a rolloutAttempt, service string, pick *balance.Pick, o rollout.Outcome) {
	a.Done(o)
	if !o.Inconclusive {
		p.Metrics.Software(service, pick.Software, o.Failed, o.Latency)
	}
}

// reportLost reports the outcome of an attempt that was sent and got no response, once it is known that the
// links of this instance are not the cause. If they are, the outcome is inconclusive.
func (t *transaction) reportLost(pick *balance.Pick, o rollout.Outcome) {
	if o.Inconclusive {
		t.reportOutcome(pick, o)
		return
	}
	p, attempt, service, sentAt := t.p, t.rolloutAttempt, t.c.service, t.sentAt
	go func() {
		if p.Table.LostToLinks(sentAt) {
			o = rollout.Outcome{Inconclusive: true}
		}
		p.reportOutcome(attempt, service, pick, o)
	}()
}

// deadlineTooShort reports whether the caller's own deadline left the attempt, sent at the given
// time, less time than the backend server usually needs. Its failure then says nothing about the
// backend server.
func (c *call) deadlineTooShort(pick *balance.Pick, sent time.Time) bool {
	return c.callerDeadline && c.deadline.Sub(sent) < pick.ExpectedTime
}

// logLine begins a log line about an attempt at a backend server.
func (t *transaction) logLine(pick *balance.Pick) *zerolog.Event {
	return t.p.Log.Info().Str("id", t.c.id).Str("backend", pick.Name).Str("software", pick.Software).Bool("target", t.query.Target != "")
}
