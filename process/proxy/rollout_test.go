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

// TestFirstAttemptGoesToTheTarget checks one, and what roll-outs are told of it.
func TestFirstAttemptGoesToTheTarget(t *testing.T) {
	x := newRolling(t)
	x.new.First = 30 * time.Millisecond
	x.own(x.send("r", "/reads/1", ""), "r")
	assert.Equal(t, len(x.new.Runs()), 1)
	assert.Equal(t, len(x.old.Runs()), 0)
	all := x.attempts(t)
	assert.Equal(t, all[0].service, "s")
	assert.Equal(t, all[0].route, "reads")
	assert.Assert(t, all[0].first && all[0].hasHome && all[0].declined == 0)
	o := x.outcome()
	assert.Assert(t, !o.Failed && !o.Inconclusive && o.Unseen && !o.Cold)
	assert.Assert(t, o.Latency >= x.new.First && o.Latency < 300*time.Millisecond, "%s", o.Latency)
	x.own(x.send("again", "/reads/1", ""), "again")
	assert.Assert(t, !x.attempts(t)[1].outcomes[0].Unseen)
}

// TestColdIsTold checks that an answer of a cold backend server is marked.
func TestColdIsTold(t *testing.T) {
	x := newRolling(t)
	x.config.Resources[version.Key{Kind: version.KindBackend, Name: "u1"}].Backend.Cold = version.Duration(time.Minute)
	x.install()
	x.own(x.send("r", "/reads/1", ""), "r")
	assert.Assert(t, x.outcome().Cold)
}

// TestRequestWithoutObjectMayGoToAnyOfTheTarget sends one that names no object: a service
// whose requests concern none has roll-outs, too.
func TestRequestWithoutObjectMayGoToAnyOfTheTarget(t *testing.T) {
	x := newRolling(t)
	rec := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "/reads/1", nil)
	r.Host = "a.example"
	r.Header.Set(request.OwnNames.ID, "r")
	x.proxy.ServeHTTP(rec, r)
	assert.Equal(t, rec.Code, http.StatusOK)
	assert.Assert(t, x.attempts(t)[0].hasHome)
}

// TestTargetThatCannotTakeItIsDeclined checks that a request for which the target has no
// place goes to the version in force in the same attempt, whatever may be repeated.
func TestTargetThatCannotTakeItIsDeclined(t *testing.T) {
	for name, spoil := range map[string]func(x *rolling){
		"absent": func(x *rolling) { x.admit("v1", "v9") },
		"leaving": func(x *rolling) {
			x.config.Resources[version.Key{Kind: version.KindBackend, Name: "u1"}].Backend.Leaving = true
			x.install()
		},
		"drained": func(x *rolling) {
			x.put(version.Resource{Key: version.Key{Kind: version.KindDrain, Name: "d"}, Drain: &version.Drain{Backend: "u1"}})
			x.install()
		},
		"ended": func(x *rolling) { x.admit("v1", "") },
	} {
		x := newRolling(t)
		spoil(x)
		x.own(x.send("b", "/bids/1", "an offer"), "b")
		all := x.attempts(t)
		assert.Equal(t, len(all), 1, name)
		assert.Equal(t, all[0].declined, 1, name)
		assert.Assert(t, !all[0].outcomes[0].Failed && !all[0].outcomes[0].Inconclusive, name)
		assert.Equal(t, len(x.old.Runs()), 1, name)
		assert.Assert(t, !x.retries(), name)
		lines := x.log.lines("answered")
		assert.Equal(t, len(lines), 1)
		for _, field := range []string{"attempts=1", "declined=true", "target=false", "software=v1"} {
			assert.Assert(t, strings.Contains(lines[0], field), "%s: %s", field, lines[0])
		}
	}
}

// TestNothingGoesToAVersionThatIsClosed checks that once an instance has said that it
// sends nothing to the version before, a request that the target can't take is refused.
func TestNothingGoesToAVersionThatIsClosed(t *testing.T) {
	x := newRolling(t)
	x.closed = true
	x.admit("v1", "v9")
	r := x.send("b", "/bids/1", "an offer")
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	assert.Equal(t, r.header.Get(request.HeaderRan), string(request.RanNo))
	assert.Equal(t, x.outcome(), rollout.Outcome{Inconclusive: true})
	x = newRolling(t)
	x.closed = true
	x.new.Next(server.Broken)
	assert.Equal(t, x.send("r", "/reads/1", "").status, http.StatusInternalServerError)
	assert.Equal(t, len(x.old.Runs()), 0)
}

// TestEndOfARolloutRefusesNobody tells of requests that were refused with "no backend
// server" in the millisecond in which a good target was completed: one or two of some
// thousands, now and then, on busy machines. An instance takes up the record of the last
// step in two steps: its table of backend servers first, then the roll-outs. A request that
// came in between had a route of the new table, which names no target, and an attempt of
// the old roll-out, which may go nowhere else. What proved it are the refusals' times:
// after the table was installed and before the record was noted, both at the instance
// that wrote it. The same gap refuses requests as a roll-out is reverted.
func TestEndOfARolloutRefusesNobody(t *testing.T) {
	for name, inForce := range map[string]string{"completed": "v2", "reverted": "v1"} {
		x := newRolling(t)
		x.closed = true // the roll-outs have not been told yet
		x.admit(inForce, "")
		x.own(x.send("b", "/bids/1", "an offer"), "b")
		lines := x.log.lines("answered")
		assert.Equal(t, len(lines), 1, name)
		assert.Assert(t, strings.Contains(lines[0], "software="+inForce), "%s: %s", name, lines[0])
	}
}

// TestNoPlaceAtEitherVersionIsUnsent checks a request that nobody can take.
func TestNoPlaceAtEitherVersionIsUnsent(t *testing.T) {
	x := newRolling(t)
	x.admit("v8", "v9")
	assert.Equal(t, x.send("r", "/reads/1", "").status, http.StatusServiceUnavailable)
	assert.Equal(t, x.outcome(), rollout.Outcome{Inconclusive: true})
}

// TestOutcomeOfEachFault checks what roll-outs are told for each way in which the target
// misbehaves, with a request that is not repeated, and that the caller gets what it gets
// without a roll-out.
func TestOutcomeOfEachFault(t *testing.T) {
	for _, c := range []struct {
		name           string
		fault          server.Fault
		failed, unsent bool
		status         int
		attempts       int
	}{
		{"whole", server.None, false, false, 200, 1},
		{"own failure", server.Broken, true, false, 500, 1},
		{"cut", server.Cut, true, false, 502, 1},
		{"lost", server.Lost, true, false, 502, 1},
		{"no answer", server.NotAnswer, true, false, 502, 1},
		{"silent", server.Silent, true, false, 504, 1},
		{"misdirected", server.Moved, true, false, 200, 2},
		{"refused", server.Shed, false, true, 200, 2},
	} {
		x := newRolling(t)
		x.new.Next(c.fault)
		r := x.send("b", "/bids/1", "an offer")
		assert.Equal(t, r.status, c.status, c.name)
		all := x.attempts(t)
		assert.Equal(t, len(all), c.attempts, c.name)
		o := all[0].outcomes[0]
		assert.Equal(t, o.Failed, c.failed, c.name)
		assert.Equal(t, o.Inconclusive, c.unsent, c.name)
		for _, further := range all[1:] {
			assert.Assert(t, !further.first && !further.outcomes[0].Failed, c.name)
		}
		assert.Equal(t, len(x.old.Runs()), c.attempts-1, c.name)
	}
}

// answering starts a backend server that answers each request with a text.
func answering(t *testing.T, text func(id string) string) string {
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
				_, _ = io.WriteString(c, text(req.Header.Get(request.OwnNames.ID)))
			}()
		}
	}()
	return l.Addr().String()
}

// at puts the target's backend server at another address.
func (x *rolling) at(address string) {
	x.backend("u1", address)
	x.software("u1", "v2")
	x.install()
}

// TestForeignAnswerIsAFailure checks a target that answers other requests than were sent.
func TestForeignAnswerIsAFailure(t *testing.T) {
	x := newRolling(t)
	x.at(answering(t, func(string) string {
		one := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: other\r\nContent-Length: 0\r\n\r\n", request.OwnNames.ID)
		return strings.Repeat(one, maxForeign+1)
	}))
	assert.Equal(t, x.send("b", "/bids/1", "an offer").status, http.StatusBadGateway)
	assert.Assert(t, x.outcome().Failed)
}

// TestUnreachableTargetIsUnsent checks that nothing is held against a target to which
// no connection can be opened, and that the request is served.
func TestUnreachableTargetIsUnsent(t *testing.T) {
	x := newRolling(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	x.at(l.Addr().String())
	x.own(x.send("b", "/bids/1", "an offer"), "b")
	all := x.attempts(t)
	assert.Equal(t, len(all), 2)
	assert.Equal(t, all[0].outcomes[0], rollout.Outcome{Inconclusive: true})
	assert.Equal(t, len(x.old.Runs()), 1)
}

// TestCallerThatLeavesTellsNothingOfTheTarget checks one that leaves while the target
// works.
func TestCallerThatLeavesTellsNothingOfTheTarget(t *testing.T) {
	x := newRolling(t)
	x.new.Work = 400 * time.Millisecond
	x.leave("r", 50*time.Millisecond)
	x.idle()
	assert.Equal(t, x.outcome(), rollout.Outcome{Inconclusive: true})
}

// sendWithin sends a read with a deadline of the caller's own.
func (x *rolling) sendWithin(id string, left time.Duration) int {
	x.t.Helper()
	req, err := http.NewRequest(http.MethodGet, x.front.URL+"/reads/1", nil)
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

// TestDeadlineOfTheCallerTellsNothingIfItIsShort checks a deadline of the caller's below
// and one above what answers usually take, at a target that is silent.
func TestDeadlineOfTheCallerTellsNothingIfItIsShort(t *testing.T) {
	x := newRolling(t)
	x.new.Next(server.Silent, server.Silent)
	x.new.Work = 0
	assert.Equal(t, x.sendWithin("short", 100*time.Millisecond), http.StatusGatewayTimeout)
	assert.Assert(t, x.outcome().Inconclusive, "the first work is taken to need more")
	x = newRolling(t)
	for i := range 30 { // so that the usual work is known, and the object seen
		id := fmt.Sprint("w", i)
		x.own(x.send(id, "/reads/1", ""), id)
	}
	x.new.Next(server.Silent)
	assert.Equal(t, x.sendWithin("long", 300*time.Millisecond), http.StatusGatewayTimeout)
	all := x.attempts(t)
	assert.Equal(t, len(all), 31)
	assert.Assert(t, all[30].outcomes[0].Failed)
}

// TestVersionIsLoggedAndMeasured checks the fields of the lines and the metrics.
func TestVersionIsLoggedAndMeasured(t *testing.T) {
	x := newRolling(t)
	x.own(x.send("r1", "/reads/1", ""), "r1")
	x.new.Next(server.Lost)
	x.own(x.send("r2", "/reads/1", ""), "r2")
	x.new.Next(server.Shed)
	x.own(x.send("r3", "/reads/1", ""), "r3")
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

// TestRolloutsDecideOnRequests lets the roll-outs of an instance that is alone decide, on
// a clock that the requests move, and checks that the target gets some, within its share.
func TestRolloutsDecideOnRequests(t *testing.T) {
	const requests, share, slack = 300, 0.2, 10
	x := newRolling(t)
	x.proxy.begin = nil
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
		x.own(x.send(id, "/bids/1", "an offer"), id)
	}
	at := len(x.new.Runs())
	assert.Assert(t, at > 0 && float64(at) <= share*requests+slack, "%d of %d", at, requests)
	assert.Equal(t, len(x.old.Runs()), requests-at)
	assert.Equal(t, x.table.InFlight("s"), 0)
}

// BenchmarkNoRollout measures what roll-outs add to a request while none runs: the
// beginning, the end, and the counts by version.
func BenchmarkNoRollout(b *testing.B) {
	f := newFixture(b, 1)
	f.proxy.Rollouts = &rollout.Controller{}
	routing := f.table.Routing()
	c := &call{route: routing.Route("a.example", "/reads/1"), service: "s"}
	t := &trial{p: f.proxy, c: c, query: balance.Query{Route: c.route, Object: 7}}
	pick := &balance.Pick{Software: "v1"}
	b.ReportAllocs()
	for b.Loop() {
		t.begun = false
		t.begin()
		t.query.Target = t.rolled.Target()
		t.over(pick, rollout.Outcome{Latency: time.Millisecond})
	}
}
