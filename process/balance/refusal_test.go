// SPDX-License-Identifier: MIT

package balance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/version"
)

// TestIdleBackendThatRefusesDrawsNoLoad tells of what could be seen beside a rest that was not
// heeded. Seen: six backend servers of twenty that refused everything got 0.47 of the requests
// in place of 0.27. How: they refuse at once and say that all their slots are free. Cause: of
// a refusal only the load report was read, and it speaks for the server that refuses. Proof:
// here one of six refuses all, without a word of rest, and the others are half busy: each
// request that it gets costs its caller one of two attempts, and all a retry of a bounded
// number.
func TestIdleBackendThatRefusesDrawsNoLoad(t *testing.T) {
	const (
		backends = 6
		requests = 4000
		gap      = 2500 * time.Microsecond // between two of them
		work     = 60 * time.Millisecond
		// most is how many may go there in these ten seconds: two in a row show it, and
		// then one after each pause, of which 25 of the least would fit.
		most = 27
	)
	p := newPlace(1)
	p.route(version.WeightedService{Service: "t", Weight: 1})
	for i := range backends {
		p.backend(fmt.Sprintf("u%d", i), 0, func(b *version.Backend) { b.Service = "t" })
	}
	p.install()
	type running struct {
		pick *Pick
		end  time.Duration
	}
	var flying []running
	refused, load := 0, make(map[string]int)
	for object := range uint64(requests) {
		p.now += gap
		for len(flying) > 0 && flying[0].end <= p.now {
			k := flying[0].pick
			flying = flying[1:]
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
		flying = append(flying, running{k, p.now + work})
	}
	t.Logf("%d of %d requests went to the one that refuses", refused, requests)
	assert.Assert(t, refused <= most, "%d of %d", refused, requests)
}

// TestIdleBackendThatRefusesIsStillAsked checks that one that refused gets what no other can
// take, and is one among all again with its next answer.
func TestIdleBackendThatRefusesIsStillAsked(t *testing.T) {
	p := placeOf("u", "v")
	for range 2 {
		p.firstPick(t, "u").Done(Refused, &Report{Slots: 6})
	}
	byName, refused := p.picks()
	assert.Equal(t, byName["u"]+refused, 0)
	p.row("v", func(b *version.Backend) { b.Leaving = true })
	p.now += time.Millisecond
	k := p.pick(t, 1)
	assert.Assert(t, k.Name == "u" && k.LastResort)
	k.Done(Answered, &Report{Slots: 6})
	p.row("v", func(b *version.Backend) { b.Leaving = false })
	byName, _ = p.picks()
	assert.Assert(t, byName["u"] > 100)
}

// TestRefusalOfAFullBackendIsNoFailure checks that a backend server that refuses since it has
// no room keeps its objects: it may have some again at once.
func TestRefusalOfAFullBackendIsNoFailure(t *testing.T) {
	p := placeOf("u", "v")
	for range 5 {
		p.pickOf(t, "u").Done(Refused, &Report{Running: 6, Waiting: 1, Slots: 6})
		p.now += 3 * time.Second // the report grows old
	}
	byName, refused := p.picks()
	assert.Assert(t, byName["u"] > 100 && refused == 0)
}
