// SPDX-License-Identifier: MIT

package proxy

import (
	"bytes"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/process/logging"
	"shalewick/process/rollout"
	"shalewick/standin/server"
	"shalewick/version"
)

// recorder replaces the rollouts: it routes attempts to the target as configured, and records
// their outcomes.
type recorder struct {
	routesToTarget bool   // first attempts go to the target
	targetVersion  string // the version that is rolled out
	previousClosed bool   // the previous version is closed to requests, so further attempts go to the target, too

	mu       sync.Mutex
	recorded []*recordedAttempt
}

// recordedAttempt is one attempt and its outcomes.
type recordedAttempt struct {
	*recorder
	service, route string
	first, hasHome bool
	toTarget       bool
	declined       int
	outcomes       []rollout.Outcome
}

func (r *recorder) begin(service, route string, first bool, home func() (uint64, bool)) rolloutAttempt {
	_, hasHome := home()
	r.mu.Lock()
	defer r.mu.Unlock()
	a := &recordedAttempt{recorder: r, service: service, route: route, first: first, hasHome: hasHome, toTarget: r.routesToTarget && (first || r.previousClosed)}
	r.recorded = append(r.recorded, a)
	return a
}

func (a *recordedAttempt) Target() string {
	if a.toTarget {
		return a.targetVersion
	}
	return ""
}

func (a *recordedAttempt) Decline(ended bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.declined++
	return ended || !a.previousClosed
}

func (a *recordedAttempt) Done(o rollout.Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.outcomes = append(a.outcomes, o)
}

// outcomesWithin is how long the outcome of a lost attempt may be held back.
const outcomesWithin = 2 * time.Second

// awaitOutcomes waits until each attempt has an outcome, but no longer than outcomesWithin.
func (r *recorder) awaitOutcomes() {
	missing := func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return slices.ContainsFunc(r.recorded, func(a *recordedAttempt) bool { return len(a.outcomes) == 0 })
	}
	for begun := time.Now(); missing() && time.Since(begun) < outcomesWithin; {
		time.Sleep(time.Millisecond)
	}
}

// count returns the number of attempts.
func (r *recorder) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.recorded)
}

// attempts returns all attempts, and checks that each has exactly one outcome.
func (r *recorder) attempts(t testing.TB) []recordedAttempt {
	t.Helper()
	r.awaitOutcomes()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []recordedAttempt
	for _, a := range r.recorded {
		assert.Equal(t, len(a.outcomes), 1, "%+v", a)
		out = append(out, recordedAttempt{
			service: a.service, route: a.route, first: a.first, hasHome: a.hasHome, toTarget: a.toTarget,
			declined: a.declined, outcomes: slices.Clone(a.outcomes),
		})
	}
	return out
}

// rolloutFixture is a proxy with one backend server of the version in force and one of a target
// that receives all first attempts.
type rolloutFixture struct {
	*fixture
	*recorder
	old, new *server.Server
	log      *syncBuffer
}

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// lines returns the log lines of an event.
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

func newRolloutFixture(t *testing.T) *rolloutFixture {
	t.Helper()
	f := newFixture(t, 2)
	x := &rolloutFixture{fixture: f, recorder: &recorder{routesToTarget: true}, old: f.backends[0], new: f.backends[1], log: &syncBuffer{}}
	f.proxy.beginRollout = x.begin
	f.proxy.Log = logging.New(x.log)
	x.software("u0", "v1")
	x.software("u1", "v2")
	x.setVersions("v1", "v2")
	return x
}

func (x *rolloutFixture) software(name, v string) {
	x.config.Resources[version.Key{Kind: version.KindBackend, Name: name}].Backend.Software = v
}

func (x *rolloutFixture) setVersions(inForce, target string) {
	x.config.Software = map[string]version.Software{"s": {InForce: inForce, Target: target}}
	if target != "" {
		x.targetVersion = target // otherwise the recorder still has the previous target
	}
	x.install()
}

// metrics returns all metrics in text form.
func (f *fixture) metrics() string {
	f.t.Helper()
	var text strings.Builder
	assert.NilError(f.t, f.proxy.Metrics.Write(&text))
	return text.String()
}

func (f *fixture) hasRetries() bool { return strings.Contains(f.metrics(), "retries_total") }

// outcome returns the outcome of the only attempt.
func (x *rolloutFixture) outcome() rollout.Outcome {
	x.t.Helper()
	all := x.attempts(x.t)
	assert.Equal(x.t, len(all), 1)
	return all[0].outcomes[0]
}
