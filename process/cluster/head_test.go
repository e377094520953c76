// SPDX-License-Identifier: MIT

package cluster

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"shalewick/conn"
)

// TestHeadOfOtherInstanceIsLimited guards against the response of another instance whose head takes 10 MB, the default
// limit of net/http, for each call.
func TestHeadOfOtherInstanceIsLimited(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Large", strings.Repeat("x", 2*conn.MaxHeadBytes))
	}))
	defer s.Close()
	m, _ := newMembers()
	_, err := NewPeers(m, new(net.Dialer).DialContext).Query(t.Context(), s.Listener.Addr().String(), PathAlive)
	assert.ErrorContains(t, err, "headers exceeded")
}
