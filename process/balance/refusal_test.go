// SPDX-License-Identifier: MIT

package balance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/version"
)

// TestIdleBackendThatRefusesAttractsNoLoad guards against a fault in which six of twenty backend
// servers that refused everything got 0.47 of the requests instead of 0.27. They refuse at once
// and report all their slots free, and only that load report was used of a refusal. In this test
// one of six refuses everything without a Retry-After time and the others are half busy. Each
// request that it gets costs the caller one of two attempts, and all callers a part of the retry
// budget.
func TestIdleBackendThatRefusesAttractsNoLoad(t *testing.T) {
	const (
		backends = 6
		requests = 4000
		interval = 2500 * time.Microsecond // between two requests
		work     = 60 * time.Millisecond
		// maxRefused bounds the requests that may go there in these ten seconds: two consecutive
		// ones, and then one after each suspension, of which 25 of the shortest would fit.
		maxRefused = 27
	)
	p := newFixture(1)
	p.route(version.WeightedService{Service: "t", Weight: 1})
	for i := range backends {
		p.backend(fmt.Sprintf("u%d", i), 0, func(b *version.Backend) { b.Service = "t" })
	}
	p.install()
	type running struct {
		pick *Pick
		end  time.Duration
	}
	var inFlight []running
	refused, load := 0, make(map[string]int)
	for object := range uint64(requests) {
		p.now += interval
		for len(inFlight) > 0 && inFlight[0].end <= p.now {
			k := inFlight[0].pick
			inFlight = inFlight[1:]
			load[k.Name]--
			k.Done(Answered, &Report{Running: load[k.Name], Slots: 6})
		}
		q := p.query(object + 1)
		k, _ := p.Pick(q)
		assert.Assert(t, k != nil)
		if k.Name == "u0" {
			refused++
			k.Done(Refused, &Report{Slots: 6})
			q.Tried = []string{"u0"}
			k, _ = p.Pick(q)
			assert.Assert(t, k != nil && k.Name != "u0")
		}
		load[k.Name]++
		inFlight = append(inFlight, running{k, p.now + work})
	}
	t.Logf("%d of %d requests went to the backend server that refuses", refused, requests)
	assert.Assert(t, refused <= maxRefused, "%d of %d", refused, requests)
}

// TestIdleBackendThatRefusesIsLastResort checks that a backend server that refused gets requests
// that no other can accept, and is chosen normally again after its next response.
func TestIdleBackendThatRefusesIsLastResort(t *testing.T) {
	p := fixtureWith("u", "v")
	for range 2 {
		p.firstPick(t, "u").Done(Refused, &Report{Slots: 6})
	}
	byName, refused := p.picks()
	assert.Equal(t, byName["u"]+refused, 0)
	p.changeRow("v", func(b *version.Backend) { b.Leaving = true })
	p.now += time.Millisecond
	k := p.pick(t, 1)
	assert.Assert(t, k.Name == "u" && k.LastResort)
	k.Done(Answered, &Report{Slots: 6})
	p.changeRow("v", func(b *version.Backend) { b.Leaving = false })
	byName, _ = p.picks()
	assert.Assert(t, byName["u"] > 100)
}

// TestRefusalByFullBackendIsNoFailure checks that a backend server that refuses because it is full
// keeps its objects: it may have free capacity again at once.
func TestRefusalByFullBackendIsNoFailure(t *testing.T) {
	p := fixtureWith("u", "v")
	for range 5 {
		p.pickOf(t, "u").Done(Refused, &Report{Running: 6, Waiting: 1, Slots: 6})
		p.now += 3 * time.Second // the report grows old
	}
	byName, refused := p.picks()
	assert.Assert(t, byName["u"] > 100 && refused == 0)
}
