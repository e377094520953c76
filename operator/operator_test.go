// SPDX-License-Identifier: MIT

package operator

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"shalewick/conn"
)

// TestHeadOfAdminResponseIsLimited guards against a response of the admin API whose head takes 10 MB, the default limit
// of net/http.
func TestHeadOfAdminResponseIsLimited(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Large", strings.Repeat("x", 2*conn.MaxHeadBytes))
		_, _ = io.WriteString(w, "{}")
	}))
	defer s.Close()
	_, err := New([]string{s.Listener.Addr().String()}).Status(t.Context())
	assert.ErrorContains(t, err, "headers exceeded")
}
