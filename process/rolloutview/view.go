// SPDX-License-Identifier: MIT

/*
Package rolloutview is what operators are shown of the roll-out of a service.

	GET /v1/rollouts/{service}

answers with a Status, or with a result as in package request: NOT_FOUND if there is
neither an order nor a record, NOT_CARRIED_OUT by a role that carries out no roll-outs.
*/
package rolloutview

import (
	"encoding/json"
	"net/http"

	"shalewick/process/rollout"
	"shalewick/request"
	"shalewick/version"
)

// Pattern is the path of the call, as http.ServeMux takes it.
const Pattern = "/v1/rollouts/{service}"

// Status is the roll-out of a service as one instance knows it.
type Status struct {
	Service string `json:"service"`
	// InForce is the version of the software that serves.
	InForce string `json:"inForce"`
	// Order is the version of the order's resource or row, Target and Within what it
	// asks for. Zero: there is no order.
	Order  int64            `json:"order,omitempty"`
	Target string           `json:"target,omitempty"`
	Within version.Duration `json:"within,omitempty"`
	// Record is the state of the newest roll-out. Nil: nothing was written yet.
	Record *rollout.Record `json:"record,omitempty"`
	// Left is the time to the deadline of a roll-out that runs, as its record has it: up to
	// half a second before that of the order.
	Left version.Duration `json:"left,omitempty"`
}

// State is where a roll-out stands: a phase of its record, or one of the below.
type State string

const (
	// Ordered: no instance has begun with it yet.
	Ordered State = "ordered"
	// Withdrawn: there is no order any more, and the roll-out has not ended yet.
	Withdrawn State = "withdrawn"
)

// State tells where the roll-out stands.
func (s *Status) State() State {
	switch {
	case s.Record == nil || s.Order != 0 && s.Record.Order != s.Order:
		return Ordered
	case s.Order == 0 && !s.Record.Phase.Ended():
		return Withdrawn
	}
	return State(s.Record.Phase)
}

// Ended reports whether the roll-out that was ordered last is over.
func (s *Status) Ended() bool {
	state := s.State()
	return state == State(rollout.Completed) || state == State(rollout.Reverted)
}

// Find returns the status of a service. Ok is false if there is neither an order nor a
// record.
type Find func(service string) (s Status, ok bool)

// Handler serves the call at Pattern. A nil find is that of a role that carries out no
// roll-outs.
func Handler(find Find) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { Serve(w, r.PathValue("service"), find) })
}

// Serve answers the call for a service.
func Serve(w http.ResponseWriter, service string, find Find) {
	if find == nil {
		writeError(w, request.NotCarriedOut, service)
		return
	}
	s, ok := find(service)
	if !ok {
		writeError(w, request.NotFound, service)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s) // a caller that is gone needs no answer
}

func writeError(w http.ResponseWriter, code request.Code, service string) {
	r := request.NotRun(code, 0)
	r.Detail = "roll-out of " + service
	r.Write(w)
}
