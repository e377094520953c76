// SPDX-License-Identifier: MIT

package front

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"shalewick/conn"
	"shalewick/process/forward"
	"shalewick/process/metric"
	"shalewick/request"
)

// maxForwardTries bounds the instances that a request is forwarded to, one after the other.
const maxForwardTries = 3

// reasonSuspended is the reason of a request that is forwarded because failures have closed the backend
// servers of its service, as package proxy names it.
const reasonSuspended = "suspended"

// mayForward reports whether a request that ended with a result may be served by another instance: failures
// kept it from being sent. A request with a ticket is not forwarded, since only the instance of the
// ticket may run it, and one that was forwarded is not forwarded again.
func (fw *forwarder) mayForward(res *request.Result) bool {
	f := fw.front
	if f.Forward == nil || fw.sent || fw.call.nonRepeatable || !fw.call.body.Reclaim() || fw.call.r.Header.Get(request.HeaderForwarded) != "" {
		return false
	}
	return res.Code == request.ConnectFailed || res.Code == request.NoBackend && f.Steer.AnyFailing(fw.call.service)
}

// forwardToOther forwards the request to another instance. It returns neither a response nor a result if
// none can serve it.
func (fw *forwarder) forwardToOther(ctx context.Context) (*response, *request.Result) {
	var tried []string
	for len(tried) < maxForwardTries && ctx.Err() == nil && fw.call.body.Reclaim() {
		target := fw.front.Forward.Pick(&forward.Query{Service: fw.call.service, Tried: tried})
		if target == nil {
			break
		}
		tried = append(tried, target.Name)
		begun := fw.front.Now()
		resp, res, outcome := fw.forwardTo(ctx, target)
		target.Done(outcome)
		fw.logForwarded(target, resp, res, fw.front.Now()-begun)
		if resp != nil || fw.sent || outcome == forward.Served {
			return resp, res
		}
	}
	return nil, nil
}

// forwardTo forwards the request to an instance.
func (fw *forwarder) forwardTo(ctx context.Context, target *forward.Pick) (*response, *request.Result, forward.Outcome) {
	req := fw.newRequest(ctx, fw.call.deadline)
	req.Header.Set(request.HeaderForwarded, fw.front.Members.Self().GetId())
	req.Header.Set(request.HeaderService, fw.call.service)
	fw.call.tracked.BeginAttempt()
	fw.call.tracked.SetSent()
	exchange, err := target.Pool.Dispatch(ctx, req, conn.Options{
		Deadline: fw.call.deadline, CloseImmediately: true, Allowed: func() bool { return ctx.Err() == nil }, Release: func(bool) {},
	})
	if err != nil {
		var dispatchErr *conn.DispatchError
		fw.sent = !errors.As(err, &dispatchErr) || dispatchErr.Sent
		fw.front.recordBadHead(fw.call, target.Name, err)
		return nil, fw.lostAt(err), fw.lostOutcome()
	}
	h := exchange.Response.Header
	if !fw.call.isOwnResponse(h) {
		exchange.Response.Close = true
		fw.call.body.CloseExchange(exchange)
		fw.sent = true
		return nil, fw.newResult(request.AnswerWrong), forward.Unreachable
	}
	if res, isResult := request.FromHeader(h); isResult {
		_, _ = io.CopyN(io.Discard, exchange.Response.Body, maxBufferedBody) // drained so that the connection can be reused
		fw.call.body.CloseExchange(exchange)
		return nil, &res, outcomeOf(&res)
	}
	resp, err := fw.call.readResponse(exchange)
	if err != nil {
		fw.sent = true
		fw.front.recordBadHead(fw.call, target.Name, err)
		return nil, fw.lostAt(err), fw.lostOutcome()
	}
	resp.backend = h.Get(request.HeaderBackend)
	return resp, nil, forward.Served
}

// lostAt returns the result of a request that got no complete response.
func (fw *forwarder) lostAt(err error) *request.Result {
	var netErr net.Error
	if !fw.sent {
		return fw.newResult(request.ConnectFailed)
	}
	if errors.As(err, &netErr) && netErr.Timeout() {
		return fw.newResult(request.DeadlinePassed)
	}
	return fw.newResult(request.AnswerLost)
}

// lostOutcome returns what a request without a complete response says about the instance that it was forwarded to.
func (fw *forwarder) lostOutcome() forward.Outcome {
	if fw.call.tracked.Ended() {
		return forward.Abandoned
	}
	return forward.Unreachable
}

// outcomeOf returns whether another instance than the one that gave a result may serve the request.
func outcomeOf(res *request.Result) forward.Outcome {
	if res.Ran != request.RanNo {
		return forward.Served
	}
	switch res.Code {
	case request.NoBackend, request.ConnectFailed, request.NoVersion, request.Unconfirmed, request.Leaving, request.UnknownService, request.UnknownRoute:
		return forward.Declined
	}
	return forward.Served
}

// logForwarded counts and logs a request that was forwarded.
func (fw *forwarder) logForwarded(target *forward.Pick, resp *response, res *request.Result, took time.Duration) {
	end, status := metric.ForwardedServed, http.StatusOK
	if resp != nil {
		status = resp.status
	} else {
		end, status = metric.ForwardedFailed, res.Code.Info().Status
		if res.Ran == request.RanNo {
			end = metric.ForwardedRejected
		}
	}
	fw.front.Metrics.Forwarded(fw.call.service, reasonSuspended, end, took)
	fw.front.Log.Debug().Str("id", fw.call.id).Str("service", fw.call.service).Str("to", target.Name).Str("reason", reasonSuspended).
		Int("status", status).Str("end", end).Dur("took", took).Msg("forwarded")
}
