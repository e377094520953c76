// SPDX-License-Identifier: MIT

package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"shalewick/request"
	"shalewick/standin/cut"
	"shalewick/standin/server"
)

// keptScript makes the responses of a backend server out of fuzzed bytes, two for each response: what is wrong
// with it, and where.
type keptScript struct {
	mu       sync.Mutex
	ops      []byte
	previous string         // the last response
	statuses map[string]int // of the requests that got a response
	sent     map[string]int // how often each request arrived
}

// Kinds of trouble with a response on a kept connection.
const (
	keptWhole          = iota
	keptCut            // it ends early, and the connection closes
	keptReset          // likewise, and the connection is reset
	keptDoubled        // it comes twice
	keptPartAfter      // a part of it follows
	keptPreviousBefore // the response to the request before comes first
	keptPartBefore     // a part of the response to the request before comes first
	keptBytesAfter     // other bytes follow
	keptOps
)

// respond returns the response to a request.
func (k *keptScript) respond(r *http.Request) cut.Response {
	k.mu.Lock()
	defer k.mu.Unlock()
	op, at := byte(keptWhole), 0
	if len(k.ops) >= 2 {
		op, at = k.ops[0], int(k.ops[1])
		k.ops = k.ops[2:]
	}
	id, status := r.Header.Get(request.OwnNames.ID), 200
	if at%2 == 1 {
		status = 500
	}
	k.statuses[id] = status
	k.sent[id]++
	body := server.ResponseBody(id)
	whole := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: seal-%s\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), request.OwnNames.ID, id, request.OwnNames.Seal, id, len(body), body)
	out := cut.Response{Text: whole, KeepOpen: true}
	part := at * len(whole) / 256
	switch op % keptOps {
	case keptCut:
		out = cut.Response{Text: whole[:part]}
	case keptReset:
		out = cut.Response{Text: whole[:part], Reset: true}
	case keptDoubled:
		out.Text += whole
	case keptPartAfter:
		out.Text += whole[:part]
	case keptPreviousBefore:
		out.Text = k.previous + whole
	case keptPartBefore:
		out.Text = k.previous[:at*len(k.previous)/256] + whole
	case keptBytesAfter:
		out.Text += string(k.ops)
	}
	k.previous = whole
	return out
}

// request returns the status of the response to a request, and how often it arrived.
func (k *keptScript) request(id string) (status, sent int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.statuses[id], k.sent[id]
}

// FuzzKeptConnection sends requests over a connection whose backend server cuts, doubles and mixes its responses.
// Each caller gets the status and the whole body of the response to its own request, or a failure.
func FuzzKeptConnection(f *testing.F) {
	for op := range byte(keptOps) {
		for _, at := range []byte{0, 1, 16, 17, 40, 41, 90, 91, 200, 201, 254, 255} {
			f.Add([]byte{op, at, keptWhole, 1, keptWhole, 0, keptWhole, 0})
			f.Add([]byte{keptWhole, 0, op, at, keptWhole, 1, keptWhole, 0})
		}
	}
	f.Fuzz(checkKeptConnection)
}

// checkKeptConnection sends four requests over a connection, whose responses are made out of ops.
func checkKeptConnection(t *testing.T, ops []byte) {
	k := &keptScript{ops: ops, statuses: make(map[string]int), sent: make(map[string]int)}
	s := &cut.Server{Respond: k.respond}
	assert.NilError(t, s.Start())
	defer s.Close()
	fx := newFixture(t, 0)
	defer fx.proxyServer.Close()
	fx.backend("u0", s.Address())
	fx.install()
	for i := range 4 {
		id, path, body := fmt.Sprintf("request-%d-%s", i, s.Address()), "/reads/1", "" // no other test process uses it
		if i%2 == 1 {
			path, body = "/bids/1", "a bid"
		}
		r := fx.send(id, path, body)
		status, sent := k.request(id)
		if seal := r.header.Get(request.OwnNames.Seal); r.err != nil || seal == "" {
			assert.Assert(t, r.err != nil || r.status >= 500, "%s got %d %q without a seal", id, r.status, r.body)
		} else {
			assert.Equal(t, seal, "seal-"+id)
			assert.Equal(t, r.body, server.ResponseBody(id))
			assert.Equal(t, r.status, status)
		}
		if strings.HasPrefix(path, "/bids/") {
			assert.Assert(t, sent <= 1, "%s was sent %d times", id, sent)
		}
	}
}

// TestPartBehindResponseIsNotUsed guards against bytes that a backend server sends behind a response and that become
// the status of the next one: a failure that reaches the caller as a success, and a success as a failure.
func TestPartBehindResponseIsNotUsed(t *testing.T) {
	t.Parallel()
	for part := range byte(60) {
		checkKeptConnection(t, []byte{keptPartAfter, part, keptWhole, 1 - part%2})
	}
}

// TestPartBeforeResponseIsNotUsed guards against a part of another response that a backend server sends before a
// response, in the same piece, and whose status takes the place of that response's own.
func TestPartBeforeResponseIsNotUsed(t *testing.T) {
	t.Parallel()
	for part := range byte(60) {
		checkKeptConnection(t, []byte{keptWhole, 1 - part%2, keptPartBefore, part})
	}
}
