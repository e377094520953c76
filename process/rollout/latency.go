// SPDX-License-Identifier: MIT

package rollout

import (
	"math"
	"time"
)

// typicalLatency is the typical latency of a route: a running median by stochastic approximation on
// a logarithmic scale (Robbins and Monro 1951).
type typicalLatency struct {
	median  float64 // nanoseconds
	samples int
}

const (
	// firstStep is the step of the logarithm after the first response, and lastStep the smallest
	// step, which applies in the long run. An established median moves to half its value in 30 responses.
	firstStep = 0.5
	lastStep  = 0.02
)

// add adds the latency of a response.
func (t *typicalLatency) add(latency time.Duration) {
	t.samples++
	if t.samples == 1 {
		t.median = max(1, float64(latency))
		return
	}
	step := math.Exp(max(lastStep, firstStep/math.Sqrt(float64(t.samples))))
	if float64(latency) > t.median {
		t.median *= step
		return
	}
	t.median /= step
}

// latencyClass says what the latency of a response reveals about the backend server.
type latencyClass byte

const (
	latencyUnknown   latencyClass = iota // nothing
	latencyNormal                        // not slow
	latencyAmbiguous                     // slow, but by no more than the scheduling delay of this instance may have added
	latencySlow                          // slow
)

// classify classifies a response that did not fail, where stalls of this instance may have added a
// given scheduling delay. If it is not known that the backend server has seen the object, a latency
// between the two limits is not significant. It may be normal work on a new object, or slow work on
// an object that other instances have sent before. When such responses counted as normal, a target
// that was twice as slow went undetected for up to 11 s.
func (t *typicalLatency) classify(o Outcome, delay time.Duration) latencyClass {
	if o.Cold || t.samples < minLatencySamples {
		return latencyUnknown
	}
	allowed := t.median * slowFactor
	latency := float64(o.Latency)
	switch {
	case latency <= allowed:
		return latencyNormal
	case o.Unseen && latency <= allowed*unseenFactor+float64(delay):
		return latencyUnknown
	case latency <= allowed+float64(delay):
		return latencyAmbiguous
	}
	return latencySlow
}

// ambiguityFilter decides whether the ambiguous responses of one version at this instance count as
// slow. Stalls of the instance make some responses ambiguous; a slow backend server makes nearly
// all of them ambiguous. The filter is needed once the target gets all requests, since there is no
// baseline of the same time then.
type ambiguityFilter struct {
	slowFraction float64 // fraction of the latest responses that were slow or ambiguous
}

const (
	// ambiguityWeight is the weight of the newest response in slowFraction. ambiguousSlowFraction
	// is the slowFraction from which ambiguous responses count as slow. Beside 24 busy threads on 8
	// processors 0.15 of the responses of either version were slow or ambiguous; of a target that
	// is twice as slow, 0.97 are.
	ambiguityWeight       = 0.125
	ambiguousSlowFraction = 0.75
	// stallFraction is the slowFraction of the baseline from which the instance counts as stalled.
	// It is above the 0.15 to 0.2 that widely spread latencies or constant small stalls cause,
	// which the analysis allows for.
	stallFraction = 0.4
)

// resolve adds a response, and returns whether its latency is significant and whether it was slow.
func (f *ambiguityFilter) resolve(c latencyClass) (timed, slow bool) {
	if c == latencyUnknown {
		return false, false
	}
	slowOrAmbiguous := 0.0
	if c != latencyNormal {
		slowOrAmbiguous = 1
	}
	f.slowFraction += ambiguityWeight * (slowOrAmbiguous - f.slowFraction)
	if c == latencyAmbiguous {
		isSlow := f.slowFraction >= ambiguousSlowFraction
		return isSlow, isSlow
	}
	return true, c == latencySlow
}
