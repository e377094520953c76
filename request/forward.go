// SPDX-License-Identifier: MIT

package request

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders are the hop-by-hop headers, which apply to one connection only.
var hopHeaders = [...]string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Forwardable returns a copy of the headers without the hop-by-hop headers, which a proxy must not
// forward.
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

// BodyAllowed reports whether a response with this status to a request with this method may have a
// body.
func BodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status/100 != 1 && status != http.StatusNoContent && status != http.StatusNotModified
}
