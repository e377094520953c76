// SPDX-License-Identifier: MIT

package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/version"
)

// startAgain lets a backend server start again under its name.
func (p *fixture) restart(name string, incarnation int64) {
	key := version.Key{Kind: version.KindBackend, Name: name}
	b := *p.config.Resources[key].Backend
	b.Incarnation, b.Cold = incarnation, version.Duration(4*time.Second)
	p.put(version.Resource{Key: key, Backend: &b})
	p.install()
}

// warmed returns a place whose backend server u has seen an object, has failed once, and
// has a request in flight.
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

// TestBackendThatStartsAgainIsAnother checks that nothing that was learnt of its former life
// counts: objects, failures, connections, what is in flight, that it was warm.
func TestRestartDiscardsState(t *testing.T) {
	p, inFlight := fixtureInUse(t)
	before := p.stateOf("u")
	object := inFlight.object
	assert.Assert(t, p.seen.has(object, p.startHashOf("u"), p.Now(), p.Policy.SeenTTL))
	p.now += time.Millisecond
	p.pickOf(t, "u").Done(Unreachable, nil)
	assert.Assert(t, before.failures > 0)

	p.restart("u", 2)
	now := p.stateOf("u")
	assert.Assert(t, now != before && now.pool != before.pool)
	assert.Equal(t, now.failures, 0)
	assert.Equal(t, now.inFlight, 0)
	assert.Assert(t, now.coldUntil > p.Now())
	assert.Assert(t, !p.seen.has(object, p.startHashOf("u"), p.Now(), p.Policy.SeenTTL))

	inFlight.Done(Unreachable, nil) // the end of a request to the former life
	assert.Equal(t, now.failures, 0)
	assert.Equal(t, now.inFlight, 0)
}

// TestAnyOtherBirthIsAnotherLife checks that a birth that steps back, as after the clock of its
// machine was set back, one that is not said any more and one that is said from now on are other
// lives as well: only equality matters, and a life taken for another one costs a warm-up, where
// another one taken for it would be sent what the former life had promised.
func TestAnyChangedIncarnationIsARestart(t *testing.T) {
	for name, births := range map[string]struct{ before, after int64 }{
		"steps back": {before: 3, after: 2}, "is not said any more": {before: 3, after: 0}, "is said from now on": {before: 0, after: 3},
	} {
		t.Run(name, func(t *testing.T) {
			p := newFixture(1)
			p.backend("u", 0, func(b *version.Backend) { b.Incarnation = births.before })
			p.install()
			p.pickOf(t, "u").Done(Unreachable, nil)
			before := p.stateOf("u")
			p.restart("u", births.after)
			now := p.stateOf("u")
			assert.Assert(t, now != before && now.pool != before.pool)
			assert.Equal(t, now.failures, 0)
			p.restart("u", births.after)
			assert.Assert(t, p.stateOf("u") == now, "the same row is the same life")
		})
	}
}

// TestWordOfAFormerLifeChangesNothing checks that what another instance observed of a backend
// server before it started again is not taken for its present life, and the other way round.
func TestGossipAboutFormerIncarnationIsIgnored(t *testing.T) {
	a, b, _ := twoInstances("u", "v", "w", "x")
	a.pickOf(t, "u").Done(Unreachable, nil)
	told := a.Observations(noSizeLimit)
	b.restart("u", 7)
	b.ApplyObservations(told)
	assert.Equal(t, b.stateOf("u").failures, 0)
	b.pickOf(t, "u").Done(Unreachable, nil)
	told = b.Observations(noSizeLimit)
	c, _, _ := twoInstances("u", "v", "w", "x") // has not heard of the start
	c.ApplyObservations(told)
	assert.Equal(t, c.stateOf("u").failures, 0)
}

// TestSameLifeStaysWhatItWas checks that another row of the same start changes nothing.
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
