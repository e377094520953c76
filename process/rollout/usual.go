// SPDX-License-Identifier: MIT

package rollout

import (
	"math"
	"time"
)

// usual is the usual time of a route's answers: a running median, by stochastic
// approximation on a logarithmic scale (Robbins and Monro 1951).
type usual struct {
	median float64 // nanoseconds
	seen   int
}

const (
	// firstStep is the step of the logarithm after the first answer, and lastStep the
	// one in the long run. Origin: half of a known median is crossed in 30 answers.
	firstStep = 0.5
	lastStep  = 0.02
)

// add takes up an answer.
func (u *usual) add(took time.Duration) {
	u.seen++
	if u.seen == 1 {
		u.median = max(1, float64(took))
		return
	}
	step := math.Exp(max(lastStep, firstStep/math.Sqrt(float64(u.seen))))
	if float64(took) > u.median {
		u.median *= step
		return
	}
	u.median /= step
}

// classed is what the time of an answer tells of the backend server.
type classed byte

const (
	untold   classed = iota // nothing
	inTime                  // it was no slower than usual
	doubtful                // it was slow, by no more than this instance's own machine may have added
	slowly                  // it was slow
)

// class classes an answer that did not fail, where this instance was given its turns late by some
// time at most. Where it does not know that the backend server has seen the object, one between
// the two bounds tells nothing: it may be usual work on an object that is new there, or slow work
// on one that others have sent before. Counted as good, such answers hid a target that is twice
// as slow for up to 11 s.
func (u *usual) class(o Outcome, late time.Duration) classed {
	if o.Cold || u.seen < leastUsual {
		return untold
	}
	allowed := u.median * slowFactor
	took := float64(o.Took)
	switch {
	case took <= allowed:
		return inTime
	case o.Unseen && took <= allowed*unseenFactor+float64(late):
		return untold
	case took <= allowed+float64(late):
		return doubtful
	}
	return slowly
}

// doubts is what is made of one version's doubtful answers at this instance. What its own machine
// adds strikes some of them; a backend server that is slow makes nearly all of them so. Once the
// target has all requests there is no baseline of the same moment that would tell.
type doubts struct {
	part float64 // of the latest answers that were slow, doubtful ones with them
}

const (
	// doubtMemory is the weight of the newest answer in it, and doubtMostly the part from which
	// doubtful answers count as slow. Origin: beside 24 busy threads on 8 processors 0.15 of the
	// answers of either version were; of those of a target that is twice as slow 0.97 are.
	doubtMemory = 0.125
	doubtMostly = 0.75
	// doubtSpell is the part of the baseline's answers from which an instance is in a spell of
	// hold-ups. Origin: above the 0.15 to 0.2 of times that are spread widely or held up all
	// along, which the verdict allows for.
	doubtSpell = 0.4
)

// note takes up an answer, and reports whether its time tells something, and whether it was slow.
func (d *doubts) note(c classed) (timed, slow bool) {
	if c == untold {
		return false, false
	}
	over := 0.0
	if c != inTime {
		over = 1
	}
	d.part += doubtMemory * (over - d.part)
	if c == doubtful {
		mostly := d.part >= doubtMostly
		return mostly, mostly
	}
	return true, c == slowly
}
