// SPDX-License-Identifier: MIT

package caller

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"shalewick/process/front"
	"shalewick/request"
	"shalewick/standin/cut"
	"shalewick/standin/malformed"
)

// TestMalformedResponseIsNoResponse guards against a malformed response of an instance that is taken for that to a request
// or to a lookup.
func TestMalformedResponseIsNoResponse(t *testing.T) {
	t.Parallel()
	for i, x := range malformed.All("", "{}") {
		s := &cut.Server{Respond: func(r *http.Request) cut.Response {
			return cut.Response{Text: malformed.All(request.HeaderID+": "+r.Header.Get(request.HeaderID)+"\r\n", "{}")[i].Text}
		}}
		assert.NilError(t, s.Start())
		c := New(nil)
		res, result, err := c.send(t.Context(), s.Address(), &Request{Service: "s", Method: http.MethodPost, Path: "/"}, "")
		assert.Check(t, err != nil && res == nil && result == nil, "%s: %+v, %+v", x.Name, res, result)
		var l front.Lookup
		assert.Check(t, c.callInstance(t.Context(), s.Address(), "lookup", &l) != nil, "%s: lookup", x.Name)
		s.Close()
	}
}
