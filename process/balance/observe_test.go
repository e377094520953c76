// SPDX-License-Identifier: MIT

package balance

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"shalewick/conn"
)

// twoInstances returns two tables with the same backend servers. The second can reach those that
// reachable contains.
func twoInstances(backends ...string) (a, b *fixture, reachable map[string]bool) {
	reachable = make(map[string]bool)
	a, b = newFixture(2), newFixture(2)
	for _, p := range []*fixture{a, b} {
		for _, name := range backends {
			p.backend(name, 0, nil)
		}
		p.install()
	}
	b.Probe = func(pool *conn.Pool) error {
		for i, u := range b.states {
			if u != nil && u.pool == pool && reachable[b.routing.Backends[i].Name] {
				return nil
			}
		}
		return errors.New("refused")
	}
	return a, b, reachable
}

const noSizeLimit = 1 << 10 // bytes

// firstAt returns an object whose first choice is a backend server.
func (p *fixture) firstAt(t *testing.T, name string) uint64 {
	for object := uint64(1); object < 1000; object++ {
		k := p.pick(t, object)
		k.Done(Abandoned, nil)
		if k.Name == name {
			return object
		}
	}
	t.Fatal("no object")
	return 0
}

// TestGossipedFailurePreventsRequests checks that a backend server that one instance could not
// reach gets no request from another one until a connection was opened.
func TestGossipedFailurePreventsRequests(t *testing.T) {
	a, b, reachable := twoInstances("u", "v", "w", "x")
	object := b.firstAt(t, "u")
	a.pickOf(t, "u").Done(Unreachable, nil)
	a.respond()
	b.ApplyObservations(a.Observations(noSizeLimit))
	k := b.pick(t, object)
	assert.Assert(t, k.Name != "u")
	k.Done(Abandoned, nil)
	b.awaitProbe("u")
	k = b.pick(t, object)
	assert.Assert(t, k.Name != "u", "it could not be reached")
	k.Done(Abandoned, nil)
	reachable["u"] = true
	b.now += b.Policy.MaxSuspension
	b.pick(t, object).Done(Abandoned, nil)
	b.awaitProbe("u")
	assert.Equal(t, b.pick(t, object).Name, "u")
}

// pickOf chooses a backend server by a suitable object.
func (p *fixture) pickOf(t *testing.T, name string) *Pick { return p.pick(t, p.firstAt(t, name)) }

// TestOwnAnswerOverridesOlderGossip checks that observations that are older than a response to this
// instance, or too old, are ignored.
func TestOwnAnswerOverridesOlderGossip(t *testing.T) {
	a, b, _ := twoInstances("u", "v", "w", "x")
	a.pickOf(t, "u").Done(Unreachable, nil)
	a.respond()
	gossip := a.Observations(noSizeLimit)
	assert.Equal(t, len(gossip), observationBytes)
	a.now += observationTTL
	assert.Equal(t, len(a.Observations(noSizeLimit)), 0, "it is too old to be announced")
	a.now -= observationTTL / 2
	gossip = a.Observations(noSizeLimit)
	b.pickOf(t, "u").Done(Answered, &Report{Running: 1, Slots: 6})
	b.ApplyObservations(gossip)
	assert.Equal(t, b.stateOf("u").failures, 0)
}

// TestIsolatedInstanceIsIgnored checks both sides: an instance to which most backend servers of a
// service fail does not announce it, and gossip may suspend no more than a part of a service's
// backend servers.
func TestIsolatedInstanceIsIgnored(t *testing.T) {
	names := []string{"u", "v", "w", "x", "y", "z"}
	a, b, _ := twoInstances(names...)
	var gossip []byte
	for i, name := range names {
		a.stateOf(name).recordFailure(a.now)
		a.respond()
		if i < 2 {
			gossip = append(gossip, a.Observations(noSizeLimit)...)
		}
	}
	assert.Equal(t, len(a.Observations(noSizeLimit)), 0)
	for i := range names {
		a.stateOf(names[i]).failures = 0
	}
	b.ApplyObservations(a.Observations(noSizeLimit))
	suspected := 0
	for _, name := range names {
		if b.stateOf(name).failures > 0 {
			suspected++
		}
	}
	assert.Equal(t, suspected, 2, "of %d", len(names))
	b.ApplyObservations(gossip)
	b.ApplyObservations([]byte{1, 2, 3})
}

// TestGossipedLoadIsUsed checks that a backend server whose report to another instance shows it
// full is avoided, and that one with free slots is not announced.
func TestGossipedLoadIsUsed(t *testing.T) {
	a, b, _ := twoInstances("u", "v", "w", "x")
	object := b.firstAt(t, "u")
	a.pickOf(t, "u").Done(Answered, &Report{Running: 6, Waiting: 40, Slots: 6})
	b.ApplyObservations(a.Observations(noSizeLimit))
	k := b.pick(t, object)
	assert.Assert(t, k.Name != "u", "it is full")
	k.Done(Abandoned, nil)
	a.pickOf(t, "v").Done(Answered, &Report{Running: 1, Slots: 6})
	assert.Equal(t, len(a.Observations(noSizeLimit)), observationBytes, "one with free slots is not announced")
	assert.Equal(t, len(a.Observations(observationBytes-1)), 0)
}

// BenchmarkObservations measures the encoding of gossip by an instance that knows many backend
// servers.
func BenchmarkObservations(b *testing.B) {
	p := newFixture(1)
	for i := range 1077 {
		p.backend(string(rune('a'+i%26))+string(rune('0'+i/26)), 0, nil)
	}
	p.install()
	for i, u := range p.states {
		if i%6 == 0 {
			u.observed = observation{at: p.now, load: loadUnreachable}
		}
	}
	for b.Loop() {
		p.Observations(180)
	}
}

func FuzzApplyObservations(f *testing.F) {
	f.Add([]byte{1, 2, 3, 4, 5, 6})
	f.Fuzz(func(t *testing.T, text []byte) {
		p := newFixture(1)
		p.backend("u", 0, nil)
		p.install()
		p.ApplyObservations(text)
		if k, _ := p.Pick(p.query(1)); k != nil {
			k.Done(Abandoned, nil)
		}
	})
}
