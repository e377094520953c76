// SPDX-License-Identifier: MIT

package cluster

import (
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"shalewick/standin/cut"
	"shalewick/standin/malformed"
)

// TestMalformedResponseOfInstanceIsNoAnswer guards against a malformed response of another instance that counts as an answer
// to a call, for its tables or a ping.
func TestMalformedResponseOfInstanceIsNoAnswer(t *testing.T) {
	t.Parallel()
	m, _ := newMembers()
	for _, x := range malformed.All("X-Id: 1\r\n", "[]") {
		s := &cut.Server{Respond: func(*http.Request) cut.Response { return cut.Response{Text: x.Text} }}
		assert.NilError(t, s.Start())
		_, err := NewPeers(m, new(net.Dialer).DialContext).Query(t.Context(), s.Address(), PathAlive)
		assert.Check(t, err != nil, x.Name)
		s.Close()
	}
}
