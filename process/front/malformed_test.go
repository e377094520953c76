// SPDX-License-Identifier: MIT

package front

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"shalewick/request"
	"shalewick/standin/cut"
	"shalewick/standin/malformed"
)

// testMalformedResponses checks that each of the responses, whether a backend server or another entry sends it, is a failed
// attempt that may have run, and that nothing of it reaches the caller. Responses returns them with a header.
func testMalformedResponses(t *testing.T, responses func(header, body string) []malformed.Response) {
	for _, forwarded := range []bool{false, true} {
		for i, x := range responses("", "") {
			s := &cut.Server{Respond: func(r *http.Request) cut.Response {
				return cut.Response{Text: responses(fmt.Sprintf("%s: %s\r\nX-Passed: 1\r\n", request.HeaderID, r.Header.Get(request.HeaderID)), "body")[i].Text}
			}}
			assert.NilError(t, s.Start())
			t.Cleanup(s.Close)
			f := newFixtureAt(t, s.Address())
			if forwarded {
				f = newForwardFixtureTo(t, &fixture{url: "http://" + s.Address()})
			}
			r, res := f.call(t, http.MethodPut, "/films/1", nil)
			assert.Check(t, r.Code == request.AnswerLost && r.Ran == request.RanUnknown, "%s, forwarded %v: %+v, status %d", x.Name, forwarded, r, res.StatusCode)
			assert.Check(t, res.Header.Get("X-Passed") == "", x.Name)
			var metrics strings.Builder
			assert.NilError(t, f.front.Metrics.Write(&metrics))
			assert.Check(t, strings.Contains(metrics.String(), `answers_malformed_total{service="catalogue"}`), x.Name)
		}
	}
}

// TestMalformedStatusLineIsNoResponse guards against a response with a status line that is not valid.
func TestMalformedStatusLineIsNoResponse(t *testing.T) {
	t.Parallel()
	testMalformedResponses(t, malformed.StatusLines)
}

// TestMalformedFieldLineIsNoResponse guards against a response with a line whose name holds a blank or a control character.
func TestMalformedFieldLineIsNoResponse(t *testing.T) {
	t.Parallel()
	testMalformedResponses(t, malformed.FieldLines)
	testMalformedResponses(t, malformed.TrailerLines)
}

// TestChunksOfHTTP10AreNoResponse guards against an HTTP/1.0 response in chunks, whose body had their sizes in it.
func TestChunksOfHTTP10AreNoResponse(t *testing.T) {
	t.Parallel()
	testMalformedResponses(t, malformed.Framings)
}
