// SPDX-License-Identifier: MIT

package proxy

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"

	"shalewick/conn"
	"shalewick/process/balance"
	"shalewick/process/rollout"
	"shalewick/request"
)

// abandoned reports whether the stop of the process has ended the request, or its caller has left. The failure of an attempt
// then says nothing about the backend server.
func (c *call) abandoned() (request.Code, bool) {
	if c.tracked.Ended() {
		return request.Leaving, true
	}
	return request.CallerGone, c.r.Context().Err() != nil
}

// dispatchFailed handles a dispatch that got no response, and returns the result of the attempt.
func (t *transaction) dispatchFailed(ctx context.Context, pick *balance.Pick, err error, sent time.Time) *request.Result {
	t.endAwait()
	var dispatchErr *conn.DispatchError
	if !errors.As(err, &dispatchErr) || dispatchErr.Sent {
		t.c.attempts++
		return t.exchangeLost(ctx, pick, err, sent)
	}
	t.reportOutcome(pick, rollout.Outcome{Inconclusive: true})
	t.returnPermit(pick)
	if code, abandoned := t.c.abandoned(); abandoned {
		pick.Done(balance.Abandoned, nil)
		return t.result(code, 0)
	}
	if t.givenUp {
		pick.Done(balance.Abandoned, nil)
		return t.result(request.ConnectFailed, minRetryAfter)
	}
	if errors.Is(err, conn.ErrNotAllowed) {
		pick.Done(balance.Abandoned, nil)
		t.logLine(pick).Dur("left", t.c.timeLeft()).Msg("withdrawn")
		return t.result(request.BackendRefused, minRetryAfter)
	}
	outcome := balance.Unreachable
	if errors.Is(err, conn.ErrNotIdle) { // the backend server may accept new connections
		outcome = balance.Lost
	}
	pick.Done(outcome, nil)
	t.logLine(pick).Err(err).Msg("connect-failed")
	return t.result(request.ConnectFailed, minRetryAfter)
}

// exchangeLost handles an exchange that was sent at the given time and got no complete response.
func (t *transaction) exchangeLost(ctx context.Context, pick *balance.Pick, err error, sent time.Time) *request.Result {
	t.endAwait()
	t.mayHaveRun = true
	t.c.possibleRuns++
	if code, abandoned := t.c.abandoned(); abandoned {
		t.reportOutcome(pick, rollout.Outcome{Inconclusive: true})
		pick.Done(balance.Abandoned, nil)
		return t.result(code, 0)
	}
	if bodyErr := t.c.body.Err(); bodyErr != nil { // no fault of the backend server
		t.reportOutcome(pick, rollout.Outcome{Inconclusive: true})
		pick.Done(balance.Abandoned, nil)
		t.logLine(pick).Err(bodyErr).Msg("body-incomplete")
		return t.result(bodyErrorResult(bodyErr).Code, 0)
	}
	if t.givenUp {
		t.reportOutcome(pick, rollout.Outcome{Inconclusive: true})
		pick.Done(balance.Abandoned, nil)
		t.logLine(pick).Dur("after", time.Since(sent)).Msg("given-up")
		return t.result(request.AnswerLost, 0)
	}
	pick.Done(outcomeOf(err), nil)
	var netErr net.Error
	code := request.AnswerLost
	if ctx.Err() != nil || errors.As(err, &netErr) && netErr.Timeout() {
		code = request.DeadlinePassed
		// The peer may stay unresponsive, and each idle connection to it would then cost another
		// request its full timeout.
		pick.Pool.CloseIdle()
	}
	inconclusive := code == request.DeadlinePassed && t.c.deadlineTooShort(pick, sent)
	t.reportLost(pick, rollout.Outcome{Failed: !inconclusive, Inconclusive: inconclusive, Latency: time.Since(sent)})
	t.logLine(pick).Str("request", t.c.fingerprint.String()).Str("path", t.c.path()).EmbedObject(t.p.Metrics.BadHead(t.c.service, err)).
		Err(err).Msg("answer-lost")
	if code != request.DeadlinePassed { // a crash of the backend server's process would have closed the connection
		t.reportLoss(pick)
	}
	return t.result(code, 0)
}

// outcomeOf returns the outcome of an exchange that was sent and failed with err. ETIMEDOUT means
// that the peer acknowledged nothing for TCP_USER_TIMEOUT, so it counts as unreachable.
func outcomeOf(err error) balance.Outcome {
	if errors.Is(err, syscall.ETIMEDOUT) {
		return balance.Unreachable
	}
	return balance.Lost
}

// result returns a result that says whether the request may have run.
func (t *transaction) result(code request.Code, retry time.Duration) *request.Result {
	if t.mayHaveRun {
		r := request.Unknown(code)
		return &r
	}
	return notRun(code, retry)
}
