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

// class classes an answer that did not fail: whether its time tells something, and
// whether it was slow. Where this instance does not know that the backend server has
// seen the object, one between the two bounds tells nothing: it may be usual work on an
// object that is new there, or slow work on one that others have sent before. Counted as
// good, such answers hid a target that is twice as slow for up to 11 s.
func (u *usual) class(o Outcome) (timed, slow bool) {
	if o.Cold || u.seen < leastUsual {
		return false, false
	}
	allowed := u.median * slowFactor
	took := float64(o.Took)
	if !o.Unseen || took <= allowed {
		return true, took > allowed
	}
	slow = took > allowed*unseenFactor
	return slow, slow
}
