// SPDX-License-Identifier: MIT

package rollout

import (
	"math"
	"time"
)

// verdict compares the target with the baseline: for all requests, and for each
// route, so that a fault of one route is not lost among the others.
type verdict struct {
	// alarm is the sum at which the target is bad.
	alarm  float64
	all    track
	routes map[routeHash]*track
	cause  string // "": no alarm
}

func newVerdict(alarm float64) verdict {
	return verdict{alarm: alarm, routes: make(map[routeHash]*track)}
}

func (v *verdict) track(route routeHash) *track {
	t := v.routes[route]
	if t == nil {
		t = &track{}
		v.routes[route] = t
	}
	return t
}

// base takes up answers of the baseline.
func (v *verdict) base(route routeHash, c Counts, now time.Duration) {
	v.all.base(c, now)
	v.track(route).base(c, now)
}

// target takes up answers of the target that came at a time. From the first alarm on
// there is a cause.
func (v *verdict) target(route routeHash, c Counts, at, now time.Duration) {
	usual := v.all.expect(at, now, rates{usuallyFailed, usuallySlow})
	v.note(v.all.target(c, usual, v.alarm))
	t := v.track(route)
	v.note(t.target(c, t.expect(at, now, usual), v.alarm))
}

// note notes the cause of an alarm. The first one stays.
func (v *verdict) note(cause string) {
	if v.cause == "" {
		v.cause = cause
	}
}

// doubts reports whether it is half way to an alarm.
func (v *verdict) doubts() bool {
	if v.all.doubts(v.alarm) {
		return true
	}
	for _, t := range v.routes {
		if t.doubts(v.alarm) {
			return true
		}
	}
	return false
}

// track is the comparison for some requests.
type track struct {
	total        pair
	long         window
	recentRates  recentRates
	failed, slow sum
	// expected is the number of failures that the baseline would have had in place of the
	// target.
	expected float64
}

func (t *track) base(c Counts, now time.Duration) {
	t.total.base.add(c)
	t.long.add(c, now, longTime)
	t.recentRates.add(c, now)
}

// target adds answers of the target, and returns the cause of an alarm.
func (t *track) target(c Counts, base rates, alarm float64) string {
	t.total.target.add(c)
	t.failed.add(float64(c.Failed), float64(c.Requests), base.failed*baseFactor+allowFailed, worseFailed)
	t.slow.add(float64(c.Slow), float64(c.Timed), base.slow*baseSlow+allowSlow, worseSlow)
	t.expected += float64(c.Requests) * base.failed
	switch all := t.total.target; {
	case float64(t.failed) >= alarm:
		return "target fails"
	case float64(t.slow) >= alarm:
		return "target is slow"
	case all.Failed >= backstopFailed && float64(all.Failed) > t.allowed():
		return "target fails often"
	}
	return ""
}

// allowed is the number of failures that the target may have had.
func (t *track) allowed() float64 {
	by := baseFactor*t.expected + backstopAllow*float64(t.total.target.Requests)
	chance := t.expected + backstopChance*math.Sqrt(t.expected)
	return max(by, chance)
}

func (t *track) doubts(alarm float64) bool { return float64(max(t.failed, t.slow)) >= doubtPart*alarm }

// rates are how often answers fail, and how often they are slow.
type rates struct{ failed, slow float64 }

// expect returns the rates of the baseline at a time. Usual are those that are to be
// expected where little is known.
func (t *track) expect(at, now time.Duration, usual rates) rates {
	t.long.fade(now, longTime)
	total := t.total.base
	out := rates{
		failed: ratio{t.long.failed, t.long.requests}.shrunk(ratio{float64(total.Failed), float64(total.Requests)}.shrunk(usual.failed)),
		slow:   ratio{t.long.slow, t.long.timed}.shrunk(ratio{float64(total.Slow), float64(total.Timed)}.shrunk(usual.slow)),
	}
	failed, slow := t.recentRates.most(at)
	return rates{failed: max(out.failed, failed), slow: max(out.slow, slow)}
}

// ratio is a part of a number.
type ratio struct{ part, of float64 }

// shrunk is the ratio drawn to a rate, the more, the less it rests on.
func (r ratio) shrunk(to float64) float64 { return (r.part + shrinkage*to) / (r.of + shrinkage) }

// least is the ratio less what it may be high by chance, with some good answers more,
// since a single bad one tells nothing.
func (r ratio) least() float64 {
	of := r.of + surgeMore
	rate := r.part / of
	return rate - surgeChance*math.Sqrt(rate*(1-rate)/of)
}

// recentRates are the answers of the last moments, by time.
type recentRates struct {
	bins [keptBins]struct {
		number int64
		Counts
	}
}

func (s *recentRates) add(c Counts, now time.Duration) {
	number := int64(now / binTime)
	b := &s.bins[number%int64(len(s.bins))]
	if b.number != number {
		b.number = number
		b.Counts = Counts{}
	}
	b.add(c)
}

// in returns the answers of some bins.
func (s *recentRates) in(number int64) (c Counts) {
	for i := number; i < number+surgeBins; i++ {
		if b := &s.bins[i%int64(len(s.bins))]; b.number == i {
			c.add(b.Counts)
		}
	}
	return c
}

// most returns the highest rates around a time.
func (s *recentRates) most(at time.Duration) (failed, slow float64) {
	for number := int64(max(0, at-surgeTime) / binTime); number <= int64((at+surgeTime)/binTime); number++ {
		c := s.in(number)
		failed = max(failed, ratio{float64(c.Failed), float64(c.Requests)}.least())
		slow = max(slow, ratio{float64(c.Slow), float64(c.Timed)}.least())
	}
	return failed, slow
}

// window counts answers and forgets them.
type window struct {
	requests, failed, timed, slow float64
	at                            time.Duration
}

func (w *window) fade(now, over time.Duration) {
	if now <= w.at {
		return
	}
	left := math.Exp(-float64(now-w.at) / float64(over))
	w.requests *= left
	w.failed *= left
	w.timed *= left
	w.slow *= left
	w.at = now
}

func (w *window) add(c Counts, now, over time.Duration) {
	w.fade(now, over)
	w.requests += float64(c.Requests)
	w.failed += float64(c.Failed)
	w.timed += float64(c.Timed)
	w.slow += float64(c.Slow)
}

// sum is a cumulative sum of log-likelihood ratios that does not fall below zero
// (CUSUM, Page 1954).
type sum float64

// mostRate bounds the rate that a bad target is compared with: beyond it there is
// nothing to tell.
const mostRate = 0.97

// add takes up n answers of which k are bad, where a good target has a rate of p and a
// bad one of so much more.
func (s *sum) add(k, n, p, more float64) {
	if n <= 0 {
		return
	}
	bad := min(mostRate, p+more)
	if p >= bad {
		return
	}
	ratio := k*math.Log(bad/p) + (n-k)*math.Log((1-bad)/(1-p))
	*s = sum(max(0, float64(*s)+ratio))
}
