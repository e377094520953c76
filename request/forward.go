// SPDX-License-Identifier: MIT

package request

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = [...]string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Forwardable returns a copy of the headers that go on to the other side of a
// proxy: all but those that concern one connection only.
func Forwardable(in http.Header) http.Header {
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

// BodyAllowed reports whether an answer to a method can have a body.
func BodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status/100 != 1 && status != http.StatusNoContent && status != http.StatusNotModified
}
