// SPDX-License-Identifier: MIT

package front

import (
	"io"
	"net/http"
	"strconv"

	"shalewick/process/upload"
	"shalewick/request"
)

// relay sends a response to the caller. If the response is truncated, it aborts
// the caller's connection, so that the caller can't take it for complete.
func (f *Front) relay(c *call, resp *response) {
	if !c.tracked.BeginAnswer() && resp.exchange != nil { // the remainder can't be read any more
		c.body.CloseExchange(resp.exchange)
		f.finish(c, request.Unknown(request.Leaving))
		return
	}
	h := c.w.Header()
	for k, vs := range request.Forwardable(resp.header) {
		if k != request.HeaderID {
			h[k] = vs
		}
	}
	if resp.backend != "" {
		h.Set(request.HeaderBackend, resp.backend)
		h.Set(request.HeaderRan, string(request.RanYes))
	}
	if resp.exchange == nil && request.BodyAllowed(c.r.Method, resp.status) {
		h.Set("Content-Length", strconv.Itoa(len(resp.body)))
	}
	c.framed = resp.exchange == nil || h.Get("Content-Length") != ""
	if upload.EndsConnection(c.unread(), c.body != nil, c.framed) {
		h.Set("Connection", "close")
	}
	c.w.WriteHeader(resp.status)
	_, err := c.w.Write(resp.body)
	if resp.exchange != nil {
		if err == nil {
			_, err = io.Copy(c.w, resp.exchange.Response.Body)
			f.recordBadHead(c, resp.backend, err) // that of the trailer
		}
		c.body.CloseExchange(resp.exchange)
	}
	if err != nil {
		f.count(c, request.AnswerLost)
		panic(http.ErrAbortHandler)
	}
	f.count(c, request.OK)
}
