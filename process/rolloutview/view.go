// SPDX-License-Identifier: MIT

/*
Package rolloutview serves the state of a rollout to operators.

	GET /v1/rollouts/{service}

responds with a Status, or with a result as in package request: NOT_FOUND if there is neither an
order nor a record, NOT_CARRIED_OUT in a role that carries out no rollouts.
*/
package rolloutview

import (
	"encoding/json"
	"net/http"

	"shalewick/process/rollout"
	"shalewick/request"
	"shalewick/version"
)

// Pattern is the path of the call as a pattern for http.ServeMux.
const Pattern = "/v1/rollouts/{service}"

// Status is the state of a service's rollout as one instance knows it.
type Status struct {
	Service string `json:"service"`
	// InForce is the version of the software in force.
	InForce string `json:"inForce"`
	// Order is the version of the order's resource or row, Target and Within are what it orders.
	// They are zero if there is no order.
	Order  int64            `json:"order,omitempty"`
	Target string           `json:"target,omitempty"`
	Within version.Duration `json:"within,omitempty"`
	// Record is the state of the newest rollout. Nil: none was written yet.
	Record *rollout.Record `json:"record,omitempty"`
	// Remaining is the time until the deadline in the record of a running rollout, which is up to half a
	// second before that of the order.
	Remaining version.Duration `json:"left,omitempty"`
}

// State is the state of a rollout: a phase of its record, or one of the states below.
type State string

const (
	// Ordered: no instance has started it yet.
	Ordered State = "ordered"
	// Withdrawn: the order is gone, and the rollout has not ended yet.
	Withdrawn State = "withdrawn"
)

// State returns the state of the rollout.
func (s *Status) State() State {
	switch {
	case s.Record == nil || s.Order != 0 && s.Record.Order != s.Order:
		return Ordered
	case s.Order == 0 && !s.Record.Phase.Ended():
		return Withdrawn
	}
	return State(s.Record.Phase)
}

// Ended reports whether the rollout that was ordered last is over.
func (s *Status) Ended() bool {
	state := s.State()
	return state == State(rollout.Completed) || state == State(rollout.Reverted)
}

// Find returns the status of a service. Ok is false if there is neither an order nor a record.
type Find func(service string) (s Status, ok bool)

// Handler serves the call at Pattern. Find is nil in a role that carries out no rollouts.
func Handler(find Find) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { Serve(w, r.PathValue("service"), find) })
}

// Serve responds to the call for a service.
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
	_ = json.NewEncoder(w).Encode(s) // an error here means that the caller is gone
}

func writeError(w http.ResponseWriter, code request.Code, service string) {
	r := request.NotRun(code, 0)
	r.Detail = "roll-out of " + service
	r.Write(w)
}
