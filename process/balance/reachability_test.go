// SPDX-License-Identifier: MIT

package balance

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/conn"
)

// newReachabilityFixture returns a fixture with backend servers.
func newReachabilityFixture(backends int) *fixture {
	p := newFixture(1)
	for i := range backends {
		p.backend(fmt.Sprintf("b%d", i), i%3, nil)
	}
	p.install()
	return p
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

// probeLinks probes the links, where each probe takes a time and fails or not.
func (p *fixture) probeLinks(took time.Duration, fails bool) {
	p.Probe = func(*conn.Pool) error {
		if fails {
			return errors.New("unreachable")
		}
		return nil
	}
	t := p.now
	p.Now = func() time.Duration { t += took; return t }
	p.probeSeveral(linkProbes)
	p.now = t
	p.Now = func() time.Duration { return p.now }
}

// suspects reports whether a signal to probe the links is pending, and consumes it.
func (p *fixture) suspects() bool {
	select {
	case <-p.linksSuspectedLocked():
		return true
	default:
		return false
	}
}

// TestLinksAreLostWithoutContact checks that an instance that reaches none of several backend servers
// concludes that its links have failed, and that one response ends that.
func TestLinksAreLostWithoutContact(t *testing.T) {
	p := newReachabilityFixture(6)
	p.attempt("b0", 10*time.Millisecond, Answered)
	p.now += time.Second
	p.attempt("b1", 400*time.Millisecond, Unreachable)
	assert.Assert(t, p.suspects())
	assert.Equal(t, p.Links(), LinksUp)
	p.probeLinks(time.Millisecond, true)
	assert.Equal(t, p.Links(), LinksDown)
	r := p.Reachability()
	assert.Equal(t, r.Suspended, 1)
	assert.Equal(t, r.Backends, 6)
	assert.Assert(t, r.Lost > 0 && r.LastContact >= 1400*time.Millisecond)
	p.attempt("b4", 10*time.Millisecond, Refused)
	assert.Equal(t, p.Links(), LinksUp)
}

// TestFailuresBesideResponsesAreNoLostLinks guards against instances that take failures of backend
// servers for failed links: servers that were overloaded reset connections within a millisecond, and 20
// of 31 instances forwarded all their requests for seconds.
func TestFailuresBesideResponsesAreNoLostLinks(t *testing.T) {
	p := newReachabilityFixture(6)
	for range 10 {
		p.attempt("b5", 10*time.Millisecond, Answered)
		for i := range 5 {
			p.attempt(fmt.Sprintf("b%d", i), time.Millisecond, Unreachable)
		}
		assert.Assert(t, !p.suspects())
	}
	p.now += time.Second
	p.attempt("b0", time.Millisecond, Lost)
	assert.Assert(t, p.suspects())
	p.probeLinks(time.Millisecond, false)
	assert.Equal(t, p.Links(), LinksUp)
	p.Probe = func(pool *conn.Pool) error { // another server responds meanwhile
		p.now += time.Millisecond
		p.mu.Lock()
		p.recordContact(p.now)
		p.mu.Unlock()
		return errors.New("unreachable")
	}
	p.probeSeveral(1)
	assert.Equal(t, p.Links(), LinksUp)
}

// TestRelapsingLinksMustBeStable checks that links that fail repeatedly must work for longer and
// longer before they count as restored.
func TestRelapsingLinksMustBeStable(t *testing.T) {
	p := newReachabilityFixture(6)
	lose := func() {
		p.now += time.Millisecond
		p.probeLinks(time.Millisecond, true)
		assert.Equal(t, p.Links(), LinksDown)
	}
	restoredAfter := func() time.Duration {
		start := p.now
		for p.Links() != LinksUp {
			p.attempt("b4", 100*time.Millisecond, Answered)
		}
		return p.now - start
	}
	lose()
	assert.Equal(t, restoredAfter(), 100*time.Millisecond)
	for _, want := range []time.Duration{1, 2, 4, 8, 8} {
		lose()
		assert.Equal(t, restoredAfter(), want*time.Second+100*time.Millisecond)
	}
	p.now += relapseWindow
	lose()
	assert.Equal(t, restoredAfter(), 100*time.Millisecond)
}

// TestSuspensionsEndWithTheOutage guards against backend servers that get no requests for seconds
// after the links of an instance have recovered, since their pauses had grown during the outage.
func TestSuspensionsEndWithTheOutage(t *testing.T) {
	p := newReachabilityFixture(6)
	for range 6 {
		for i := range 5 {
			p.attempt(fmt.Sprintf("b%d", i), 10*time.Millisecond, Unreachable)
		}
	}
	p.probeLinks(time.Millisecond, true)
	assert.Equal(t, p.Links(), LinksDown)
	assert.Assert(t, p.stateOf("b0").suspendedUntil > p.now+time.Second)
	p.attempt("b5", 10*time.Millisecond, Answered)
	for i := range 5 {
		u := p.stateOf(fmt.Sprintf("b%d", i))
		assert.Assert(t, u.suspendedUntil <= p.now && !u.usable(p.now), "b%d must be probed first, but at once", i)
	}
}

// TestWatchLinks checks that a single failure without a response since makes the instance probe other
// backend servers, that links that have failed are probed until one accepts a connection, and that they
// are reported only if the probes fail too.
func TestWatchLinks(t *testing.T) {
	for _, fails := range []bool{true, false} {
		p := newReachabilityFixture(6)
		var works atomic.Bool
		var probes atomic.Int64
		works.Store(!fails)
		reports := make(chan bool, 4)
		p.OnLinks = func(lost bool) { reports <- lost }
		p.Probe = func(*conn.Pool) error {
			probes.Add(1)
			if works.Load() {
				return nil
			}
			return errors.New("unreachable")
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		p.now += minSilence
		p.attempt("b0", 10*time.Millisecond, Lost)
		go func() {
			p.WatchLinks(ctx)
			close(ended)
		}()
		if fails {
			assert.Equal(t, <-reports, true)
			assert.Equal(t, p.Links(), LinksDown)
			works.Store(true)
			assert.Equal(t, <-reports, false)
		}
		for probes.Load() < linkProbes || p.Links() != LinksUp {
			time.Sleep(time.Millisecond)
		}
		cancel()
		<-ended
		assert.Equal(t, len(reports), 0)
	}
}

// TestFailuresOfLostLinksAreNotGossiped guards against instances that lose their links and make the
// others suspend backend servers: each of six suspended 12 to 14 of 46 servers in an incident, though
// these responded to it. A failure is gossiped once a backend server has responded since.
func TestFailuresOfLostLinksAreNotGossiped(t *testing.T) {
	p := newReachabilityFixture(6)
	other := newReachabilityFixture(6)
	other.now = p.now
	p.attempt("b1", 10*time.Millisecond, Answered)
	p.attempt("b0", 10*time.Millisecond, Unreachable)
	other.ApplyObservations(p.Observations(noSizeLimit))
	assert.Equal(t, other.Reachability().Suspended, 0)
	p.attempt("b1", 10*time.Millisecond, Answered)
	other.now = p.now
	other.ApplyObservations(p.Observations(noSizeLimit))
	assert.Equal(t, other.Reachability().Suspended, 1)
}

// TestCrashOfMostBackendsIsNoLossOfLinks guards against instances that report no crash while most backend
// servers are down: a request that crashes all that run it was let through by then.
func TestCrashOfMostBackendsIsNoLossOfLinks(t *testing.T) {
	p := newReachabilityFixture(8)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	started := time.Now()
	p.Now = func() time.Duration { return p.now + time.Since(started) }
	p.Probe = func(*conn.Pool) error { return errors.New("connection refused") }
	p.OnLinks = func(bool) {}
	go p.WatchLinks(ctx)
	for range 10 {
		verdict := make(chan bool)
		go func() { verdict <- p.LostToLinks(p.Now()) }()
		time.Sleep(20 * time.Millisecond) // another server responds meanwhile
		p.mu.Lock()
		p.recordContact(p.Now())
		p.mu.Unlock()
		assert.Assert(t, !<-verdict)
	}
}

// TestLossWithoutContactIsDueToLinks checks that a lost request is attributed to the links if no backend
// server can be reached, also if this request is the only one.
func TestLossWithoutContactIsDueToLinks(t *testing.T) {
	for _, reachable := range []bool{false, true} {
		p := newReachabilityFixture(8)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		started := time.Now()
		p.Now = func() time.Duration { return p.now + time.Since(started) }
		p.Probe = func(*conn.Pool) error {
			if reachable {
				return nil
			}
			return errors.New("connection refused")
		}
		p.OnLinks = func(bool) {}
		go p.WatchLinks(ctx)
		assert.Equal(t, p.LostToLinks(p.Now()), !reachable)
	}
}
