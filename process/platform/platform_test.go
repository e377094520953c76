// SPDX-License-Identifier: MIT

package platform

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"shalewick/conn"
)

// TestHeadOfPlatformIsLimited guards against a response of the platform whose head takes 10 MB, the default limit of
// net/http, for each call. The outcome of a write that got such a response is not known.
func TestHeadOfPlatformIsLimited(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Large", strings.Repeat("x", 2*conn.MaxHeadBytes))
		_, _ = io.WriteString(w, "{}")
	}))
	defer s.Close()
	c := NewClient(s.URL)
	_, err := c.Get(t.Context(), "t", "k")
	assert.ErrorIs(t, err, ErrUnavailable)
	assert.ErrorIs(t, c.Commit(t.Context(), nil), ErrUnknownOutcome)
}
