// SPDX-License-Identifier: MIT

package front

import (
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"shalewick/request"
)

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = [...]string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// forwardable returns a copy of the headers that go on to the other side.
func forwardable(in http.Header) http.Header {
	out := make(http.Header, len(in)+4)
	for k, vs := range in {
		out[k] = vs
	}
	for _, line := range in["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, k := range hopHeaders {
		delete(out, k)
	}
	return out
}

// relay passes an answer on. An answer that is cut short breaks the caller's
// connection off, so that it never looks whole.
func (f *Front) relay(c *call, a *answer) {
	h := c.w.Header()
	for k, vs := range forwardable(a.header) {
		if k != request.HeaderID {
			h[k] = vs
		}
	}
	if a.upstream != "" {
		h.Set(request.HeaderUpstream, a.upstream)
		h.Set(request.HeaderRan, string(request.RanYes))
	}
	if a.ex == nil && bodyAllowed(c.r.Method, a.status) {
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

// bodyAllowed reports whether an answer can have a body.
func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status/100 != 1 && status != http.StatusNoContent && status != http.StatusNotModified
}
