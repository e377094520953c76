// SPDX-License-Identifier: MIT

package rollout

import (
	"math"
	"time"
)

// verdict compares the target with the baseline: for all requests, and for each
// route, so that a fault of one route is not lost among the others.
type analysis struct {
	// alarm is the sum at which the target is bad.
	threshold float64
	all       comparison
	routes    map[routeHash]*comparison
	cause     string // "": no alarm
}

func newAnalysis(alarm float64) analysis {
	return analysis{threshold: alarm, routes: make(map[routeHash]*comparison)}
}

func (v *analysis) comparison(route routeHash) *comparison {
	t := v.routes[route]
	if t == nil {
		t = &comparison{}
		v.routes[route] = t
	}
	return t
}

// base takes up answers of the baseline.
func (v *analysis) addBase(route routeHash, c Counts, now time.Duration) {
	v.all.addBase(c, now)
	v.comparison(route).addBase(c, now)
}

// target takes up answers of the target that came at a time. From the first alarm on
// there is a cause.
func (v *analysis) addTarget(route routeHash, c Counts, at, now time.Duration) {
	usual := v.all.expectedRates(at, now, rates{priorFailedRate, priorSlowRate})
	v.setCause(v.all.addTarget(c, usual, v.threshold))
	t := v.comparison(route)
	v.setCause(t.addTarget(c, t.expectedRates(at, now, usual), v.threshold))
}

// note notes the cause of an alarm. The first one stays.
func (v *analysis) setCause(cause string) {
	if v.cause == "" {
		v.cause = cause
	}
}

// doubts reports whether it is half way to an alarm.
func (v *analysis) inDoubt() bool {
	if v.all.inDoubt(v.threshold) {
		return true
	}
	for _, t := range v.routes {
		if t.inDoubt(v.threshold) {
			return true
		}
	}
	return false
}

// track is the comparison for some requests.
type comparison struct {
	total              versionCounts
	long               decayingCounts
	recent             recentCounts
	failedSum, slowSum cusum
	// expected is the number of failures that the baseline would have had in place of the
	// target.
	expectedFailures float64
}

func (t *comparison) addBase(c Counts, now time.Duration) {
	t.total.base.add(c)
	t.long.add(c, now, baselineTime)
	t.recent.add(c, now)
}

// target adds answers of the target, and returns the cause of an alarm.
func (t *comparison) addTarget(c Counts, base rates, alarm float64) string {
	t.total.target.add(c)
	t.failedSum.add(float64(c.Failed), float64(c.Requests), base.failed*allowedFailedFactor+allowFailed, worseFailed)
	t.slowSum.add(float64(c.Slow), float64(c.Timed), base.slow*allowedSlowFactor+allowSlow, worseSlow)
	t.expectedFailures += float64(c.Requests) * base.failed
	switch all := t.total.target; {
	case float64(t.failedSum) >= alarm:
		return "target fails"
	case float64(t.slowSum) >= alarm:
		return "target is slow"
	case all.Failed >= backstopMinFailures && float64(all.Failed) > t.allowedFailures():
		return "target fails often"
	}
	return ""
}

// allowed is the number of failures that the target may have had.
func (t *comparison) allowedFailures() float64 {
	by := allowedFailedFactor*t.expectedFailures + backstopAllow*float64(t.total.target.Requests)
	chance := t.expectedFailures + backstopDeviations*math.Sqrt(t.expectedFailures)
	return max(by, chance)
}

func (t *comparison) inDoubt(alarm float64) bool {
	return float64(max(t.failedSum, t.slowSum)) >= doubtFraction*alarm
}

// rates are how often answers fail, and how often they are slow.
type rates struct{ failed, slow float64 }

// expect returns the rates of the baseline at a time. Usual are those that are to be
// expected where little is known.
func (t *comparison) expectedRates(at, now time.Duration, usual rates) rates {
	t.long.decay(now, baselineTime)
	total := t.total.base
	out := rates{
		failed: ratio{t.long.failed, t.long.requests}.shrunkTo(ratio{float64(total.Failed), float64(total.Requests)}.shrunkTo(usual.failed)),
		slow:   ratio{t.long.slow, t.long.timed}.shrunkTo(ratio{float64(total.Slow), float64(total.Timed)}.shrunkTo(usual.slow)),
	}
	failed, slow := t.recent.maxRates(at)
	return rates{failed: max(out.failed, failed), slow: max(out.slow, slow)}
}

// ratio is a part of a number.
type ratio struct{ part, total float64 }

// shrunk is the ratio drawn to a rate, the more, the less it rests on.
func (r ratio) shrunkTo(to float64) float64 {
	return (r.part + shrinkageWeight*to) / (r.total + shrinkageWeight)
}

// least is the ratio less what it may be high by chance, with some good answers more,
// since a single bad one tells nothing.
func (r ratio) lowerBound() float64 {
	of := r.total + surgePriorGood
	rate := r.part / of
	return rate - surgeDeviations*math.Sqrt(rate*(1-rate)/of)
}

// recentRates are the answers of the last moments, by time.
type recentCounts struct {
	bins [binCount]struct {
		number int64
		Counts
	}
}

func (s *recentCounts) add(c Counts, now time.Duration) {
	number := int64(now / binTime)
	b := &s.bins[number%int64(len(s.bins))]
	if b.number != number {
		b.number = number
		b.Counts = Counts{}
	}
	b.add(c)
}

// in returns the answers of some bins.
func (s *recentCounts) binsFrom(number int64) (c Counts) {
	for i := number; i < number+surgeBins; i++ {
		if b := &s.bins[i%int64(len(s.bins))]; b.number == i {
			c.add(b.Counts)
		}
	}
	return c
}

// most returns the highest rates around a time.
func (s *recentCounts) maxRates(at time.Duration) (failed, slow float64) {
	for number := int64(max(0, at-surgeTime) / binTime); number <= int64((at+surgeTime)/binTime); number++ {
		c := s.binsFrom(number)
		failed = max(failed, ratio{float64(c.Failed), float64(c.Requests)}.lowerBound())
		slow = max(slow, ratio{float64(c.Slow), float64(c.Timed)}.lowerBound())
	}
	return failed, slow
}

// window counts answers and forgets them.
type decayingCounts struct {
	requests, failed, timed, slow float64
	updatedAt                     time.Duration
}

func (w *decayingCounts) decay(now, over time.Duration) {
	if now <= w.updatedAt {
		return
	}
	left := math.Exp(-float64(now-w.updatedAt) / float64(over))
	w.requests *= left
	w.failed *= left
	w.timed *= left
	w.slow *= left
	w.updatedAt = now
}

func (w *decayingCounts) add(c Counts, now, over time.Duration) {
	w.decay(now, over)
	w.requests += float64(c.Requests)
	w.failed += float64(c.Failed)
	w.timed += float64(c.Timed)
	w.slow += float64(c.Slow)
}

// sum is a cumulative sum of log-likelihood ratios that does not fall below zero
// (CUSUM, Page 1954).
type cusum float64

// mostRate bounds the rate that a bad target is compared with: beyond it there is
// nothing to tell.
const maxBadRate = 0.97

// add takes up n answers of which k are bad, where a good target has a rate of p and a
// bad one of so much more.
func (s *cusum) add(k, n, p, more float64) {
	if n <= 0 {
		return
	}
	bad := min(maxBadRate, p+more)
	if p >= bad {
		return
	}
	ratio := k*math.Log(bad/p) + (n-k)*math.Log((1-bad)/(1-p))
	*s = cusum(max(0, float64(*s)+ratio))
}
