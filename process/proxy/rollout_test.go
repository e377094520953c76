// SPDX-License-Identifier: MIT

package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/process/balance"
	"shalewick/process/rollout"
	"shalewick/request"
	"shalewick/standin/server"
	"shalewick/version"
)

// TestFirstAttemptUsesTarget checks that the first attempt goes to the target, and what is reported
// to the rollouts.
func TestFirstAttemptUsesTarget(t *testing.T) {
	x := newRolloutFixture(t)
	x.new.UncachedWork = 30 * time.Millisecond
	x.assertServed(x.send("r", "/reads/1", ""), "r")
	assert.Equal(t, len(x.new.Runs()), 1)
	assert.Equal(t, len(x.old.Runs()), 0)
	all := x.attempts(t)
	assert.Equal(t, all[0].service, "s")
	assert.Equal(t, all[0].route, "reads")
	assert.Assert(t, all[0].first && all[0].hasHome && all[0].declined == 0)
	o := x.outcome()
	assert.Assert(t, !o.Failed && !o.Inconclusive && o.Unseen && !o.Cold)
	assert.Assert(t, o.Latency >= x.new.UncachedWork && o.Latency < 300*time.Millisecond, "%s", o.Latency)
	x.assertServed(x.send("again", "/reads/1", ""), "again")
	assert.Assert(t, !x.attempts(t)[1].outcomes[0].Unseen)
}

// TestColdBackendIsMarkedInOutcome checks that the outcome says that the backend server was cold.
func TestColdBackendIsMarkedInOutcome(t *testing.T) {
	x := newRolloutFixture(t)
	x.config.Resources[version.Key{Kind: version.KindBackend, Name: "u1"}].Backend.Cold = version.Duration(time.Minute)
	x.install()
	x.assertServed(x.send("r", "/reads/1", ""), "r")
	assert.Assert(t, x.outcome().Cold)
}

// TestRequestWithoutObjectMayUseTarget sends a request that names no object. Services whose
// requests name none have rollouts, too.
func TestRequestWithoutObjectMayUseTarget(t *testing.T) {
	x := newRolloutFixture(t)
	rec := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "/reads/1", nil)
	r.Host = "a.example"
	r.Header.Set(request.OwnNames.ID, "r")
	x.proxy.ServeHTTP(rec, r)
	assert.Equal(t, rec.Code, http.StatusOK)
	assert.Assert(t, x.attempts(t)[0].hasHome)
}

// TestUnavailableTargetFallsBackToVersionInForce checks that a request that the target has no
// capacity for goes to the version in force within the same attempt, whether or not it is
// repeatable.
func TestUnavailableTargetFallsBackToVersionInForce(t *testing.T) {
	for name, breakTarget := range map[string]func(x *rolloutFixture){
		"absent": func(x *rolloutFixture) { x.setVersions("v1", "v9") },
		"leaving": func(x *rolloutFixture) {
			x.config.Resources[version.Key{Kind: version.KindBackend, Name: "u1"}].Backend.Leaving = true
			x.install()
		},
		"drained": func(x *rolloutFixture) {
			x.put(version.Resource{Key: version.Key{Kind: version.KindDrain, Name: "d"}, Drain: &version.Drain{Backend: "u1"}})
			x.install()
		},
		"ended": func(x *rolloutFixture) { x.setVersions("v1", "") },
	} {
		x := newRolloutFixture(t)
		breakTarget(x)
		x.assertServed(x.send("b", "/bids/1", "an offer"), "b")
		all := x.attempts(t)
		assert.Equal(t, len(all), 1, name)
		assert.Equal(t, all[0].declined, 1, name)
		assert.Assert(t, !all[0].outcomes[0].Failed && !all[0].outcomes[0].Inconclusive, name)
		assert.Equal(t, len(x.old.Runs()), 1, name)
		assert.Assert(t, !x.hasRetries(), name)
		lines := x.log.lines("answered")
		assert.Equal(t, len(lines), 1)
		for _, field := range []string{"attempts=1", "declined=true", "target=false", "software=v1"} {
			assert.Assert(t, strings.Contains(lines[0], field), "%s: %s", field, lines[0])
		}
	}
}

// TestClosedVersionGetsNoRequests checks that once an instance has announced that it sends nothing
// more to the previous version, a request that the target cannot take is refused.
func TestClosedVersionGetsNoRequests(t *testing.T) {
	x := newRolloutFixture(t)
	x.previousClosed = true
	x.setVersions("v1", "v9")
	r := x.send("b", "/bids/1", "an offer")
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	assert.Equal(t, r.header.Get(request.HeaderRan), string(request.RanNo))
	assert.Equal(t, x.outcome(), rollout.Outcome{Inconclusive: true})
	x = newRolloutFixture(t)
	x.previousClosed = true
	x.new.InjectFaults(server.InternalError)
	assert.Equal(t, x.send("r", "/reads/1", "").status, http.StatusInternalServerError)
	assert.Equal(t, len(x.old.Runs()), 0)
}

// TestEndOfRolloutRefusesNoRequests guards against requests that are refused with NO_BACKEND as a
// rollout is completed or reverted. An instance applies the record of the last step in two steps:
// first to the table of backend servers, then to the rollouts. A request in between gets a route
// of the new table, which has no target, and an attempt of the old rollout, which must not use the
// other version. On busy machines this refused one or two of some thousands of requests in the
// millisecond between the steps, at the instance that wrote the record.
func TestEndOfRolloutRefusesNoRequests(t *testing.T) {
	for name, inForce := range map[string]string{"completed": "v2", "reverted": "v1"} {
		x := newRolloutFixture(t)
		x.previousClosed = true // the rollouts have not applied the record yet
		x.setVersions(inForce, "")
		x.assertServed(x.send("b", "/bids/1", "an offer"), "b")
		lines := x.log.lines("answered")
		assert.Equal(t, len(lines), 1, name)
		assert.Assert(t, strings.Contains(lines[0], "software="+inForce), "%s: %s", name, lines[0])
	}
}

// TestNoCapacityAtEitherVersionIsInconclusive covers a request that no backend server can take.
func TestNoCapacityAtEitherVersionIsInconclusive(t *testing.T) {
	x := newRolloutFixture(t)
	x.setVersions("v8", "v9")
	assert.Equal(t, x.send("r", "/reads/1", "").status, http.StatusServiceUnavailable)
	assert.Equal(t, x.outcome(), rollout.Outcome{Inconclusive: true})
}

// TestOutcomeOfEachFault checks which outcome is reported for each kind of fault of the target,
// with a request that is not repeatable, and that the caller gets the same as without a rollout.
func TestOutcomeOfEachFault(t *testing.T) {
	for _, c := range []struct {
		name           string
		fault          server.Fault
		failed, unsent bool
		status         int
		attempts       int
	}{
		{"complete", server.NoFault, false, false, 200, 1},
		{"own failure", server.InternalError, true, false, 500, 1},
		{"cut", server.Truncated, true, false, 502, 1},
		{"lost", server.ResetAfterRun, true, false, 502, 1},
		{"no response", server.NotHTTP, true, false, 502, 1},
		{"unresponsive", server.NoResponse, true, false, 504, 1},
		{"misdirected", server.Misdirected, true, false, 200, 2},
		{"refused", server.Shed, false, true, 200, 2},
	} {
		x := newRolloutFixture(t)
		x.new.InjectFaults(c.fault)
		r := x.send("b", "/bids/1", "an offer")
		assert.Equal(t, r.status, c.status, c.name)
		all := x.attempts(t)
		assert.Equal(t, len(all), c.attempts, c.name)
		outcome := all[0].outcomes[0]
		assert.Equal(t, outcome.Failed, c.failed, c.name)
		assert.Equal(t, outcome.Inconclusive, c.unsent, c.name)
		for _, further := range all[1:] {
			assert.Assert(t, !further.first && !further.outcomes[0].Failed, c.name)
		}
		assert.Equal(t, len(x.old.Runs()), c.attempts-1, c.name)
	}
}

// startScriptedBackend starts a backend server that replies to each request with raw text.
func startScriptedBackend(t *testing.T, reply func(id string) string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(c, reply(req.Header.Get(request.OwnNames.ID)))
			}()
		}
	}()
	return l.Addr().String()
}

// moveTarget changes the address of the target's backend server.
func (x *rolloutFixture) moveTarget(address string) {
	x.backend("u1", address)
	x.software("u1", "v2")
	x.install()
}

// TestMismatchedResponsesAreFailure covers a target whose responses carry the ids of other
// requests.
func TestMismatchedResponsesAreFailure(t *testing.T) {
	x := newRolloutFixture(t)
	x.moveTarget(startScriptedBackend(t, func(string) string {
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: other\r\nContent-Length: 0\r\n\r\n", request.OwnNames.ID)
		return strings.Repeat(response, maxMismatchedResponses+1)
	}))
	assert.Equal(t, x.send("b", "/bids/1", "an offer").status, http.StatusBadGateway)
	assert.Assert(t, x.outcome().Failed)
}

// TestUnreachableTargetIsInconclusive checks that a target to which no connection can be opened is
// not blamed, and that the request is served.
func TestUnreachableTargetIsInconclusive(t *testing.T) {
	x := newRolloutFixture(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	x.moveTarget(l.Addr().String())
	x.assertServed(x.send("b", "/bids/1", "an offer"), "b")
	all := x.attempts(t)
	assert.Equal(t, len(all), 2)
	assert.Equal(t, all[0].outcomes[0], rollout.Outcome{Inconclusive: true})
	assert.Equal(t, len(x.old.Runs()), 1)
}

// TestCallerDisconnectIsInconclusive covers a caller that disconnects while the target processes
// the request.
func TestCallerDisconnectIsInconclusive(t *testing.T) {
	x := newRolloutFixture(t)
	x.new.Work = 400 * time.Millisecond
	x.sendAndAbandon("r", 50*time.Millisecond)
	x.awaitIdle()
	assert.Equal(t, x.outcome(), rollout.Outcome{Inconclusive: true})
}

// sendWithDeadline sends a read with a deadline set by the caller.
func (x *rolloutFixture) sendWithDeadline(id string, left time.Duration) int {
	x.t.Helper()
	req, err := http.NewRequest(http.MethodGet, x.proxyServer.URL+"/reads/1", nil)
	assert.NilError(x.t, err)
	req.Host = "a.example"
	req.Header.Set(request.OwnNames.ID, id)
	req.Header.Set(request.OwnNames.Affinity, "7")
	req.Header.Set(request.OwnNames.Deadline, fmt.Sprint(left.Milliseconds()))
	res, err := http.DefaultClient.Do(req)
	assert.NilError(x.t, err)
	res.Body.Close()
	return res.StatusCode
}

// TestShortCallerDeadlineIsInconclusive covers callers' deadlines that are shorter and longer than
// the usual response time, at a target that does not respond.
func TestShortCallerDeadlineIsInconclusive(t *testing.T) {
	x := newRolloutFixture(t)
	x.new.InjectFaults(server.NoResponse, server.NoResponse)
	x.new.Work = 0
	assert.Equal(t, x.sendWithDeadline("short", 100*time.Millisecond), http.StatusGatewayTimeout)
	assert.Assert(t, x.outcome().Inconclusive, "the first request of an object is expected to take longer")
	x = newRolloutFixture(t)
	for i := range 30 { // warm up the estimate of the usual processing time, and let the object be seen
		id := fmt.Sprint("w", i)
		x.assertServed(x.send(id, "/reads/1", ""), id)
	}
	x.new.InjectFaults(server.NoResponse)
	assert.Equal(t, x.sendWithDeadline("long", 300*time.Millisecond), http.StatusGatewayTimeout)
	all := x.attempts(t)
	assert.Equal(t, len(all), 31)
	assert.Assert(t, all[30].outcomes[0].Failed)
}

// TestVersionIsLoggedAndCounted checks the software version in log lines and metrics.
func TestVersionIsLoggedAndCounted(t *testing.T) {
	x := newRolloutFixture(t)
	x.assertServed(x.send("r1", "/reads/1", ""), "r1")
	x.new.InjectFaults(server.ResetAfterRun)
	x.assertServed(x.send("r2", "/reads/1", ""), "r2")
	x.new.InjectFaults(server.Shed)
	x.assertServed(x.send("r3", "/reads/1", ""), "r3")
	for event, fields := range map[string][]string{
		"answered":        {"software=v2", "target=true", "declined=false"},
		"answer-lost":     {"software=v2", "target=true"},
		"backend-refused": {"software=v2", "target=true"},
	} {
		lines := x.log.lines(event)
		assert.Assert(t, len(lines) > 0, event)
		for _, field := range fields {
			assert.Assert(t, strings.Contains(lines[0], " "+field), "%s in %s", field, lines[0])
		}
	}
	text := x.metrics()
	for _, want := range []string{
		`software_requests_total{service="s",software="v1"} 2`,
		`software_failures_total{service="s",software="v1"} 0`,
		`software_requests_total{service="s",software="v2"} 2`,
		`software_failures_total{service="s",software="v2"} 1`,
		`software_latency_us_count{service="s",software="v2"} 1`,
	} {
		assert.Assert(t, strings.Contains(text, want), "%s in\n%s", want, text)
	}
}

// TestRolloutShareBoundsTargetRequests uses the real rollouts of a single instance, with a clock
// that advances with each request, and checks that the target receives some requests, but no more
// than its share.
func TestRolloutShareBoundsTargetRequests(t *testing.T) {
	const requests, share, slack = 300, 0.2, 10
	x := newRolloutFixture(t)
	x.proxy.beginRollout = nil
	now := time.Hour
	x.proxy.Rollouts = &rollout.Controller{
		Now: func() time.Duration { return now }, Bounds: rollout.Bounds{Share: share, Slack: slack, StopWithin: 2 * time.Second},
		Incarnation: 1, Owner: func(string) rollout.Owner { return rollout.Owner{Name: "here"} },
		Live: func() []string { return []string{""} }, InFlight: x.table.InFlight, Send: func(string, []byte) {},
	}
	routing := x.table.Routing()
	hash := routing.Backends[routing.Services[routing.Services[0].Target].Backends[0]].Hash
	x.proxy.Rollouts.Install(nil)
	x.proxy.Rollouts.Install([]rollout.Service{{
		Name: "s", Order: &rollout.Order{ID: 1, Target: "v2", Within: time.Minute}, Revision: 1, InForce: "v1", InForceSlots: 4,
		Record: &rollout.Record{Service: "s", Order: 1, Target: "v2", Previous: "v1", Phase: rollout.Canary, StartedAt: 1, Deadline: version.Duration(2 * time.Hour)},
		Homes:  []rollout.Home{{Hash: hash, Slots: 4}},
	}})
	for i := range requests {
		now += 20 * time.Millisecond
		x.proxy.Rollouts.Tick()
		id := fmt.Sprint("r", i)
		x.assertServed(x.send(id, "/bids/1", "an offer"), id)
	}
	atTarget := len(x.new.Runs())
	assert.Assert(t, atTarget > 0 && float64(atTarget) <= share*requests+slack, "%d of %d", atTarget, requests)
	assert.Equal(t, len(x.old.Runs()), requests-atTarget)
	assert.Equal(t, x.table.InFlight("s"), 0)
}

// BenchmarkNoRollout measures the cost of the rollout code for a request while no rollout is in
// progress: the begin and the end of the attempt, and the counts by version.
func BenchmarkNoRollout(b *testing.B) {
	f := newFixture(b, 1)
	f.proxy.Rollouts = &rollout.Controller{}
	routing := f.table.Routing()
	c := &call{route: routing.Route("a.example", "/reads/1"), service: "s"}
	t := &transaction{p: f.proxy, c: c, query: balance.Query{Route: c.route, Object: 7}}
	pick := &balance.Pick{Software: "v1"}
	b.ReportAllocs()
	for b.Loop() {
		t.attempted = false
		t.beginAttempt()
		t.query.Target = t.rolloutAttempt.Target()
		t.reportOutcome(pick, rollout.Outcome{Latency: time.Millisecond})
	}
}
