// SPDX-License-Identifier: MIT

package edge

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"shalewick/retry"
)

// TestRetriesOfAllInstancesKeepTheBound plays instances of a number that they
// learn late, each with random requests, and checks in each span that their
// retries together are within the ratio and the fixed number that must not be
// exceeded, of which each uses the shares above. Requests are counted in the span,
// or the one half a span or a span before, whichever has most: a retry may be of
// a request that has left the span.
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
			of := max(spanSum(requests, at, steps), spanSum(requests, at-steps/2, steps), spanSum(requests, at-steps, steps))
			if most := ratio*float64(of) + fixed; float64(got) > most {
				r.Fatalf("%d retries in a span, %.1f allowed", got, most)
			}
		}
	})
}

// spanSum adds up the steps of the span that ends with a step.
func spanSum(x []int, end, steps int) int {
	out := 0
	for i := max(0, end-steps+1); i <= end; i++ {
		out += x[i]
	}
	return out
}
