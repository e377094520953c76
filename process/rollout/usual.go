// SPDX-License-Identifier: MIT

package rollout

import (
	"math"
	"time"
)

// usual is the usual time of a route's answers: a running median, by stochastic
// approximation on a logarithmic scale (Robbins and Monro 1951).
type typicalLatency struct {
	median  float64 // nanoseconds
	samples int
}

const (
	// firstStep is the step of the logarithm after the first answer, and lastStep the
	// one in the long run. Origin: half of a known median is crossed in 30 answers.
	firstStep = 0.5
	lastStep  = 0.02
)

// add takes up an answer.
func (u *typicalLatency) add(took time.Duration) {
	u.samples++
	if u.samples == 1 {
		u.median = max(1, float64(took))
		return
	}
	step := math.Exp(max(lastStep, firstStep/math.Sqrt(float64(u.samples))))
	if float64(took) > u.median {
		u.median *= step
		return
	}
	u.median /= step
}

// classed is what the time of an answer tells of the backend server.
type latencyClass byte

const (
	latencyUnknown   latencyClass = iota // nothing
	latencyNormal                        // it was no slower than usual
	latencyAmbiguous                     // it was slow, by no more than this instance's own machine may have added
	latencySlow                          // it was slow
)

// class classes an answer that did not fail, where this instance was given its turns late by some
// time at most. Where it does not know that the backend server has seen the object, one between
// the two bounds tells nothing: it may be usual work on an object that is new there, or slow work
// on one that others have sent before. Counted as good, such answers hid a target that is twice
// as slow for up to 11 s.
func (u *typicalLatency) classify(o Outcome, late time.Duration) latencyClass {
	if o.Cold || u.samples < minLatencySamples {
		return latencyUnknown
	}
	allowed := u.median * slowFactor
	took := float64(o.Latency)
	switch {
	case took <= allowed:
		return latencyNormal
	case o.Unseen && took <= allowed*unseenFactor+float64(late):
		return latencyUnknown
	case took <= allowed+float64(late):
		return latencyAmbiguous
	}
	return latencySlow
}

// doubts is what is made of one version's doubtful answers at this instance. What its own machine
// adds strikes some of them; a backend server that is slow makes nearly all of them so. Once the
// target has all requests there is no baseline of the same moment that would tell.
type ambiguityFilter struct {
	slowFraction float64 // of the latest answers that were slow, doubtful ones with them
}

const (
	// doubtMemory is the weight of the newest answer in it, and doubtMostly the part from which
	// doubtful answers count as slow. Origin: beside 24 busy threads on 8 processors 0.15 of the
	// answers of either version were; of those of a target that is twice as slow 0.97 are.
	ambiguityWeight       = 0.125
	ambiguousSlowFraction = 0.75
	// doubtSpell is the part of the baseline's answers from which an instance is in a spell of
	// hold-ups. Origin: above the 0.15 to 0.2 of times that are spread widely or held up all
	// along, which the verdict allows for.
	stallFraction = 0.4
)

// note takes up an answer, and reports whether its time tells something, and whether it was slow.
func (d *ambiguityFilter) resolve(c latencyClass) (timed, slow bool) {
	if c == latencyUnknown {
		return false, false
	}
	over := 0.0
	if c != latencyNormal {
		over = 1
	}
	d.slowFraction += ambiguityWeight * (over - d.slowFraction)
	if c == latencyAmbiguous {
		mostly := d.slowFraction >= ambiguousSlowFraction
		return mostly, mostly
	}
	return true, c == latencySlow
}
