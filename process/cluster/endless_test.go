// SPDX-License-Identifier: MIT

package cluster

import (
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"shalewick/standin/cut"
)

// TestEndlessResponseOfInstanceIsNoAnswer guards against a response of another instance that has no end, and whose beginning
// counts as an answer to a call.
func TestEndlessResponseOfInstanceIsNoAnswer(t *testing.T) {
	t.Parallel()
	m, _ := newMembers()
	for _, x := range []cut.Response{{Text: "HTTP/1.1 200 OK\r\n\r\n", Endless: "x"}, {Text: "HTTP/1.1 200 OK\r\n\r\n", Endless: "\x80"}} {
		s := &cut.Server{Respond: func(*http.Request) cut.Response { return x }}
		assert.NilError(t, s.Start())
		_, err := NewPeers(m, new(net.Dialer).DialContext).Query(t.Context(), s.Address(), PathAlive)
		assert.Check(t, err != nil, "%q", x.Endless)
		s.Close()
	}
}
