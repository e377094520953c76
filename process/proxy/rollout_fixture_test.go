// SPDX-License-Identifier: MIT

package proxy

import (
	"bytes"
	"slices"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"shalewick/process/logging"
	"shalewick/process/rollout"
	"shalewick/standin/server"
	"shalewick/version"
)

// recorder stands in for roll-outs: it sends requests to the target as it is told, and
// keeps what it hears.
type recorder struct {
	target bool   // first attempts go to the target
	brings string // the version that the roll-out brings
	closed bool   // nothing may go to the version before: further attempts go there, too

	mu  sync.Mutex
	all []*recorded
}

// recorded is one attempt.
type recorded struct {
	*recorder
	service, route string
	first, hasHome bool
	toTarget       bool
	declined       int
	outcomes       []rollout.Outcome
}

func (r *recorder) begin(service, route string, first bool, home func() (uint64, bool)) rolled {
	_, hasHome := home()
	r.mu.Lock()
	defer r.mu.Unlock()
	a := &recorded{recorder: r, service: service, route: route, first: first, hasHome: hasHome, toTarget: r.target && (first || r.closed)}
	r.all = append(r.all, a)
	return a
}

func (a *recorded) Target() string {
	if a.toTarget {
		return a.brings
	}
	return ""
}

func (a *recorded) Decline(over bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.declined++
	return over || !a.closed
}

func (a *recorded) Done(o rollout.Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.outcomes = append(a.outcomes, o)
}

// attempts returns the attempts, each of which must have ended once.
func (r *recorder) attempts(t testing.TB) []recorded {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []recorded
	for _, a := range r.all {
		assert.Equal(t, len(a.outcomes), 1, "%+v", a)
		out = append(out, recorded{
			service: a.service, route: a.route, first: a.first, hasHome: a.hasHome, toTarget: a.toTarget,
			declined: a.declined, outcomes: slices.Clone(a.outcomes),
		})
	}
	return out
}

// rolling is a proxy before one backend server of the version in force and one of a
// target that gets all first attempts.
type rolling struct {
	*fixture
	*recorder
	old, new *server.Server
	log      *syncBuffer
}

// syncBuffer is a buffer that several may write to.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// lines returns the lines of an event.
func (b *syncBuffer) lines(event string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for _, l := range strings.Split(b.b.String(), "\n") {
		if strings.Contains(l, " event="+event+" ") {
			out = append(out, l)
		}
	}
	return out
}

func newRolling(t *testing.T) *rolling {
	t.Helper()
	f := newFixture(t, 2)
	x := &rolling{fixture: f, recorder: &recorder{target: true}, old: f.backends[0], new: f.backends[1], log: &syncBuffer{}}
	f.proxy.begin = x.begin
	f.proxy.Log = logging.New(x.log)
	x.software("u0", "v1")
	x.software("u1", "v2")
	x.admit("v1", "v2")
	return x
}

func (x *rolling) software(name, v string) {
	x.config.Resources[version.Key{Kind: version.KindBackend, Name: name}].Backend.Software = v
}

func (x *rolling) admit(inForce, target string) {
	x.config.Software = map[string]version.Software{"s": {InForce: inForce, Target: target}}
	if target != "" {
		x.brings = target // else the roll-outs have not been told yet
	}
	x.install()
}

// metrics returns the text of all metrics.
func (f *fixture) metrics() string {
	f.t.Helper()
	var text strings.Builder
	assert.NilError(f.t, f.proxy.Metrics.Write(&text))
	return text.String()
}

func (f *fixture) retries() bool { return strings.Contains(f.metrics(), "retries_total") }

// outcome returns the outcome of the only attempt there was.
func (x *rolling) outcome() rollout.Outcome {
	x.t.Helper()
	all := x.attempts(x.t)
	assert.Equal(x.t, len(all), 1)
	return all[0].outcomes[0]
}
