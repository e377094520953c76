// SPDX-License-Identifier: MIT

package rollout

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sample is a response as a detector receives it.
type sample struct {
	failed  bool
	timed   bool
	slow    bool
	latency float64 // seconds
}

// detector decides whether the target is bad.
type detector interface {
	base(x sample, now time.Duration)
	target(x sample, now time.Duration)
	// isBad is called every 500 ms.
	isBad(now time.Duration) bool
}

// cusumDetector is the detector in use: sums over counts of failed and slow responses.
type cusumDetector struct{ analysis analysis }

func (c *cusumDetector) counts(x sample) Counts {
	out := Counts{Requests: 1}
	if x.failed {
		out.Failed = 1
	}
	if x.timed {
		out.Timed = 1
	}
	if x.slow {
		out.Slow = 1
	}
	return out
}

func (c *cusumDetector) base(x sample, now time.Duration) { c.analysis.addBase(1, c.counts(x), now) }
func (c *cusumDetector) target(x sample, now time.Duration) {
	c.analysis.addTarget(1, c.counts(x), now, now)
}
func (c *cusumDetector) isBad(time.Duration) bool { return c.analysis.cause != "" }

// rankDetector compares the ranks of latencies in two windows (Mann and Whitney 1947). A failure
// ranks slower than all responses. It would require sending the latencies themselves to the owner.
type rankDetector struct {
	baseLatencies, targetLatencies []float64
	windowSize                     int // responses of each version
	threshold                      float64
}

func (r *rankDetector) add(list []float64, x sample) []float64 {
	latency := x.latency
	if x.failed {
		latency = math.Inf(1)
	}
	list = append(list, latency)
	return list[max(0, len(list)-r.windowSize):]
}

func (r *rankDetector) base(x sample, _ time.Duration) { r.baseLatencies = r.add(r.baseLatencies, x) }
func (r *rankDetector) target(x sample, _ time.Duration) {
	r.targetLatencies = r.add(r.targetLatencies, x)
}

func (r *rankDetector) isBad(time.Duration) bool {
	const minSamples = 8
	n, m := float64(len(r.targetLatencies)), float64(len(r.baseLatencies))
	if n < minSamples || m < minSamples {
		return false
	}
	baseline := slices.Clone(r.baseLatencies)
	slices.Sort(baseline)
	typical := 0.0
	for _, x := range r.targetLatencies {
		at, _ := slices.BinarySearch(baseline, x)
		ties := 0
		for at+ties < len(baseline) && baseline[at+ties] == x {
			ties++
		}
		typical += float64(at) + float64(ties)/2
	}
	z := (typical - n*m/2) / math.Sqrt(n*m*(n+m+1)/12)
	return z > r.threshold
}

// scenario is a test case for detectors: the behaviour of both versions over time.
type scenario struct {
	name   string
	bad    bool
	behave func(target bool, at time.Duration) behaviour
}

func onlyTarget(b behaviour, from time.Duration) func(bool, time.Duration) behaviour {
	return func(target bool, at time.Duration) behaviour {
		if target && at >= from {
			return b
		}
		return goodBehaviour
	}
}

var scenarios = []scenario{
	{"good", false, onlyTarget(goodBehaviour, 0)},
	{"both 3 times slower from 20 s", false, func(_ bool, at time.Duration) behaviour {
		if at < 20*time.Second {
			return goodBehaviour
		}
		return behaviour{factor: 3, failedFraction: goodBehaviour.failedFraction}
	}},
	{"both fail 50% for 5 s", false, func(_ bool, at time.Duration) behaviour {
		if at < 20*time.Second || at > 25*time.Second {
			return goodBehaviour
		}
		return behaviour{factor: 1, failedFraction: 0.5}
	}},
	{"a tenth slower", false, onlyTarget(behaviour{factor: 1.1, failedFraction: goodBehaviour.failedFraction}, 0)},
	{"most objects unseen, twice the time", false, onlyTarget(behaviour{factor: 1, failedFraction: goodBehaviour.failedFraction, unseenFraction: 0.8}, 0)},
	{"fails 5%", true, onlyTarget(behaviour{factor: 1, failedFraction: 0.05}, 0)},
	{"fails 20%", true, onlyTarget(behaviour{factor: 1, failedFraction: 0.2}, 0)},
	{"fails 20% late", true, onlyTarget(behaviour{factor: 1, failedFraction: 0.2}, lateAt)},
	{"1.5 times slower", true, onlyTarget(behaviour{factor: 1.5, failedFraction: goodBehaviour.failedFraction}, 0)},
	{"2 times slower", true, onlyTarget(behaviour{factor: 2, failedFraction: goodBehaviour.failedFraction}, 0)},
	{"2 times slower late", true, onlyTarget(behaviour{factor: 2, failedFraction: goodBehaviour.failedFraction}, lateAt)},
	{"8 times slower", true, onlyTarget(behaviour{factor: 8, failedFraction: goodBehaviour.failedFraction}, 0)},
}

// runScenario runs a scenario of one minute with a detector. It returns when that found the target
// bad, and how many bad responses the target had given.
func runScenario(s scenario, w detector, seed uint64) (found bool, after time.Duration, responses int) {
	const (
		requests = 200
		every    = 25 // one of so many requests goes to the target
	)
	random := rand.New(rand.NewPCG(seed, 3))
	var typical typicalLatency
	badSince := time.Duration(-1)
	for i := range requests * 60 {
		now := time.Duration(i) * time.Second / requests
		target := i%every == every-1
		b := s.behave(target, now)
		if target && b != goodBehaviour {
			responses++
			if badSince < 0 {
				badSince = now
			}
		}
		o := Outcome{Failed: random.Float64() < b.failedFraction, Unseen: random.Float64() < b.unseenFraction}
		latency := medianLatency.Seconds() * b.factor * math.Exp(defaultSpread*random.NormFloat64())
		if o.Unseen {
			latency *= 2
		}
		o.Latency = time.Duration(latency * float64(time.Second))
		x := sample{failed: o.Failed, latency: latency}
		if !o.Failed {
			c := typical.classify(o, 0)
			x.timed, x.slow = c != latencyUnknown, c == latencySlow
		}
		if target {
			w.target(x, now)
		} else {
			w.base(x, now)
			if !o.Failed && !o.Unseen {
				typical.add(o.Latency)
			}
		}
		if i%(requests/2) == 0 && w.isBad(now) {
			return true, now - badSince, responses
		}
	}
	return false, 0, responses
}

// TestCompareVerdicts compares detectors. The threshold of the rank detectors is set so that they
// revert a good target as rarely as the one in use.
func TestCompareVerdicts(t *testing.T) {
	detectors := []struct {
		name string
		make func() detector
	}{
		{"counts, CUSUM", func() detector { return &cusumDetector{newAnalysis(alarmThreshold)} }},
		{"ranks of the last 100", func() detector { return &rankDetector{windowSize: 100, threshold: 4.5} }},
		{"ranks of the last 1000", func() detector { return &rankDetector{windowSize: 1000, threshold: 4.5} }},
	}
	runs := 10 * *seeds
	for _, s := range scenarios {
		for i, w := range detectors {
			correct := 0
			var times, responses []float64
			for seed := range runs {
				found, after, n := runScenario(s, w.make(), uint64(seed+1))
				if found == s.bad {
					correct++
				}
				if found && s.bad {
					times = append(times, after.Seconds())
					responses = append(responses, float64(n))
				}
			}
			if len(times) == 0 {
				times, responses = []float64{0}, []float64{0}
			}
			t.Logf("| %s | %s | %d of %d | %.1f | %.0f |", s.name, w.name, correct, runs, median(times), median(responses))
			if i == 0 {
				assert.Assert(t, float64(correct) >= 0.9*float64(runs), "%s", s.name)
			}
		}
	}
}

// canaryStrategy selects the requests that go to a canary.
type canaryStrategy struct {
	name   string
	choose func(c *canaryModel, object int, home int, now time.Duration) bool
}

// canaryModel is one instance, and the target's backend servers, which remember recent objects.
type canaryModel struct {
	random   *rand.Rand
	gate     gate
	rotation rotation
	lastSeen []map[int]time.Duration // by server, when it last worked on an object
}

var canaryStrategies = []canaryStrategy{
	{"by request", func(c *canaryModel, _, _ int, _ time.Duration) bool {
		return c.random.Float64() < canaryFraction*testBounds.Share
	}},
	{"by object", func(_ *canaryModel, object, _ int, _ time.Duration) bool {
		const mix = 0x9e3779b97f4a7c15
		return float64(uint64(object+1)*mix>>11)/(1<<53) < canaryFraction*testBounds.Share
	}},
	{"by home, in rounds, each set once", byHomeInRounds(1)},
	{"by home, in rounds, each set 3 times", byHomeInRounds(defaultRoundsPerSet)},
	{"by home, in rounds, each set 6 times", byHomeInRounds(6)},
}

func byHomeInRounds(rounds int64) func(c *canaryModel, _, home int, now time.Duration) bool {
	return func(c *canaryModel, _, home int, now time.Duration) bool {
		c.rotation.roundsPerSet = rounds
		return c.rotation.isActive(c.rotation.homes[home].Hash, int64(now/roundTime), canaryFraction*testBounds.Share)
	}
}

// canaryResult is the outcome of a canary.
type canaryResult struct {
	requests, seenObjects, objects, underLoad int
	load                                      []float64 // of a server in the second of each request, relative to its normal load
}

// runCanary runs a canary of one minute in which popular objects get many requests.
func runCanary(w canaryStrategy, seed uint64) (out canaryResult) {
	const (
		requests   = 400
		servers    = 6
		objects    = 3000
		memoryTime = 20 * time.Second
	)
	random := rand.New(rand.NewPCG(seed, 5))
	zipf := rand.NewZipf(random, 1.1, 8, objects-1)
	c := &canaryModel{random: random}
	perSecond := make(map[[2]int]int) // by server and second
	var homes []Home
	for i := range servers {
		homes = append(homes, Home{Hash: uint64(i + 1), Slots: 8})
		c.lastSeen = append(c.lastSeen, make(map[int]time.Duration))
	}
	c.rotation.set(homes)
	period := time.Duration(c.rotation.roundInterval(canaryFraction*testBounds.Share)) * roundTime
	exposed := make(map[int]bool)
	for i := range requests * 60 {
		now := time.Duration(i) * time.Second / requests
		object := int(zipf.Uint64())
		home := object * 7919 % servers
		c.gate.addAttempt(testBounds.Share, period, now)
		if !c.gate.fits(canaryFraction*testBounds.Share) || c.gate.credit < 1 || !w.choose(c, object, home, now) {
			continue
		}
		c.gate.addTargetAttempt(testBounds.Share, now)
		perSecond[[2]int{home, int(now / time.Second)}]++
		out.requests++
		if at, known := c.lastSeen[home][object]; known && now-at < memoryTime {
			out.seenObjects++
		}
		c.lastSeen[home][object] = now
		exposed[object] = true
	}
	out.objects = len(exposed)
	for _, n := range perSecond {
		load := float64(n) / (requests / servers)
		for range n {
			out.load = append(out.load, load)
		}
		if load > loadedFraction {
			out.underLoad += n
		}
	}
	return out
}

// loadedFraction is the fraction of its normal load from which a server counts as loaded.
const loadedFraction = 0.5

// TestCompareCanaries compares strategies for selecting the requests of a canary.
func TestCompareCanaries(t *testing.T) {
	runs := 5 * *seeds
	for _, w := range canaryStrategies {
		var requests, seen, objects, load, underLoad []float64
		for seed := range runs {
			r := runCanary(w, uint64(seed+1))
			requests = append(requests, float64(r.requests))
			seen = append(seen, float64(r.seenObjects)/float64(max(1, r.requests)))
			objects = append(objects, float64(r.objects))
			load = append(load, median(r.load))
			underLoad = append(underLoad, float64(r.underLoad))
		}
		t.Logf("| %s | %.0f | %.2f | %.0f | %.2f | %.0f |", w.name, median(requests), median(seen), median(objects), median(load), median(underLoad))
	}
}
