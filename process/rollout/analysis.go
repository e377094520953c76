// SPDX-License-Identifier: MIT

package rollout

import (
	"math"
	"time"
)

// analysis compares the target with the baseline, which is the previous version. It does so for all
// requests together and for each route, so that a fault on one route is not hidden by the others.
type analysis struct {
	// threshold is the sum of log-likelihood ratios at which the target counts as bad.
	threshold float64
	all       comparison
	routes    map[routeHash]*comparison
	cause     string // "": no alarm
}

func newAnalysis(threshold float64) analysis {
	return analysis{threshold: threshold, routes: make(map[routeHash]*comparison)}
}

func (a *analysis) comparison(route routeHash) *comparison {
	t := a.routes[route]
	if t == nil {
		t = &comparison{}
		a.routes[route] = t
	}
	return t
}

// addBase adds responses of the baseline.
func (a *analysis) addBase(route routeHash, c Counts, now time.Duration) {
	a.all.addBase(c, now)
	a.comparison(route).addBase(c, now)
}

// addTarget adds responses of the target that were reported at a time. The first alarm sets the
// cause.
func (a *analysis) addTarget(route routeHash, c Counts, at, now time.Duration) {
	prior := a.all.expectedRates(at, now, rates{priorFailedRate, priorSlowRate})
	a.setCause(a.all.addTarget(c, prior, a.threshold))
	t := a.comparison(route)
	a.setCause(t.addTarget(c, t.expectedRates(at, now, prior), a.threshold))
}

// setCause sets the cause of the alarm. The first cause is kept.
func (a *analysis) setCause(cause string) {
	if a.cause == "" {
		a.cause = cause
	}
}

// inDoubt reports whether the service or any route has reached doubtFraction of the alarm
// threshold.
func (a *analysis) inDoubt() bool {
	if a.all.inDoubt(a.threshold) {
		return true
	}
	for _, t := range a.routes {
		if t.inDoubt(a.threshold) {
			return true
		}
	}
	return false
}

// comparison compares the versions for one set of requests.
type comparison struct {
	total              versionCounts
	smoothed           decayingCounts
	recent             recentCounts
	failedSum, slowSum cusum
	// expectedFailures is how many failures the baseline would have had on the target's requests.
	expectedFailures float64
}

func (t *comparison) addBase(c Counts, now time.Duration) {
	t.total.base.add(c)
	t.smoothed.add(c, now, baselineTime)
	t.recent.add(c, now)
}

// addTarget adds responses of the target and returns the cause of an alarm, or "".
func (t *comparison) addTarget(c Counts, base rates, threshold float64) string {
	t.total.target.add(c)
	t.failedSum.add(float64(c.Failed), float64(c.Requests), base.failed*allowedFailedFactor+allowFailed, worseFailed)
	t.slowSum.add(float64(c.Slow), float64(c.Timed), base.slow*allowedSlowFactor+allowSlow, worseSlow)
	t.expectedFailures += float64(c.Requests) * base.failed
	switch all := t.total.target; {
	case float64(t.failedSum) >= threshold:
		return "target fails"
	case float64(t.slowSum) >= threshold:
		return "target is slow"
	case all.Failed >= backstopMinFailures && float64(all.Failed) > t.allowedFailures():
		return "target fails often"
	}
	return ""
}

// allowedFailures returns how many failures of the target the backstop tolerates.
func (t *comparison) allowedFailures() float64 {
	byFactor := allowedFailedFactor*t.expectedFailures + backstopAllow*float64(t.total.target.Requests)
	byChance := t.expectedFailures + backstopDeviations*math.Sqrt(t.expectedFailures)
	return max(byFactor, byChance)
}

func (t *comparison) inDoubt(threshold float64) bool {
	return float64(max(t.failedSum, t.slowSum)) >= doubtFraction*threshold
}

// rates are the rates of failed and of slow responses.
type rates struct{ failed, slow float64 }

// expectedRates returns the rates of the baseline around a time. Prior holds the rates to assume
// where there is little data.
func (t *comparison) expectedRates(at, now time.Duration, prior rates) rates {
	t.smoothed.decay(now, baselineTime)
	total := t.total.base
	out := rates{
		failed: ratio{t.smoothed.failed, t.smoothed.requests}.shrunkTo(ratio{float64(total.Failed), float64(total.Requests)}.shrunkTo(prior.failed)),
		slow:   ratio{t.smoothed.slow, t.smoothed.timed}.shrunkTo(ratio{float64(total.Slow), float64(total.Timed)}.shrunkTo(prior.slow)),
	}
	failed, slow := t.recent.maxRates(at)
	return rates{failed: max(out.failed, failed), slow: max(out.slow, slow)}
}

// ratio is a count in relation to a total.
type ratio struct{ part, total float64 }

// shrunkTo returns the ratio shrunk towards a rate. The smaller the total, the closer it is to that
// rate.
func (r ratio) shrunkTo(to float64) float64 {
	return (r.part + shrinkageWeight*to) / (r.total + shrinkageWeight)
}

// lowerBound returns the ratio less what may be due to chance. It adds surgePriorGood good
// responses first, since a single bad one is not significant.
func (r ratio) lowerBound() float64 {
	total := r.total + surgePriorGood
	rate := r.part / total
	return rate - surgeDeviations*math.Sqrt(rate*(1-rate)/total)
}

// recentCounts holds the responses of the last moments in time bins.
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

// binsFrom returns the sum of surgeBins bins from a number on.
func (s *recentCounts) binsFrom(number int64) (c Counts) {
	for i := number; i < number+surgeBins; i++ {
		if b := &s.bins[i%int64(len(s.bins))]; b.number == i {
			c.add(b.Counts)
		}
	}
	return c
}

// maxRates returns the highest rates around a time.
func (s *recentCounts) maxRates(at time.Duration) (failed, slow float64) {
	for number := int64(max(0, at-surgeTime) / binTime); number <= int64((at+surgeTime)/binTime); number++ {
		c := s.binsFrom(number)
		failed = max(failed, ratio{float64(c.Failed), float64(c.Requests)}.lowerBound())
		slow = max(slow, ratio{float64(c.Slow), float64(c.Timed)}.lowerBound())
	}
	return failed, slow
}

// decayingCounts counts responses with exponential decay.
type decayingCounts struct {
	requests, failed, timed, slow float64
	updatedAt                     time.Duration
}

func (w *decayingCounts) decay(now, period time.Duration) {
	if now <= w.updatedAt {
		return
	}
	factor := math.Exp(-float64(now-w.updatedAt) / float64(period))
	w.requests *= factor
	w.failed *= factor
	w.timed *= factor
	w.slow *= factor
	w.updatedAt = now
}

func (w *decayingCounts) add(c Counts, now, period time.Duration) {
	w.decay(now, period)
	w.requests += float64(c.Requests)
	w.failed += float64(c.Failed)
	w.timed += float64(c.Timed)
	w.slow += float64(c.Slow)
}

// cusum is a cumulative sum of log-likelihood ratios that does not fall below zero (CUSUM, Page
// 1954).
type cusum float64

// maxBadRate limits the rate assumed for a bad target. A good target with a higher rate can't be
// distinguished from a bad one.
const maxBadRate = 0.97

// add adds n responses of which k are bad, where a good target has a rate of p and a bad one a rate
// of p+more.
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
