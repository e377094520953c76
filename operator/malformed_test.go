// SPDX-License-Identifier: MIT

package operator

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"shalewick/standin/cut"
	"shalewick/standin/malformed"
)

// TestMalformedAdminResponseIsNoStatus guards against a malformed response of the admin API that is taken for a status.
func TestMalformedAdminResponseIsNoStatus(t *testing.T) {
	t.Parallel()
	for _, x := range malformed.All("Content-Type: application/json\r\n", "{}") {
		s := &cut.Server{Respond: func(*http.Request) cut.Response { return cut.Response{Text: x.Text} }}
		assert.NilError(t, s.Start())
		_, err := New([]string{s.Address()}).Status(t.Context())
		assert.Check(t, err != nil, x.Name)
		s.Close()
	}
}
