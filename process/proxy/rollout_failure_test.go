// SPDX-License-Identifier: MIT

package proxy

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/conn"
	"shalewick/request"
	"shalewick/standin/server"
	"shalewick/version"
)

// TestTargetServerErrorIsRetriedOnVersionInForce checks that a caller whose request is repeatable
// does not see a server error of the target.
func TestTargetServerErrorIsRetriedOnVersionInForce(t *testing.T) {
	x := newRolloutFixture(t)
	x.new.InjectFaults(server.InternalError)
	x.assertServed(x.send("r", "/reads/1", ""), "r")
	assert.Equal(t, len(x.new.Runs()), 1)
	assert.Equal(t, len(x.old.Runs()), 1)
	all := x.attempts(t)
	assert.Equal(t, len(all), 2)
	assert.Assert(t, all[0].toTarget && all[0].outcomes[0].Failed)
	assert.Assert(t, !all[1].first && !all[1].outcomes[0].Failed)
	assert.Assert(t, strings.Contains(x.metrics(), `retries_total{service="s"} 1`))
	assert.Equal(t, len(x.log.lines("answered")), 1, "one response was relayed")
	assert.Assert(t, strings.Contains(x.log.lines("tried-again")[0], "status=500"))
}

// TestTargetServerErrorIsDeliveredIfNotRepeatable checks that a request that must not run twice is
// not retried.
func TestTargetServerErrorIsDeliveredIfNotRepeatable(t *testing.T) {
	x := newRolloutFixture(t)
	x.new.InjectFaults(server.InternalError)
	r := x.send("b", "/bids/1", "an offer")
	assert.Equal(t, r.status, http.StatusInternalServerError)
	assert.Equal(t, r.body, server.ResponseBody("b"))
	assert.Equal(t, len(x.runs()), 1)
	assert.Assert(t, x.outcome().Failed)
}

// TestVersionInForceServerErrorIsDelivered checks that only server errors of a target are retried.
func TestVersionInForceServerErrorIsDelivered(t *testing.T) {
	x := newRolloutFixture(t)
	x.routesToTarget = false
	x.old.InjectFaults(server.InternalError)
	assert.Equal(t, x.send("r", "/reads/1", "").status, http.StatusInternalServerError)
	assert.Equal(t, len(x.runs()), 1)
}

// TestTargetServerErrorIsDeliveredIfRetryFails covers each way in which the version in force fails
// to provide a response.
func TestTargetServerErrorIsDeliveredIfRetryFails(t *testing.T) {
	for name, fail := range map[string]func(x *rolloutFixture){
		"lost":         func(x *rolloutFixture) { x.old.InjectFaults(server.ResetAfterRun) },
		"refused":      func(x *rolloutFixture) { x.old.InjectFaults(server.Shed) },
		"unresponsive": func(x *rolloutFixture) { x.old.InjectFaults(server.NoResponse) },
		"absent":       func(x *rolloutFixture) { x.setVersions("v9", "v2") },
		"one attempt": func(x *rolloutFixture) {
			x.config.Resources[version.Key{Kind: version.KindRoute, Name: "reads"}].Route.Attempts = 1
			x.install()
		},
	} {
		x := newRolloutFixture(t)
		fail(x)
		x.new.InjectFaults(server.InternalError)
		r := x.send("r", "/reads/1", "")
		assert.NilError(t, r.err)
		assert.Equal(t, r.status, http.StatusInternalServerError, name)
		assert.Equal(t, r.body, server.ResponseBody("r"), name)
		assert.Equal(t, r.header.Get(request.OwnNames.Seal), "seal-r", name)
		assert.Assert(t, x.attempts(t)[0].outcomes[0].Failed, name)
		assert.Equal(t, len(x.log.lines("answered")), 1, name)
	}
}

// TestBothVersionsFail checks that the server error of the version in force is delivered.
func TestBothVersionsFail(t *testing.T) {
	x := newRolloutFixture(t)
	x.new.InjectFaults(server.InternalError)
	x.old.InjectFaults(server.InternalError)
	r := x.send("r", "/reads/1", "")
	assert.Equal(t, r.status, http.StatusInternalServerError)
	assert.Equal(t, len(x.runs()), 2)
	assert.Assert(t, strings.Contains(x.log.lines("answered")[0], "software=v1"))
}

// TestLateTargetResponsesAreDelivered covers a response after the objective, and a server error of
// the target whose retry runs out of time.
func TestLateTargetResponsesAreDelivered(t *testing.T) {
	x := newRolloutFixture(t)
	x.new.Work = 500 * time.Millisecond // the route's timeout is 600 ms, its objective 300 ms
	x.assertServed(x.send("r", "/reads/1", ""), "r")
	x = newRolloutFixture(t)
	x.new.Work = 450 * time.Millisecond
	x.old.Work = 500 * time.Millisecond
	x.new.InjectFaults(server.InternalError)
	r := x.send("r", "/reads/1", "")
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusInternalServerError)
	assert.Equal(t, r.body, server.ResponseBody("r"))
}

// TestTargetRetriesStayWithinBudget checks that a target that always fails causes no more retries
// than the retry budget allows, and that each caller gets a response.
func TestTargetRetriesStayWithinBudget(t *testing.T) {
	const requests, ratio = 60, 0.2
	x := newRolloutFixture(t)
	x.proxy.RetryBudget.Ratio, x.proxy.RetryBudget.Fixed = ratio, 0
	faults := make([]server.Fault, requests)
	for i := range faults {
		faults[i] = server.InternalError
	}
	x.new.InjectFaults(faults...)
	failed := 0
	for i := range requests {
		id := fmt.Sprint("r", i)
		r := x.send(id, "/reads/1", "")
		assert.NilError(t, r.err)
		assert.Equal(t, r.body, server.ResponseBody(id))
		if r.status != http.StatusOK {
			failed++
		}
	}
	retries := len(x.old.Runs())
	assert.Equal(t, retries, requests-failed)
	assert.Assert(t, retries > 0 && retries <= ratio*requests, "%d of %d", retries, requests)
}

// TestStreamedResponseIsInFlightUntilDelivered checks that the outcome is reported once the
// beginning of a large response has arrived, and that the request counts as in flight until the
// caller has received all of it.
func TestStreamedResponseIsInFlightUntilDelivered(t *testing.T) {
	const size = 3 << 20
	rest := make(chan struct{})
	sendRest := sync.OnceFunc(func() { close(rest) })
	x := newRolloutFixture(t)
	x.routesToTarget = false
	old := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(request.OwnNames.ID, r.Header.Get(request.OwnNames.ID))
		w.Header().Set("Content-Length", fmt.Sprint(size))
		_, _ = w.Write(make([]byte, size/2))
		w.(http.Flusher).Flush()
		<-rest
		_, _ = w.Write(make([]byte, size/2))
	}))
	defer old.Close()
	defer sendRest() // unblocks the backend server's handler before Close waits for it
	x.backend("u0", old.Listener.Addr().String())
	x.software("u0", "v1")
	x.install()
	got := make(chan reply, 1)
	go func() { got <- x.send("r", "/reads/1", "") }()
	for start := time.Now(); ; time.Sleep(time.Millisecond) {
		x.mu.Lock()
		reported := len(x.recorded) == 1 && len(x.recorded[0].outcomes) == 1
		x.mu.Unlock()
		if reported {
			break
		}
		assert.Assert(t, time.Since(start) < 500*time.Millisecond)
	}
	assert.Equal(t, x.table.InFlight("s"), 1)
	x.setVersions("v2", "")
	assert.Equal(t, x.table.InFlight("s"), 1, "still in flight after its version was replaced")
	sendRest()
	r := <-got
	assert.NilError(t, r.err)
	assert.Equal(t, len(r.body), size)
	x.awaitIdle()
	assert.Equal(t, x.table.InFlight("s"), 0)
	assert.Assert(t, !x.outcome().Failed)
}

// TestLostLinksAreNoFailuresOfAVersion guards against rollouts that are reverted because an instance lost
// its links to all backend servers: what it sent them then says nothing about their version.
func TestLostLinksAreNoFailuresOfAVersion(t *testing.T) {
	x := newRolloutFixture(t)
	x.table.Probe = func(*conn.Pool) error { return errors.New("unreachable") }
	x.table.OnLinks = func(bool) {}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go x.table.WatchLinks(ctx)
	for _, s := range []*server.Server{x.old, x.new} {
		s.InjectFaults(server.ResetAfterRun, server.ResetAfterRun)
	}
	assert.Equal(t, x.send("r", "/reads/1", "").status, http.StatusBadGateway)
	for _, a := range x.attempts(t) {
		assert.Assert(t, a.outcomes[0].Inconclusive && !a.outcomes[0].Failed, "%+v", a)
	}
	assert.Assert(t, !strings.Contains(x.metrics(), `software="v`), "%s", x.metrics())
}
