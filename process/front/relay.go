// SPDX-License-Identifier: MIT

package front

import (
	"io"
	"net/http"
	"strconv"

	"shalewick/request"
)

// relay passes an answer on. An answer that is cut short breaks the caller's
// connection off, so that it never looks whole.
func (f *Front) relay(c *call, a *answer) {
	h := c.w.Header()
	for k, vs := range request.Forwardable(a.header) {
		if k != request.HeaderID {
			h[k] = vs
		}
	}
	if a.backend != "" {
		h.Set(request.HeaderBackend, a.backend)
		h.Set(request.HeaderRan, string(request.RanYes))
	}
	if a.ex == nil && request.BodyAllowed(c.r.Method, a.status) {
		h.Set("Content-Length", strconv.Itoa(len(a.whole)))
	}
	c.w.WriteHeader(a.status)
	_, err := c.w.Write(a.whole)
	if a.ex != nil {
		if err == nil {
			_, err = io.Copy(c.w, a.ex.Response.Body)
		}
		a.ex.Close()
	}
	if err != nil {
		f.count(c, request.AnswerLost)
		panic(http.ErrAbortHandler)
	}
	f.count(c, request.OK)
}
