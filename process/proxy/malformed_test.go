// SPDX-License-Identifier: MIT

package proxy

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"shalewick/process/logging"
	"shalewick/request"
	"shalewick/standin/cut"
	"shalewick/standin/malformed"
)

// testMalformedResponses checks that each of the responses, whether a backend server or another instance sends it, is a
// failed attempt that may have run, that nothing of it reaches the caller, and that an operator sees why. Responses returns
// them with a header.
func testMalformedResponses(t *testing.T, responses func(header, body string) []malformed.Response) {
	const body = "body of the backend server"
	header := request.OwnNames.ID + ": x\r\n" + request.OwnNames.Seal + ": seal-x\r\nX-Passed: 1\r\n"
	forwarded := forwardedResponse(header + "Keep-Alive: timeout=10\r\n")
	for event, list := range map[string][]malformed.Response{"answer-lost": responses(header, body), "forwarded": responses(forwarded, body)} {
		for _, x := range list {
			s := &cut.Server{Respond: func(*http.Request) cut.Response { return cut.Response{Text: x.Text} }}
			assert.NilError(t, s.Start())
			t.Cleanup(s.Close)
			f := newFixture(t, 0)
			if event == "forwarded" {
				unreachable := newUnreachableFixture(t)
				unreachable.addresses = []string{s.Address()}
				f = unreachable.fixture
			} else {
				f.backend("u0", s.Address())
				f.install()
			}
			var log syncBuffer
			f.proxy.Log = logging.New(&log)
			r := f.send("x", "/bids/1", "an offer")
			assert.NilError(t, r.err, "%s %s: the caller gets no response", event, x.Name)
			assert.Check(t, r.status == http.StatusBadGateway && r.body == "" && r.header.Get(request.HeaderRan) == string(request.RanUnknown) &&
				r.header.Get(request.OwnNames.Seal) == "" && r.header.Get("X-Passed") == "", "%s %s: status %d, %q, body %q", event, x.Name, r.status, r.header, r.body)
			assert.Check(t, s.Requests() == 1, "%s %s: sent %d times", event, x.Name, s.Requests())
			lines := log.lines(event)
			assert.Check(t, len(lines) == 1 && strings.Contains(lines[0], "malformed=true") && strings.Contains(lines[0], "error="), "%s %s: %q", event, x.Name, lines)
			var metrics strings.Builder
			assert.NilError(t, f.proxy.Metrics.Write(&metrics))
			assert.Check(t, strings.Contains(metrics.String(), `answers_malformed_total{service="s"} 1`), x.Name)
		}
	}
}

// TestMalformedStatusLineIsNoResponse guards against a response with a status line that is not valid: with status 000 the
// connection of the caller was closed without a response.
func TestMalformedStatusLineIsNoResponse(t *testing.T) {
	t.Parallel()
	testMalformedResponses(t, malformed.StatusLines)
}

// TestMalformedFieldLineIsNoResponse guards against a response that reaches the caller without a line whose name holds a
// blank, or with a body that is not that of the backend server.
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
