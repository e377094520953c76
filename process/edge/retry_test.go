// SPDX-License-Identifier: MIT

package edge

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"shalewick/retry"
)

// TestFleetRetriesWithinBound simulates instances that learn late how many there are, each with random
// requests, and checks for each span that the retries of all instances together are within the
// ratio and the fixed number, of which each instance uses the shares in margin.go. The requests
// counted are those in the span, or in the one half a span or a whole span earlier, whichever has
// most: a retry may belong to a request that has left the span.
func TestFleetRetriesWithinBound(t *testing.T) {
	const (
		span  = 10 * time.Second
		ratio = 0.2
		fixed = 60.0
		steps = 20
		step  = span / steps
	)
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(r, "instances")
		known := rapid.IntRange(0, 10).Draw(r, "steps until the number is known")
		at := 0
		windows := make([]*retry.Window, n)
		for i := range windows {
			windows[i] = &retry.Window{Span: span, Ratio: ratio * retryRatioShare, Fixed: fixed * retryFixedShare, Instances: func() int {
				if at < known {
					return 0
				}
				return n
			}}
		}
		var requests, retries []int // by step
		for ; at < 3*steps; at++ {
			requests = append(requests, 0)
			retries = append(retries, 0)
			now := time.Hour + time.Duration(at)*step
			for _, w := range windows {
				for range rapid.IntRange(0, 8).Draw(r, "requests") {
					w.RecordRequest("s", now)
					requests[at]++
				}
				for range 6 {
					if w.TryRetry("s", now) {
						retries[at]++
					}
				}
			}
			got := spanSum(retries, at, steps)
			counted := max(spanSum(requests, at, steps), spanSum(requests, at-steps/2, steps), spanSum(requests, at-steps, steps))
			if allowed := ratio*float64(counted) + fixed; float64(got) > allowed {
				r.Fatalf("%d retries in a span, %.1f allowed", got, allowed)
			}
		}
	})
}

// spanSum returns the sum of the steps of the span that ends with end.
func spanSum(x []int, end, steps int) int {
	out := 0
	for i := max(0, end-steps+1); i <= end; i++ {
		out += x[i]
	}
	return out
}
