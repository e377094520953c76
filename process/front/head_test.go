// SPDX-License-Identifier: MIT

package front

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"shalewick/request"
	"shalewick/standin/server"
)

// TestEndlessResponseIsGivenUp guards against an entry whose memory is taken by the response of a backend server, or of
// another entry, that has no end. The request may have run.
func TestEndlessResponseIsGivenUp(t *testing.T) {
	for _, forwarded := range []bool{false, true} {
		for _, fault := range []server.Fault{server.EndlessHeaderLine, server.EndlessShortLines, server.EndlessInterim, server.EndlessTrailer} {
			s := &server.Server{Name: "c1", Names: request.OwnNames, Slots: 8, FaultOf: func(*http.Request) server.Fault { return fault }}
			assert.NilError(t, s.Start())
			t.Cleanup(s.Close)
			f := newFixtureAt(t, s.Address())
			if forwarded {
				f = newForwardFixtureTo(t, &fixture{url: "http://" + s.Address()})
			}
			r, _ := f.call(t, http.MethodPut, "/films/1", nil) // whose deadline is far beyond the time that this takes
			assert.Equal(t, r.Code, request.AnswerLost)
			assert.Equal(t, r.Ran, request.RanUnknown)
			var metrics strings.Builder
			assert.NilError(t, f.front.Metrics.Write(&metrics))
			assert.Assert(t, strings.Contains(metrics.String(), `answers_head_too_large_total{service="catalogue"}`), metrics.String())
		}
	}
}

// TestConnectionWithSurplusIsNotReused guards against a request that gets the bytes that a backend server, or another
// entry, sent after the response to the previous one.
func TestConnectionWithSurplusIsNotReused(t *testing.T) {
	for _, forwarded := range []bool{false, true} {
		s := &server.Server{Name: "c1", Names: request.OwnNames, Slots: 8, FaultOf: func(*http.Request) server.Fault { return server.ExtraAfter }}
		assert.NilError(t, s.Start())
		t.Cleanup(s.Close)
		f := newFixtureAt(t, s.Address())
		if forwarded {
			f = newForwardFixtureTo(t, &fixture{url: "http://" + s.Address()})
		}
		const calls = 4
		for range calls {
			r, _ := f.call(t, http.MethodGet, "/lots/1", nil)
			assert.Equal(t, r.Code, request.OK)
		}
		assert.Equal(t, s.Connections(), calls)
	}
}
