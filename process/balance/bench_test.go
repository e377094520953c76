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
