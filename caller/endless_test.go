// SPDX-License-Identifier: MIT

package caller

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"shalewick/conn"
	"shalewick/request"
	"shalewick/standin/cut"
)

// TestEndlessResponseIsAnError guards against a response without an end that takes the memory of the caller's process until
// its deadline.
func TestEndlessResponseIsAnError(t *testing.T) {
	t.Parallel()
	s := &cut.Server{Respond: func(r *http.Request) cut.Response {
		return cut.Response{Text: "HTTP/1.1 200 OK\r\n" + request.HeaderID + ": " + r.Header.Get(request.HeaderID) + "\r\n\r\n", Endless: "x"}
	}}
	assert.NilError(t, s.Start())
	defer s.Close()
	c := New(nil)
	c.MaxBody = 1 << 20
	_, _, err := c.send(t.Context(), s.Address(), &Request{Service: "s", Method: http.MethodPost, Path: "/"}, "")
	assert.ErrorIs(t, err, conn.ErrBodyTooLarge)
}
