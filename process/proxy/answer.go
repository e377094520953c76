// SPDX-License-Identifier: MIT

package proxy

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"shalewick/process/held"
	"shalewick/process/metric"
	"shalewick/request"
)

// relay passes an answer on. One that is cut short breaks the caller's
// connection off, so that it never looks whole.
func (p *Proxy) relay(c *call, a *answer) {
	h := c.w.Header()
	for k, vs := range request.Forwardable(a.res.Header) {
		h[k] = vs
	}
	if a.ex == nil && request.BodyAllowed(c.r.Method, a.res.StatusCode) {
		h.Set("Content-Length", strconv.Itoa(len(a.whole)))
	}
	if p.leaving.Load() {
		h.Set("Connection", "close")
	}
	c.w.WriteHeader(a.res.StatusCode)
	p.carried.Add(max(int64(len(a.whole)), a.res.ContentLength))
	err := c.write(a.whole)
	held.Release(a.whole)
	a.whole = nil
	if a.ex != nil {
		if err == nil {
			c.lease.Free(held.Answers)
			err = c.passOn(a.ex)
		}
		a.close()
	}
	code := request.OK
	if err != nil {
		code = request.AnswerLost
	}
	if errors.Is(err, errCutOff) && !c.cut.Load() {
		p.noteCutOff(c, held.Answers)
	}
	took := time.Since(c.began)
	p.measure(c, c.route.Class, code, took)
	end := metric.OutcomeInTime
	if took > time.Duration(c.route.Objective) {
		end = metric.OutcomeLate
	}
	p.Metrics.RequestWithNotice(c.service, c.met, end)
	if err != nil && a.ex != nil {
		panic(http.ErrAbortHandler)
	}
}

// measure counts the end of a request.
func (p *Proxy) measure(c *call, class request.Class, code request.Code, took time.Duration) {
	p.Metrics.Request(c.service, class, code, took)
	if c.workspace != nil {
		p.Metrics.Workspace(c.workspace.Name, code, took)
	}
}

// finish answers with a result. What may have run never gets a status that
// promises that it has not.
func (p *Proxy) finish(c *call, res *request.Result) {
	class := request.ClassInvalid
	if c.route != nil {
		class = c.route.Class
	}
	took := time.Since(c.began)
	p.measure(c, class, res.Code, took)
	p.logRefusal(c, res, class, took)
	status := res.Code.Info().Status
	if res.Ran == request.RanUnknown && status == http.StatusServiceUnavailable {
		status = http.StatusBadGateway
	}
	if res.Ran == request.RanNo && status >= http.StatusInternalServerError {
		status = http.StatusServiceUnavailable
	}
	end := metric.OutcomeFailed
	if res.Ran == request.RanNo {
		end = metric.OutcomeRejected
	}
	p.Metrics.RequestWithNotice(c.service, c.met, end)
	h := c.w.Header()
	h.Set(request.HeaderResult, res.Code.String())
	h.Set(request.HeaderRan, string(res.Ran))
	comeBack := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	if res.Retry > 0 && comeBack {
		h.Set("Retry-After", fmt.Sprintf("%.3f", res.Retry.Seconds()))
	}
	h.Set("Content-Length", "0")
	c.w.WriteHeader(status)
}

// logRefusal writes the line of a request that ends with an answer of our own.
func (p *Proxy) logRefusal(c *call, res *request.Result, class request.Class, took time.Duration) {
	e := p.Log.Info().Str("id", c.id).Str("service", c.service).Str("class", class.String()).Str("workspace", c.workspaceName()).Int("code", int(res.Code)).
		Str("result", res.Code.Info().Name).Str("ran", string(res.Ran)).Int("attempts", c.attempts).
		Int64("version", c.version).Dur("retry", res.Retry).Dur("took", took)
	if p.Age != nil {
		e.Dur("confirmed", p.Age())
	}
	if c.why != nil {
		e.EmbedObject(*c.why)
	}
	if c.overQuota != nil {
		e.EmbedObject(*c.overQuota)
	}
	if c.print != 0 {
		e.Str("request", c.print.String())
	}
	if res.Code == request.Quarantined {
		e.Str("path", c.path()).Int("crashes", p.Quarantine.Crashes(c.print))
	}
	if c.route == nil {
		e.Str("host", c.r.Host).Str("path", c.r.URL.Path)
	}
	e.Msg("refused")
}
