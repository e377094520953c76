// SPDX-License-Identifier: MIT

package rolloutview

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"shalewick/process/rollout"
	"shalewick/request"
)

// TestState checks the state for combinations of order and record.
func TestState(t *testing.T) {
	record := func(order int64, phase rollout.Phase) *rollout.Record {
		return &rollout.Record{Order: order, Phase: phase}
	}
	for _, x := range []struct {
		s     Status
		state State
		ended bool
	}{
		{Status{Order: 2}, Ordered, false},
		{Status{Order: 2, Record: record(1, rollout.Completed)}, Ordered, false},
		{Status{Order: 2, Record: record(2, rollout.Canary)}, "canary", false},
		{Status{Order: 2, Record: record(2, rollout.Promote)}, "promote", false},
		{Status{Order: 2, Record: record(2, rollout.Completed)}, "completed", true},
		{Status{Order: 2, Record: record(2, rollout.Reverted)}, "reverted", true},
		{Status{Record: record(2, rollout.Promote)}, Withdrawn, false},
		{Status{Record: record(2, rollout.Reverted)}, "reverted", true},
	} {
		assert.Equal(t, x.s.State(), x.state, "%+v", x.s)
		assert.Equal(t, x.s.Ended(), x.ended, "%+v", x.s)
	}
}

// TestHandler checks the call as an instance serves it.
func TestHandler(t *testing.T) {
	call := func(find Find, service string) *httptest.ResponseRecorder {
		mux := http.NewServeMux()
		mux.Handle("GET "+Pattern, Handler(find))
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/rollouts/"+service, nil))
		return w
	}
	find := func(service string) (Status, bool) { return Status{Service: service, InForce: "v1"}, service == "s" }
	w := call(find, "s")
	var s Status
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &s))
	assert.DeepEqual(t, s, Status{Service: "s", InForce: "v1"})
	assert.Equal(t, call(find, "t").Header().Get(request.HeaderResult), request.NotFound.String())
	w = call(nil, "s")
	assert.Equal(t, w.Code, http.StatusNotImplemented)
	assert.Equal(t, w.Header().Get(request.HeaderResult), request.NotCarriedOut.String())
}
