// SPDX-License-Identifier: MIT

package proxy

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"shalewick/process/balance"
	"shalewick/process/held"
	"shalewick/request"
)

// newRequest builds the request to a backend server.
func (t *transaction) newRequest(ctx context.Context, pick *balance.Pick) *http.Request {
	out := t.newOutgoing(ctx)
	t.p.setWorkspaceHeaders(t.c, out.Header)
	out.Header.Set(t.p.Names.Target, pick.Name)
	return out
}

// newOutgoing builds what the requests to backend servers and to other instances have in common.
func (t *transaction) newOutgoing(ctx context.Context) *http.Request {
	in := t.c.r
	out := &http.Request{
		Method: in.Method, URL: target(in), Host: in.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: request.Forwardable(in.Header), Body: held.WatchBody(t.c.lease, t.c.body.Open()), ContentLength: t.c.body.Length(),
	}
	h := out.Header
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // net/http would add a default one
	}
	if in.Header.Get(t.p.Names.ID) == "" && t.c.id != "" {
		h.Set(t.p.Names.ID, t.c.id)
	}
	removeForwardedHeaders(h)
	h.Set(t.p.Names.Deadline, strconv.FormatInt(max(1, t.c.timeLeft().Milliseconds()), 10))
	return out.WithContext(ctx)
}

// target returns a URL that is encoded exactly as the caller sent it.
func target(in *http.Request) *url.URL {
	if strings.HasPrefix(in.RequestURI, "/") && !strings.HasPrefix(in.RequestURI, "//") {
		return &url.URL{Scheme: "http", Host: in.Host, Opaque: in.RequestURI}
	}
	return in.URL
}
