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

// failed classifies a dispatch that got no answer.
func (t *trial) failed(ctx context.Context, pick *balance.Pick, err error, sent time.Time) *request.Result {
	var d *conn.DispatchError
	if !errors.As(err, &d) || d.Sent {
		t.c.attempts++
		return t.lost(ctx, pick, err, sent)
	}
	t.over(pick, rollout.Outcome{Inconclusive: true})
	t.returnPermit(pick)
	if t.c.r.Context().Err() != nil {
		pick.Done(balance.Abandoned, nil)
		return t.result(request.CallerGone, 0)
	}
	if errors.Is(err, conn.NotAllowed) {
		pick.Done(balance.Abandoned, nil)
		t.line(pick).Dur("left", t.c.left()).Msg("withdrawn")
		return t.result(request.BackendRefused, minRetry)
	}
	pick.Done(balance.Unreachable, nil)
	t.line(pick).Err(err).Msg("connect-failed")
	return t.result(request.ConnectFailed, minRetry)
}

// lost classifies an exchange that was sent at a time and got no whole answer.
func (t *trial) lost(ctx context.Context, pick *balance.Pick, err error, sent time.Time) *request.Result {
	t.mayHaveRun = true
	t.c.runs++
	if t.c.r.Context().Err() != nil {
		t.over(pick, rollout.Outcome{Inconclusive: true})
		pick.Done(balance.Abandoned, nil)
		return t.result(request.CallerGone, 0)
	}
	pick.Done(outcomeOf(err), nil)
	var n net.Error
	code := request.AnswerLost
	if ctx.Err() != nil || errors.As(err, &n) && n.Timeout() {
		code = request.DeadlinePassed
		// Its connection may be silent for good, and then those that were opened
		// with it: each would cost a request its whole time.
		pick.Pool.CloseIdle()
	}
	unsent := code == request.DeadlinePassed && t.c.tooShort(pick, sent)
	t.over(pick, rollout.Outcome{Failed: !unsent, Inconclusive: unsent, Latency: time.Since(sent)})
	t.line(pick).Str("request", t.c.print.String()).Str("path", t.c.path()).Err(err).Msg("answer-lost")
	if code != request.DeadlinePassed { // the end of its process ends the connection
		t.suspect(pick)
	}
	return t.result(code, 0)
}

// outcomeOf tells from the error of an exchange that was sent whether the backend server
// can't be reached: nothing of what it was sent was acknowledged for long.
func outcomeOf(err error) balance.Outcome {
	if errors.Is(err, syscall.ETIMEDOUT) {
		return balance.Unreachable
	}
	return balance.Lost
}

// result is a result with what is known of whether the request ran.
func (t *trial) result(code request.Code, retry time.Duration) *request.Result {
	if t.mayHaveRun {
		r := request.Unknown(code)
		return &r
	}
	return refuse(code, retry)
}
