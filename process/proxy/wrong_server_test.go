// SPDX-License-Identifier: MIT

package proxy

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/standin/cut"
)

// TestResponseWithoutIDEndsAttempt guards against requests that wait until their deadlines for a second response of a
// server that is not a backend server: it answers, but without the id of any request.
func TestResponseWithoutIDEndsAttempt(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"404 Not Found", "400 Bad Request", "200 OK"} {
		s := &cut.Server{Respond: func(*http.Request) cut.Response {
			return cut.Response{Text: fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: 4\r\n\r\ntext", status), KeepOpen: true}
		}}
		assert.NilError(t, s.Start())
		f := newFixture(t, 0)
		f.backend("u0", s.Address())
		f.install()
		for _, x := range []struct{ path, body string }{{"/bids/1", "a bid"}, {"/reads/1", ""}} {
			r := f.send("x", x.path, x.body)
			assert.NilError(t, r.err)
			assert.Assert(t, r.status == http.StatusBadGateway || r.status == http.StatusServiceUnavailable && x.body == "", "%s: %d", status, r.status)
			assert.Assert(t, r.took < 300*time.Millisecond, "%s: %s took %s of the route's 600 ms", status, x.path, r.took)
		}
		s.Close()
	}
}
