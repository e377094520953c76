// SPDX-License-Identifier: MIT

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"shalewick/process/admin"
	"shalewick/process/rollout"
	"shalewick/process/rolloutview"
	"shalewick/request"
	"shalewick/version"
)

// fakeInstance serves an admin API at which every rollout is in a fixed phase.
type fakeInstance struct {
	phase   rollout.Phase
	applied []version.Resource
}

// start serves the API and returns its address.
func (x *fakeInstance) start(t *testing.T) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/resources/rollout/{name}", func(w http.ResponseWriter, _ *http.Request) {
		request.NotRun(request.NotFound, 0).Write(w)
	})
	mux.HandleFunc("POST /v1/apply", func(w http.ResponseWriter, r *http.Request) {
		var body bytes.Buffer
		_, _ = body.ReadFrom(r.Body) // a truncated body fails to parse
		rs, err := version.Parse(body.Bytes())
		assert.Check(t, err)
		x.applied = append(x.applied, rs...)
		_ = json.NewEncoder(w).Encode(admin.ApplyResponse{Version: 7, Operation: "o"})
	})
	mux.Handle("GET "+rolloutview.Pattern, rolloutview.Handler(func(service string) (rolloutview.Status, bool) {
		record := &rollout.Record{Service: service, Order: 7, Target: "v2", Previous: "v1", Phase: x.phase, Cause: "it fails more often"}
		return rolloutview.Status{Service: service, InForce: "v1", Order: 7, Target: "v2", Record: record}, service == "s"
	}))
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

func runCommand(args ...string) (string, error) {
	cmd := newRootCommand()
	var out bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetArgs(args)
	err := cmd.Execute()
	return out.String(), err
}

// Rollouts are ordered, shown and followed; invalid flags order none.
func TestRolloutCommand(t *testing.T) {
	x := &fakeInstance{phase: rollout.Completed}
	address := x.start(t)
	out, err := runCommand("rollout", "s", "--target", "v2", "--within", "30s", "--admin", address)
	assert.NilError(t, err)
	assert.Equal(t, out, "order=7\n")
	assert.Equal(t, fmt.Sprint(x.applied[0].Key, *x.applied[0].Rollout), "rollout/s {s v2 30000000000}")
	out, err = runCommand("rollout", "s", "--admin", address)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(out, "state     completed"), out)
	out, err = runCommand("rollout", "s", "--target", "v2", "--within", "30s", "--wait", "--admin", address)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(out, "state     completed"), out)
	x.phase = rollout.Reverted
	_, err = runCommand("rollout", "s", "--wait", "--admin", address)
	assert.Error(t, err, "roll-out of s to v2 was reverted: it fails more often")
	_, err = runCommand("rollout", "none", "--admin", address)
	assert.ErrorContains(t, err, "62 NOT_FOUND")
	for _, args := range [][]string{{"--target", "v2"}, {"--within", "30s"}, {"--target", "v2", "--within", "-1s"}} {
		_, err = runCommand(append([]string{"rollout", "s", "--admin", address}, args...)...)
		assert.ErrorContains(t, err, "--target and --within")
	}
	assert.Equal(t, len(x.applied), 2)
}
