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
type rolled interface {
	Target() string
	Decline(over bool) bool
	Done(o rollout.Outcome)
}

// beginner begins an attempt as rollout.Rollouts.Begin does.
type beginner func(service, route string, first bool, home func() (hash uint64, ok bool)) rolled

// noRollout is an attempt at a request of a service whose version does not change.
type noRollout struct{}

func (noRollout) Target() string       { return "" }
func (noRollout) Decline(bool) bool    { return true }
func (noRollout) Done(rollout.Outcome) {}

// begin begins an attempt. One that is not the first at a request goes to a target only
// while nothing may go to the version before any more.
func (t *trial) begin() {
	first := !t.begun
	t.begun = true
	t.rolled = t.beginAt(t.c.service, t.c.route.Name, first)
}

func (t *trial) beginAt(service, route string, first bool) rolled {
	if t.p.begin != nil {
		return t.p.begin(service, route, first, t.home)
	}
	if t.p.Rollouts == nil {
		return noRollout{}
	}
	// The literal is not kept by Begin, so it takes no memory; a method value would.
	a := t.p.Rollouts.Begin(service, route, first, func() (uint64, bool) { return t.home() })
	if a == nil {
		return noRollout{}
	}
	return a
}

// home returns the home of the request's object at the target.
func (t *trial) home() (hash uint64, ok bool) { return t.p.Table.TargetHome(&t.query) }

// pick chooses a backend server: of the target if the attempt goes there and one takes
// it, else of the version in force, unless nothing may go there any more.
func (t *trial) pick() (*balance.Pick, balance.Refusal) {
	t.query.Target = t.rolled.Target()
	pick, refusal := t.p.Table.Pick(&t.query)
	if pick != nil || t.query.Target == "" {
		return pick, refusal
	}
	if !t.rolled.Decline(refusal.NoRollout) {
		return nil, refusal
	}
	t.declined = true
	t.query.Target = ""
	return t.p.Table.Pick(&t.query)
}

// instead makes one more attempt at a request that a target answered with a failure of
// its own, since a version that is tried must not cost callers their answers: at the
// version in force, as long as that may be used. If nothing else is had, the failure is
// the answer. One that is too large to be held is passed on as it is.
func (t *trial) instead(ctx context.Context, a *answer) *answer {
	if !a.target || !a.failed() || a.ex != nil || !t.c.route.Repeatable || !t.allowed(ctx) {
		return a
	}
	t.triedAgain(func(e *zerolog.Event) { e.Int("status", a.res.StatusCode) })
	other, _ := t.attempt(ctx) // its end was logged
	if other == nil {
		return a
	}
	return other
}

// failed reports whether the answer is a failure of the backend server's own.
func (a *answer) failed() bool { return a.res.StatusCode >= http.StatusInternalServerError }

// answered tells roll-outs of an answer.
func (t *trial) answered(a *answer, took time.Duration) {
	t.over(a.pick, rollout.Outcome{Failed: a.failed(), Latency: took, Unseen: a.pick.Unseen, Cold: a.pick.Cold})
}

// over tells roll-outs what came of an attempt, and counts it for the version that had it.
func (t *trial) over(pick *balance.Pick, o rollout.Outcome) {
	t.rolled.Done(o)
	if !o.Inconclusive {
		t.p.Metrics.Software(t.c.service, pick.Software, o.Failed, o.Latency)
	}
}

// tooShort reports whether a caller's own deadline left an attempt that was sent at a
// time less than usual answers there take, so that it tells nothing of the backend server.
func (c *call) tooShort(pick *balance.Pick, sent time.Time) bool {
	return c.own && c.deadline.Sub(sent) < pick.Needs
}

// line begins a log line on an attempt at a backend server.
func (t *trial) line(pick *balance.Pick) *zerolog.Event {
	return t.p.Log.Info().Str("id", t.c.id).Str("backend", pick.Name).Str("software", pick.Software).Bool("target", t.query.Target != "")
}
