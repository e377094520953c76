// SPDX-License-Identifier: MIT

package balance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newReachabilityFixture returns a fixture with backend servers, and the reports of OnLinks.
func newReachabilityFixture(backends int) (*fixture, *[]bool) {
	p := newFixture(1)
	for i := range backends {
		p.backend(fmt.Sprintf("b%d", i), i%3, nil)
	}
	reports := new([]bool)
	p.OnLinks = func(lost bool) { *reports = append(*reports, lost) }
	p.install()
	return p, reports
}

// attempt records the outcome of a request to a backend server that took a time.
func (p *fixture) attempt(name string, took time.Duration, o Outcome) {
	u := p.stateOf(name)
	u.inFlight++
	*u.softwareInFlight++
	pick := &Pick{Name: name, table: p.Table, backend: u, started: p.now}
	p.now += took
	pick.Done(o, nil)
}

// TestLinksAreLostWithoutContact checks that an instance that reaches none of several backend servers
// concludes that its links have failed, and that one response ends that.
func TestLinksAreLostWithoutContact(t *testing.T) {
	p, reports := newReachabilityFixture(6)
	p.attempt("b0", 10*time.Millisecond, Answered)
	p.now += time.Second
	for i := range minUnreachable {
		assert.Equal(t, len(*reports), 0)
		p.attempt(fmt.Sprintf("b%d", i), 400*time.Millisecond, Unreachable)
	}
	assert.DeepEqual(t, *reports, []bool{true})
	r := p.Reachability()
	assert.Equal(t, r.Suspended, minUnreachable)
	assert.Equal(t, r.Backends, 6)
	assert.Equal(t, r.LastContact, time.Second+minUnreachable*400*time.Millisecond)
	p.attempt("b4", 10*time.Millisecond, Refused)
	assert.DeepEqual(t, *reports, []bool{true, false})
	assert.Assert(t, !p.LinksLost())
}

// TestCrashedBackendsAreNoLostLinks checks that failures of backend servers do not count as failed
// links while another one responds.
func TestCrashedBackendsAreNoLostLinks(t *testing.T) {
	p, reports := newReachabilityFixture(6)
	for range 3 {
		p.attempt("b0", 400*time.Millisecond, Unreachable)
		p.attempt("b1", 400*time.Millisecond, Unreachable)
		p.attempt("b5", 10*time.Millisecond, Answered)
	}
	assert.Equal(t, len(*reports), 0)
}

// TestFailureOfOneBackendIsNoLostLink checks that one backend server that fails repeatedly does not
// count as failed links, even if no other one is used meanwhile.
func TestFailureOfOneBackendIsNoLostLink(t *testing.T) {
	p, reports := newReachabilityFixture(6)
	for range 10 {
		p.attempt("b0", 400*time.Millisecond, Unreachable)
	}
	assert.Equal(t, len(*reports), 0)
}

// TestRelapsingLinksMustBeStable checks that links that fail repeatedly must work for longer and
// longer before they count as restored.
func TestRelapsingLinksMustBeStable(t *testing.T) {
	p, _ := newReachabilityFixture(6)
	lose := func() {
		p.now += time.Millisecond
		for i := range minUnreachable {
			p.attempt(fmt.Sprintf("b%d", i), 100*time.Millisecond, Unreachable)
		}
		assert.Assert(t, p.LinksLost())
	}
	restoredAfter := func() time.Duration {
		start := p.now
		for p.LinksLost() {
			p.attempt("b4", 100*time.Millisecond, Answered)
		}
		return p.now - start
	}
	lose()
	assert.Equal(t, restoredAfter(), 100*time.Millisecond)
	var last time.Duration
	for _, want := range []time.Duration{1, 2, 4, 8, 8} {
		lose()
		last = restoredAfter()
		assert.Equal(t, last, want*time.Second+100*time.Millisecond)
	}
	p.now += relapseWindow
	lose()
	assert.Equal(t, restoredAfter(), 100*time.Millisecond)
}
