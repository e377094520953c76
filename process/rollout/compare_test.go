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

// sample is an answer as a verdict sees it.
type sample struct {
	failed bool
	timed  bool
	slow   bool
	took   float64 // seconds
}

// judging is a way to come to a verdict.
type detector interface {
	base(x sample, now time.Duration)
	target(x sample, now time.Duration)
	// bad is asked each 500 ms.
	isBad(now time.Duration) bool
}

// counting is the way in use: sums over counts of failed and slow answers.
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

// ranking compares the ranks of times in two windows (Mann and Whitney 1947), a failure
// being slower than all answers. It needs the times themselves at the owner.
type rankDetector struct {
	baseTimes, targetTimes []float64
	windowSize             int // answers of a version that it looks back on
	threshold              float64
}

func (r *rankDetector) add(list []float64, x sample) []float64 {
	took := x.took
	if x.failed {
		took = math.Inf(1)
	}
	list = append(list, took)
	return list[max(0, len(list)-r.windowSize):]
}

func (r *rankDetector) base(x sample, _ time.Duration)   { r.baseTimes = r.add(r.baseTimes, x) }
func (r *rankDetector) target(x sample, _ time.Duration) { r.targetTimes = r.add(r.targetTimes, x) }

func (r *rankDetector) isBad(time.Duration) bool {
	const fewest = 8
	n, m := float64(len(r.targetTimes)), float64(len(r.baseTimes))
	if n < fewest || m < fewest {
		return false
	}
	before := slices.Clone(r.baseTimes)
	slices.Sort(before)
	u := 0.0
	for _, x := range r.targetTimes {
		at, _ := slices.BinarySearch(before, x)
		ties := 0
		for at+ties < len(before) && before[at+ties] == x {
			ties++
		}
		u += float64(at) + float64(ties)/2
	}
	z := (u - n*m/2) / math.Sqrt(n*m*(n+m+1)/12)
	return z > r.threshold
}

// stream is a case for a verdict: how both versions answer, by the time.
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

// playStream plays a stream of a minute to a way of judging. It returns when that found
// the target bad, and how many bad answers it had given.
func playScenario(s scenario, w detector, seed uint64) (found bool, after time.Duration, answers int) {
	const (
		requests = 200
		every    = 25 // one of so many goes to the target
	)
	random := rand.New(rand.NewPCG(seed, 3))
	var u typicalLatency
	badSince := time.Duration(-1)
	for i := range requests * 60 {
		now := time.Duration(i) * time.Second / requests
		target := i%every == every-1
		b := s.behave(target, now)
		if target && b != goodBehaviour {
			answers++
			if badSince < 0 {
				badSince = now
			}
		}
		o := Outcome{Failed: random.Float64() < b.failedFraction, Unseen: random.Float64() < b.unseenFraction}
		took := meanLatency.Seconds() * b.factor * math.Exp(defaultSpread*random.NormFloat64())
		if o.Unseen {
			took *= 2
		}
		o.Latency = time.Duration(took * float64(time.Second))
		x := sample{failed: o.Failed, took: took}
		if !o.Failed {
			c := u.classify(o, 0)
			x.timed, x.slow = c != latencyUnknown, c == latencySlow
		}
		if target {
			w.target(x, now)
		} else {
			w.base(x, now)
			if !o.Failed && !o.Unseen {
				u.add(o.Latency)
			}
		}
		if i%(requests/2) == 0 && w.isBad(now) {
			return true, now - badSince, answers
		}
	}
	return false, 0, answers
}

// TestCompareVerdicts compares ways to come to a verdict. The alarm of ranks is set so
// that a good target is reverted as seldom as by counts.
func TestCompareVerdicts(t *testing.T) {
	ways := []struct {
		name string
		make func() detector
	}{
		{"counts, CUSUM", func() detector { return &cusumDetector{newAnalysis(alarmThreshold)} }},
		{"ranks of the last 100", func() detector { return &rankDetector{windowSize: 100, threshold: 4.5} }},
		{"ranks of the last 1000", func() detector { return &rankDetector{windowSize: 1000, threshold: 4.5} }},
	}
	runs := 10 * *seeds
	for _, s := range scenarios {
		for i, w := range ways {
			right := 0
			var times, answers []float64
			for seed := range runs {
				found, after, n := playScenario(s, w.make(), uint64(seed+1))
				if found == s.bad {
					right++
				}
				if found && s.bad {
					times = append(times, after.Seconds())
					answers = append(answers, float64(n))
				}
			}
			if len(times) == 0 {
				times, answers = []float64{0}, []float64{0}
			}
			t.Logf("| %s | %s | %d of %d | %.1f | %.0f |", s.name, w.name, right, runs, median(times), median(answers))
			if i == 0 {
				assert.Assert(t, float64(right) >= 0.9*float64(runs), "%s", s.name)
			}
		}
	}
}

// choosing is a way to choose the requests of a canary.
type canaryStrategy struct {
	name   string
	choose func(c *canaryModel, object int, home int, now time.Duration) bool
}

// canaryModel is one instance and the target's backend servers, each of which remembers
// some objects.
type canaryModel struct {
	random   *rand.Rand
	gate     gate
	turns    rotation
	lastSeen []map[int]time.Duration // by server, when it worked on an object last
}

var canaryStrategies = []canaryStrategy{
	{"by request", func(c *canaryModel, _, _ int, _ time.Duration) bool {
		return c.random.Float64() < canaryFraction*testBounds.Share
	}},
	{"by object", func(_ *canaryModel, object, _ int, _ time.Duration) bool {
		const mix = 0x9e3779b97f4a7c15
		return float64(uint64(object+1)*mix>>11)/(1<<53) < canaryFraction*testBounds.Share
	}},
	{"by home, in turns, each set once", byHomeInRounds(1)},
	{"by home, in turns, each set 3 times", byHomeInRounds(defaultRoundsPerSet)},
	{"by home, in turns, each set 6 times", byHomeInRounds(6)},
}

func byHomeInRounds(stay int64) func(c *canaryModel, _, home int, now time.Duration) bool {
	return func(c *canaryModel, _, home int, now time.Duration) bool {
		c.turns.roundsPerSet = stay
		return c.turns.isActive(c.turns.homes[home].Hash, int64(now/roundTime), canaryFraction*testBounds.Share)
	}
}

// canaryResult is what a canary has shown.
type canaryResult struct {
	requests, seenObjects, objects, underLoad int
	load                                      []float64 // of a server in the second of each request, in relation to the usual
}

// playCanary plays a canary of a minute where popular objects have many requests.
func playCanary(w canaryStrategy, seed uint64) (out canaryResult) {
	const (
		requests = 400
		servers  = 6
		objects  = 3000
		memory   = 20 * time.Second
	)
	random := rand.New(rand.NewPCG(seed, 5))
	zipf := rand.NewZipf(random, 1.1, 8, objects-1)
	c := &canaryModel{random: random}
	came := make(map[[2]int]int) // by server and second
	var homes []Home
	for i := range servers {
		homes = append(homes, Home{Hash: uint64(i + 1), Slots: 8})
		c.lastSeen = append(c.lastSeen, make(map[int]time.Duration))
	}
	c.turns.set(homes)
	period := time.Duration(c.turns.roundInterval(canaryFraction*testBounds.Share)) * roundTime
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
		came[[2]int{home, int(now / time.Second)}]++
		out.requests++
		if at, known := c.lastSeen[home][object]; known && now-at < memory {
			out.seenObjects++
		}
		c.lastSeen[home][object] = now
		exposed[object] = true
	}
	out.objects = len(exposed)
	for _, n := range came {
		load := float64(n) / (requests / servers)
		for range n {
			out.load = append(out.load, load)
		}
		if load > halfLoad {
			out.underLoad += n
		}
	}
	return out
}

// halfLoad is the part of its usual load from which a server counts as loaded.
const halfLoad = 0.5

// TestCompareCanaries compares ways to choose the requests of a canary.
func TestCompareCanaries(t *testing.T) {
	runs := 5 * *seeds
	for _, w := range canaryStrategies {
		var requests, seen, objects, load, underLoad []float64
		for seed := range runs {
			r := playCanary(w, uint64(seed+1))
			requests = append(requests, float64(r.requests))
			seen = append(seen, float64(r.seenObjects)/float64(max(1, r.requests)))
			objects = append(objects, float64(r.objects))
			load = append(load, median(r.load))
			underLoad = append(underLoad, float64(r.underLoad))
		}
		t.Logf("| %s | %.0f | %.2f | %.0f | %.2f | %.0f |", w.name, median(requests), median(seen), median(objects), median(load), median(underLoad))
	}
}
