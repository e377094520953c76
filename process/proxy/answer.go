// SPDX-License-Identifier: MIT

package proxy

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"shalewick/process/held"
	"shalewick/process/metric"
	"shalewick/process/upload"
	"shalewick/request"
)

// relay sends a response to the caller. If the response is cut short, relay aborts the caller's
// connection, so that the caller does not take it for complete.
func (p *Proxy) relay(c *call, resp *response) {
	if !c.tracked.BeginAnswer() && resp.ex != nil { // the remainder can't be read any more
		c.body.CloseExchange(resp.ex)
		resp.close()
		held.ReleaseBuffer(resp.buffered)
		p.writeResult(c, leavingResult(request.RanUnknown))
		return
	}
	h := c.w.Header()
	for k, vs := range request.Forwardable(resp.res.Header) {
		h[k] = vs
	}
	c.setForwardedHeaders(forwardedAnswered)
	if resp.ex == nil && request.BodyAllowed(c.r.Method, resp.res.StatusCode) {
		h.Set("Content-Length", strconv.Itoa(len(resp.buffered)))
	}
	c.framed = resp.ex == nil || resp.res.ContentLength >= 0
	if p.keepAlivesDisabled.Load() || upload.EndsConnection(c.unread(), c.body.Streamed(), c.framed) {
		h.Set("Connection", "close")
	}
	c.w.WriteHeader(resp.res.StatusCode)
	p.bytesCarried.Add(max(int64(len(resp.buffered)), resp.res.ContentLength))
	err := c.writeBuffered(resp.buffered)
	held.ReleaseBuffer(resp.buffered)
	resp.buffered = nil
	if resp.ex != nil {
		if err == nil {
			c.lease.Free(held.Responses)
			err = c.streamRest(resp.ex)
		}
		c.body.CloseExchange(resp.ex)
		resp.close()
	}
	code := request.OK
	if err != nil {
		code = request.AnswerLost
	}
	if errors.Is(err, errCutOff) && !c.isCutOff.Load() {
		p.recordCutOff(c, held.Responses)
	}
	if bad := p.Metrics.BadHead(c.service, err); bad != (metric.BadHead{}) { // the trailer of a response that was streamed
		p.Log.Info().Str("id", c.id).Str("service", c.service).Str("backend", resp.sender()).EmbedObject(bad).Err(err).Msg("answer-lost")
	}
	took := time.Since(c.startedAt)
	p.recordMetrics(c, c.route.Class, code, took)
	outcome := metric.OutcomeInTime
	if took > time.Duration(c.route.Objective) {
		outcome = metric.OutcomeLate
	}
	p.Metrics.RequestWithNotice(c.service, c.notices, outcome)
	if err != nil && resp.ex != nil {
		panic(http.ErrAbortHandler)
	}
}

// recordMetrics records the end of a request in the metrics.
func (p *Proxy) recordMetrics(c *call, class request.Class, code request.Code, took time.Duration) {
	if c.forwarded != nil {
		p.Metrics.ServedForOther(c.service, code)
		return // the instance of the caller counts it
	}
	p.Metrics.Request(c.service, class, code, took)
	if c.workspace != nil {
		p.Metrics.Workspace(c.workspace.Name, code, took)
	}
}

// writeResult ends the request with a result. A request that may have run never gets status 503,
// which guarantees that it has not.
func (p *Proxy) writeResult(c *call, res *request.Result) {
	ended := !c.tracked.BeginAnswer()
	if ended {
		res = leavingResult(res.Ran)
	}
	class := request.ClassInvalid
	if c.route != nil {
		class = c.route.Class
	}
	took := time.Since(c.startedAt)
	p.recordMetrics(c, class, res.Code, took)
	p.logRefusal(c, res, class, took)
	if res.Code == request.Leaving && !ended {
		p.PlannedStop.CountRejected()
	}
	status := res.Code.Info().Status
	if res.Ran == request.RanUnknown && status == http.StatusServiceUnavailable {
		status = http.StatusBadGateway
	}
	if res.Ran == request.RanNo && status >= http.StatusInternalServerError {
		status = http.StatusServiceUnavailable
	}
	outcome := metric.OutcomeFailed
	if res.Ran == request.RanNo {
		outcome = metric.OutcomeRejected
	}
	p.Metrics.RequestWithNotice(c.service, c.notices, outcome)
	h := c.w.Header()
	h.Set(request.HeaderResult, res.Code.String())
	h.Set(request.HeaderRan, string(res.Ran))
	retryable := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	if res.Retry > 0 && retryable {
		h.Set("Retry-After", formatRetryAfter(res.Retry))
	}
	h.Set("Content-Length", "0")
	c.setForwardedHeaders(string(res.Ran))
	if p.keepAlivesDisabled.Load() || upload.EndsConnection(c.unread(), c.body != nil, true) {
		h.Set("Connection", "close")
	}
	c.writeHeader(status)
}

// leavingResult returns the result of a request that the stop of the process has ended.
func leavingResult(ran request.Ran) *request.Result {
	if ran == request.RanNo {
		return notRun(request.Leaving, minRetryAfter)
	}
	res := request.Unknown(request.Leaving)
	return &res
}

// LeavingResponse returns a response that rejects a request of which only a part has been read, since the process
// stops. The response must end its connection.
func (p *Proxy) LeavingResponse() []byte {
	return unavailableResponse(notRun(request.Leaving, minRetryAfter))
}

// MemoryFullResponse returns a response that rejects a request of which only a part has been read, for lack of
// memory. The response must end its connection.
func (p *Proxy) MemoryFullResponse() []byte {
	return unavailableResponse(notRun(request.MemoryFull, memoryRetryAfter))
}

// unavailableResponse returns a response with status 503 that ends its connection.
func unavailableResponse(res *request.Result) []byte {
	h := http.Header{"Connection": {"close"}, "Content-Length": {"0"}}
	h.Set(request.HeaderResult, res.Code.String())
	h.Set(request.HeaderRan, string(res.Ran))
	h.Set("Retry-After", formatRetryAfter(res.Retry))
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", http.StatusServiceUnavailable, http.StatusText(http.StatusServiceUnavailable))
	_ = h.Write(&b) // a buffer accepts all writes
	b.WriteString("\r\n")
	return b.Bytes()
}

// formatRetryAfter returns the value of a Retry-After header.
func formatRetryAfter(after time.Duration) string { return fmt.Sprintf("%.3f", after.Seconds()) }

// logRefusal logs a request that is answered by the proxy itself. The end of a forwarded request is
// another event, since the instance of the caller logs how the request ends.
func (p *Proxy) logRefusal(c *call, res *request.Result, class request.Class, took time.Duration) {
	e := p.Log.Info().Str("id", c.id).Str("service", c.service).Str("class", class.String()).Str("workspace", c.workspaceName()).Int("code", int(res.Code)).
		Str("result", res.Code.Info().Name).Str("ran", string(res.Ran)).Int("attempts", c.attempts).
		Int64("version", c.version).Dur("retry", res.Retry).Dur("took", took)
	c.tracked.AddConn(e)
	if step := p.PlannedStop.Current(); step != "" {
		e.Str("step", step)
	}
	if p.ConfigAge != nil {
		e.Dur("confirmed", p.ConfigAge())
	}
	if c.noBackendReason != nil {
		e.EmbedObject(*c.noBackendReason)
	}
	if c.quotaRefusal != nil {
		e.EmbedObject(*c.quotaRefusal)
	}
	if c.fingerprint != 0 {
		e.Str("request", c.fingerprint.String())
	}
	if res.Code == request.Quarantined {
		e.Str("path", c.path()).Int("crashes", p.Quarantine.CrashCount(c.fingerprint))
	}
	if c.route == nil {
		e.Str("host", c.r.Host).Str("path", c.r.URL.Path)
	}
	if c.forwarded != nil {
		e.Func(c.addForwardedBy).Msg("forwarded-refused")
		return
	}
	e.Msg("refused")
}
