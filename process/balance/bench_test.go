// SPDX-License-Identifier: MIT

package balance

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// TestChoiceLooksAtFew checks that a choice among thousands looks at few of them, so that its cost
// hardly grows with a service, and that each still gets its share of the objects. A choice
// looked at all: 430 us among 5,376.
func TestChoiceExaminesFewBackends(t *testing.T) {
	const choices = 4000
	for _, n := range []int{300, 5376, 10752} {
		p := newFixture(12)
		for i := range n {
			p.backend(fmt.Sprintf("u%d", i), 0, nil)
		}
		p.install()
		counts := make(map[string]int)
		for object := range uint64(choices) {
			k := p.pick(t, object+1)
			counts[k.Name]++
			k.Done(Abandoned, nil)
		}
		looked := p.examined / choices
		t.Logf("%d backend servers: a choice looks at %d", n, looked)
		assert.Assert(t, looked <= max(1024, 4*n/128), "%d of %d", looked, n)
		mean := float64(choices) / float64(n)
		for name, c := range counts { // Poisson, but for one of 10 million
			assert.Assert(t, float64(c) <= mean+6*math.Sqrt(mean)+6, "%s got %d of %d", name, c, choices)
		}
	}
}

// TestFewObjectsMoveAsServersCome checks that a server that comes or leaves moves few objects but
// those that it gets or had.
func TestFewObjectsMoveWhenBackendIsAdded(t *testing.T) {
	const objects = 4000
	for _, n := range []int{40, 600, 2000} {
		p := newFixture(12)
		for i := range n {
			p.backend(fmt.Sprintf("u%d", i), 0, nil)
		}
		p.install()
		firsts := func() []string {
			out := make([]string, objects)
			for i := range out {
				k := p.pick(t, uint64(i+1))
				out[i] = k.Name
				k.Done(Abandoned, nil)
			}
			return out
		}
		before := firsts()
		p.backend("new", 0, nil)
		p.install()
		moved, toNew := 0, 0
		for i, name := range firsts() {
			switch {
			case name == "new":
				toNew++
			case name != before[i]:
				moved++
			}
		}
		t.Logf("%d backend servers: %d of %d objects go to the new one, %d move otherwise", n, toNew, objects, moved)
		if n <= 1000 {
			assert.Equal(t, moved, 0)
		}
		assert.Assert(t, moved <= 2*objects/n+20, "%d", moved)
	}
}

// BenchmarkPick measures one choice and its end among the backend servers of a service.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{20, 579, 1300, 5376} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := newFixture(12)
			for i := range n {
				p.backend(fmt.Sprintf("u%d", i), i%3, nil)
			}
			p.install()
			q := p.query(7)
			b.ReportAllocs()
			for b.Loop() {
				k, _ := p.Pick(q)
				k.Done(Answered, nil)
			}
		})
	}
}

// BenchmarkTargetHome measures the home of an object that was asked for before.
func BenchmarkTargetHome(b *testing.B) {
	p := newFixture(12)
	for i := range 80 {
		p.backend(fmt.Sprintf("v1-%d", i), i%3, software("v1"))
		p.backend(fmt.Sprintf("v2-%d", i), i%3, software("v2"))
	}
	p.admit("v1", "v2")
	q := p.query(7)
	b.ReportAllocs()
	for b.Loop() {
		q.Object = q.Object%1000 + 1
		if _, ok := p.TargetHome(q); !ok {
			b.Fatal("none")
		}
	}
}
