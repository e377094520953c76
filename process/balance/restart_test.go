// SPDX-License-Identifier: MIT

package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/version"
)

// restart restarts a backend server under the same name.
func (p *fixture) restart(name string, incarnation int64) {
	key := version.Key{Kind: version.KindBackend, Name: name}
	b := *p.config.Resources[key].Backend
	b.Incarnation, b.Cold = incarnation, version.Duration(4*time.Second)
	p.put(version.Resource{Key: key, Backend: &b})
	p.install()
}

// fixtureInUse returns a fixture whose backend server u has seen an object, and a request to u
// that is in flight.
func fixtureInUse(t *testing.T) (p *fixture, inFlight *Pick) {
	p = newFixture(1)
	for _, name := range []string{"u", "v"} {
		p.backend(name, 0, func(b *version.Backend) { b.Incarnation = 1 })
	}
	p.install()
	k := p.pickOf(t, "u")
	k.Done(Answered, nil)
	return p, p.pickOf(t, "u")
}

// TestRestartDiscardsState checks that nothing that was learned of the former incarnation remains:
// objects seen, failures, connections, requests in flight, warmth.
func TestRestartDiscardsState(t *testing.T) {
	p, inFlight := fixtureInUse(t)
	before := p.stateOf("u")
	object := inFlight.object
	assert.Assert(t, p.seen.has(object, p.incarnationHashOf("u"), p.Now(), p.Policy.SeenTTL))
	p.now += time.Millisecond
	p.pickOf(t, "u").Done(Unreachable, nil)
	assert.Assert(t, before.failures > 0)

	p.restart("u", 2)
	now := p.stateOf("u")
	assert.Assert(t, now != before && now.pool != before.pool)
	assert.Equal(t, now.failures, 0)
	assert.Equal(t, now.inFlight, 0)
	assert.Assert(t, now.coldUntil > p.Now())
	assert.Assert(t, !p.seen.has(object, p.incarnationHashOf("u"), p.Now(), p.Policy.SeenTTL))

	inFlight.Done(Unreachable, nil) // a request to the former incarnation ends
	assert.Equal(t, now.failures, 0)
	assert.Equal(t, now.inFlight, 0)
}

// TestAnyChangedIncarnationIsARestart checks that an incarnation that steps back (as after the
// clock of its machine was set back), disappears or appears is a restart as well. Only equality
// matters: a wrongly assumed restart costs a warm-up, while a missed one would send requests that
// rely on what the former incarnation had announced.
func TestAnyChangedIncarnationIsARestart(t *testing.T) {
	for name, incarnations := range map[string]struct{ before, after int64 }{
		"steps back": {before: 3, after: 2}, "disappears": {before: 3, after: 0}, "appears": {before: 0, after: 3},
	} {
		t.Run(name, func(t *testing.T) {
			p := newFixture(1)
			p.backend("u", 0, func(b *version.Backend) { b.Incarnation = incarnations.before })
			p.install()
			p.pickOf(t, "u").Done(Unreachable, nil)
			before := p.stateOf("u")
			p.restart("u", incarnations.after)
			now := p.stateOf("u")
			assert.Assert(t, now != before && now.pool != before.pool)
			assert.Equal(t, now.failures, 0)
			p.restart("u", incarnations.after)
			assert.Assert(t, p.stateOf("u") == now, "the same row is the same incarnation")
		})
	}
}

// TestGossipAboutFormerIncarnationIsIgnored checks that gossip about a former incarnation of a
// backend server is not applied to the present one, and the other way round.
func TestGossipAboutFormerIncarnationIsIgnored(t *testing.T) {
	a, b, _ := twoInstances("u", "v", "w", "x")
	a.pickOf(t, "u").Done(Unreachable, nil)
	gossip := a.Observations(noSizeLimit)
	b.restart("u", 7)
	b.ApplyObservations(gossip)
	assert.Equal(t, b.stateOf("u").failures, 0)
	b.pickOf(t, "u").Done(Unreachable, nil)
	gossip = b.Observations(noSizeLimit)
	c, _, _ := twoInstances("u", "v", "w", "x") // does not know of the restart
	c.ApplyObservations(gossip)
	assert.Equal(t, c.stateOf("u").failures, 0)
}

// TestSameIncarnationKeepsState checks that a new row of the same incarnation changes nothing.
func TestSameIncarnationKeepsState(t *testing.T) {
	p, inFlight := fixtureInUse(t)
	before := p.stateOf("u")
	key := version.Key{Kind: version.KindBackend, Name: "u"}
	b := *p.config.Resources[key].Backend
	p.put(version.Resource{Key: key, Version: 9, Backend: &b})
	p.install()
	assert.Assert(t, p.stateOf("u") == before)
	assert.Equal(t, before.inFlight, 1)
	inFlight.Done(Answered, nil)
	assert.Equal(t, before.inFlight, 0)
}
