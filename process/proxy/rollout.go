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

// rolled is one attempt at a request as roll-outs see it: a *rollout.Attempt, or
// noRollout.
type rolloutAttempt interface {
	Target() string
	Decline(over bool) bool
	Done(o rollout.Outcome)
}

// beginner begins an attempt as rollout.Rollouts.Begin does.
type beginRolloutFunc func(service, route string, first bool, home func() (hash uint64, ok bool)) rolloutAttempt

// noRollout is an attempt at a request of a service whose version does not change.
type noRollout struct{}

func (noRollout) Target() string       { return "" }
func (noRollout) Decline(bool) bool    { return true }
func (noRollout) Done(rollout.Outcome) {}

// begin begins an attempt. One that is not the first at a request goes to a target only
// while nothing may go to the version before any more.
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
	// The literal is not kept by Begin, so it takes no memory; a method value would.
	a := t.p.Rollouts.Begin(service, route, first, func() (uint64, bool) { return t.targetHome() })
	if a == nil {
		return noRollout{}
	}
	return a
}

// home returns the home of the request's object at the target.
func (t *transaction) targetHome() (hash uint64, ok bool) { return t.p.Table.TargetHome(&t.query) }

// pick chooses a backend server: of the target if the attempt goes there and one takes
// it, else of the version in force, unless nothing may go there any more.
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

// instead makes one more attempt at a request that a target answered with a failure of
// its own, since a version that is tried must not cost callers their answers: at the
// version in force, as long as that may be used. If nothing else is had, the failure is
// the answer. One that is too large to be held is passed on as it is.
func (t *transaction) retryTargetFailure(ctx context.Context, a *response) *response {
	if !a.fromTarget || !a.isServerError() || a.ex != nil || !t.c.route.Repeatable || !t.retryAllowed(ctx) {
		return a
	}
	t.logRetry(func(e *zerolog.Event) { e.Int("status", a.res.StatusCode) })
	other, _ := t.attempt(ctx) // its end was logged
	if other == nil {
		return a
	}
	return other
}

// failed reports whether the answer is a failure of the backend server's own.
func (a *response) isServerError() bool { return a.res.StatusCode >= http.StatusInternalServerError }

// answered tells roll-outs of an answer.
func (t *transaction) reportResponse(a *response, took time.Duration) {
	t.reportOutcome(a.pick, rollout.Outcome{Failed: a.isServerError(), Took: took, Unseen: a.pick.Unseen, Cold: a.pick.Cold})
}

// over tells roll-outs what came of an attempt, and counts it for the version that had it.
func (t *transaction) reportOutcome(pick *balance.Pick, o rollout.Outcome) {
	t.rolloutAttempt.Done(o)
	if !o.Inconclusive {
		t.p.Metrics.Software(t.c.service, pick.Software, o.Failed, o.Took)
	}
}

// tooShort reports whether a caller's own deadline left an attempt that was sent at a
// time less than usual answers there take, so that it tells nothing of the backend server.
func (c *call) deadlineTooShort(pick *balance.Pick, sent time.Time) bool {
	return c.callerDeadline && c.deadline.Sub(sent) < pick.Needs
}

// line begins a log line on an attempt at a backend server.
func (t *transaction) logLine(pick *balance.Pick) *zerolog.Event {
	return t.p.Log.Info().Str("id", t.c.id).Str("backend", pick.Name).Str("software", pick.Software).Bool("target", t.query.Target != "")
}
