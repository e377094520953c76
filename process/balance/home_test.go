// SPDX-License-Identifier: MIT

package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/version"
)

func (p *fixture) home(t *testing.T, object uint64) uint64 {
	t.Helper()
	hash, ok := p.TargetHome(p.query(object))
	assert.Assert(t, ok)
	return hash
}

// TestHomeIsTheFirstChoiceAtTheTarget compares the homes of objects with the first choices at an
// idle target.
func TestHomeIsTheFirstChoiceAtTheTarget(t *testing.T) {
	p := twoVersions(3, 4)
	p.admit("v1", "v2")
	homes := make(map[uint64]bool)
	for object := range uint64(500) {
		k, _ := p.Pick(p.target(object + 1))
		k.Done(Abandoned, nil)
		for range 2 { // computed, then cached
			assert.Equal(t, p.home(t, object+1), k.incarnationHash)
		}
		homes[k.incarnationHash] = true
	}
	assert.Equal(t, len(homes), 4, "the target's servers in this region")
}

// TestHomeMovesAwayFromUnusableBackend checks that the home moves away from a backend server that
// fails, and back, and that a change of the routing takes effect at once.
func TestHomeMovesAwayFromUnusableBackend(t *testing.T) {
	p := twoVersions(3, 2)
	p.admit("v1", "v2")
	first := p.home(t, 7)
	k, _ := p.Pick(p.target(7))
	assert.Equal(t, k.incarnationHash, first)
	k.Done(Unreachable, nil)
	second := p.home(t, 7)
	assert.Assert(t, second != first)
	p.now += time.Minute
	again, _ := p.Pick(p.target(7)) // it is probed
	again.Done(Answered, nil)
	assert.Equal(t, p.home(t, 7), first)

	p.put(version.Resource{Key: version.Key{Kind: version.KindDrain, Name: "d"}, Drain: &version.Drain{Backend: k.Name}})
	p.install()
	k, _ = p.Pick(p.target(7))
	assert.Assert(t, k.incarnationHash != first)
	assert.Equal(t, p.home(t, 7), k.incarnationHash)
	p.config.Resources[version.Key{Kind: version.KindRoute, Name: "r"}].Route.Homes = []string{"r2"}
	p.install()
	k, _ = p.Pick(p.target(7))
	assert.Equal(t, k.Region, "r2")
	assert.Equal(t, p.home(t, 7), k.incarnationHash)
}

// TestQueriesWithoutHome checks the queries that have no home.
func TestQueriesWithoutHome(t *testing.T) {
	p := twoVersions(3, 1)
	p.admit("v1", "v2")
	stale := p.query(7)
	none := func(q *Query) {
		t.Helper()
		_, ok := p.TargetHome(q)
		assert.Assert(t, !ok)
	}
	p.admit("v1", "")
	none(stale)
	none(p.query(7))
	none(p.query(0))
	p.admit("v1", "absent")
	none(p.query(7))
	none(p.query(7)) // cached
	none(p.query(0))
}

// TestRequestWithoutObjectGoesToAnyBackend checks that requests without an object, or on a route
// that is not sticky, may get any backend server of the target that may serve them.
func TestRequestWithoutObjectGoesToAnyBackend(t *testing.T) {
	p := twoVersions(3, 4)
	route := p.config.Resources[version.Key{Kind: version.KindRoute, Name: "r"}].Route
	for _, sticky := range []bool{true, false} {
		object := uint64(7)
		if sticky {
			object = 0
		}
		route.Sticky = sticky
		route.Homes = nil
		p.admit("v1", "v2")
		assert.Equal(t, len(p.homesOf(t, object)), 12, "the target's in all regions")
		route.Homes = []string{"r2"}
		p.admit("v1", "v2")
		for hash := range p.homesOf(t, object) {
			i := indexByHash(p.routing)[uint32(hash)]
			assert.Equal(t, p.routing.Backends[i].Software, "v2")
			assert.Equal(t, p.routing.Regions[p.routing.Backends[i].Region], "r2")
		}
	}
}

// homesOf returns the homes that many queries for an object get.
func (p *fixture) homesOf(t *testing.T, object uint64) map[uint64]bool {
	out := make(map[uint64]bool)
	for range 500 {
		out[p.home(t, object)] = true
	}
	return out
}

// TestHomesAreBounded checks the bound of the cached homes.
func TestHomesAreBounded(t *testing.T) {
	p := twoVersions(3, 1)
	p.admit("v1", "v2")
	first := p.home(t, 1)
	for object := range uint64(3 * maxTargetHomes) {
		p.home(t, object+1)
		assert.Assert(t, len(p.homes.byKey) <= maxTargetHomes)
	}
	assert.Equal(t, p.home(t, 1), first)
}
