// SPDX-License-Identifier: MIT

package balance

import (
	"fmt"
	"testing"
)

// BenchmarkPick measures one choice and its end among the backend servers of a service.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{20, 579, 1300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := newPlace(12)
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
	p := newPlace(12)
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
