// SPDX-License-Identifier: MIT

package rollout

import (
	"cmp"
	"flag"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// seeds is how many times each kind is run. The figures in docs/design/rollout.md are from more
// runs than the default.
var seeds = flag.Int("seeds", 1, "how many times TestKinds and TestCompare run each kind")

var highRate = flag.Float64("requests", 200, "requests per second in TestKinds")

var only = flag.String("only", "", "run only the kinds whose name contains this in TestKinds")

// behaviourAt returns the behaviour of a version on a route, at a time since the order and under a
// load relative to all requests.
type behaviourAt func(software string, route int, at time.Duration, load float64) behaviour

// targetKind is a kind of target, or a fault of both versions or of the environment.
type targetKind struct {
	name    string
	bad     bool
	tooRare bool // the fault is too rare to be detected in a minute
	behave  behaviourAt
	burst   bool    // six times the requests from 20 s to 30 s
	spread  float64 // of the latencies; zero: defaultSpread
}

const (
	kindWithin = time.Minute
	lateAt     = 40 * time.Second
	wideSpread = 0.8
)

// goodBehaviour is the behaviour of a good version.
var goodBehaviour = behaviour{factor: 1, failedFraction: 0.002}

// whenBad returns the behaviour of a target that is bad at times.
func whenBad(bad behaviour, when func(route int, at time.Duration, load float64) bool) behaviourAt {
	return func(software string, route int, at time.Duration, load float64) behaviour {
		if software == "v2" && when(route, at, load) {
			return bad
		}
		return goodBehaviour
	}
}

// bothDuring returns the behaviour of two versions that are both bad for a while.
func bothDuring(bad behaviour, from, to time.Duration) behaviourAt {
	return func(_ string, _ int, at time.Duration, _ float64) behaviour {
		if at >= from && at < to {
			return bad
		}
		return goodBehaviour
	}
}

func always(int, time.Duration, float64) bool             { return true }
func late(_ int, at time.Duration, _ float64) bool        { return at >= lateAt }
func loaded(_ int, _ time.Duration, load float64) bool    { return load > 0.5 }
func onRoute1(route int, _ time.Duration, _ float64) bool { return route == 1 }
func onRoute3(route int, _ time.Duration, _ float64) bool { return route == 3 }

// targetKinds returns the kinds that TestKinds runs.
func targetKinds() (out []targetKind) {
	whens := []struct {
		name string
		when func(int, time.Duration, float64) bool
	}{{"at once", always}, {"late", late}, {"under load", loaded}, {"on a route of 25%", onRoute1}, {"on a route of 5%", onRoute3}}
	for _, w := range whens {
		for _, failed := range []float64{0.05, 0.2, 1} {
			out = append(out, targetKind{name: fmt.Sprintf("fails %g %s", failed, w.name), bad: true, tooRare: failed < 0.1, behave: whenBad(behaviour{factor: 1, failedFraction: failed}, w.when)})
		}
		for _, factor := range []float64{2, 4, 8} {
			out = append(out, targetKind{name: fmt.Sprintf("%g times slower %s", factor, w.name), bad: true, behave: whenBad(behaviour{factor: factor, failedFraction: goodBehaviour.failedFraction}, w.when)})
		}
	}
	minute := 10 * time.Minute
	for _, factor := range []float64{2, 4} {
		out = append(out, targetKind{
			name: fmt.Sprintf("%g times slower at once, times spread wide", factor), bad: true, spread: wideSpread,
			behave: whenBad(behaviour{factor: factor, failedFraction: goodBehaviour.failedFraction}, always),
		})
	}
	return append(out,
		targetKind{name: "good", behave: bothDuring(goodBehaviour, 0, 0)},
		targetKind{name: "good, times spread wide", spread: wideSpread, behave: bothDuring(goodBehaviour, 0, 0)},
		targetKind{name: "a tenth slower", behave: whenBad(behaviour{factor: 1.1, failedFraction: goodBehaviour.failedFraction}, always)},
		targetKind{name: "both fail 5%", behave: bothDuring(behaviour{factor: 1, failedFraction: 0.05}, 0, minute)},
		targetKind{name: "both fail 20%", behave: bothDuring(behaviour{factor: 1, failedFraction: 0.2}, 0, minute)},
		targetKind{name: "both fail 50% for 5 s", behave: bothDuring(behaviour{factor: 1, failedFraction: 0.5}, 20*time.Second, 25*time.Second)},
		targetKind{name: "both 3 times slower from 20 s", behave: bothDuring(behaviour{factor: 3, failedFraction: goodBehaviour.failedFraction}, 20*time.Second, minute)},
		targetKind{name: "both 3 times slower for 5 s", behave: bothDuring(behaviour{factor: 3, failedFraction: goodBehaviour.failedFraction}, 20*time.Second, 25*time.Second)},
		targetKind{name: "baseline fails 20%", behave: func(software string, _ int, _ time.Duration, _ float64) behaviour {
			if software == "v1" {
				return behaviour{factor: 1, failedFraction: 0.2}
			}
			return goodBehaviour
		}},
		targetKind{name: "target cold for 20 s, objects unseen for 40 s", behave: func(software string, _ int, at time.Duration, _ float64) behaviour {
			b := goodBehaviour
			if software == "v2" && at < 20*time.Second {
				b.cold, b.factor = true, 4
			}
			if software == "v2" && at < 40*time.Second {
				b.unseenFraction = 0.8
			}
			return b
		}},
		targetKind{name: "both 2 times slower in a burst", burst: true, behave: bothDuring(behaviour{factor: 2, failedFraction: 0.02}, 20*time.Second, 30*time.Second)},
	)
}

// result is the outcome of a rollout.
type result struct {
	phase        Phase
	stoppedAfter time.Duration // from the first bad behaviour until nothing went to the target
	endedAfter   time.Duration // from the order until the rollout ended
	exposed      int           // requests at the target while it was bad
	cause        string
	violations   []string
}

// runKind runs a rollout of a kind.
func runKind(k targetKind, size int, requests float64, seed uint64) result {
	f := newFleet(seed, size, requests)
	f.good = !k.bad
	f.spread = cmp.Or(k.spread, defaultSpread)
	var out result
	var order *trackedOrder
	var badSince time.Duration
	f.behave = func(software string, route int, now time.Duration) behaviour {
		if order == nil {
			return goodBehaviour
		}
		b := k.behave(software, route, now-order.orderedAt, f.load(software))
		own := b
		own.stall = stall{} // stalls are not a fault of the target
		if k.bad && software == "v2" && own != goodBehaviour {
			out.exposed++
			if badSince == 0 {
				badSince = now
			}
		}
		return b
	}
	if k.burst {
		f.rate = func(now time.Duration) float64 {
			if order != nil && now >= order.orderedAt+20*time.Second && now < order.orderedAt+30*time.Second {
				return 6 * requests
			}
			return requests
		}
	}
	f.run(minUptimeForSlack + time.Duration(seed*370%9000)*time.Millisecond) // so that rounds begin at different times
	order = f.order("v2", kindWithin)
	f.run(kindWithin + 6*time.Second)
	out.phase = f.phase()
	out.violations = f.violations
	out.cause = f.store.record.Cause
	out.endedAfter = order.endedAt - order.orderedAt
	if badSince > 0 && f.lastTarget > badSince {
		out.stoppedAfter = f.lastTarget - badSince
	}
	return out
}

// asExpected reports whether the rollout ended as it should.
func (r result) asExpected(k targetKind) bool { return r.phase == Completed != k.bad }

// TestKinds runs rollouts of bad targets, and of good targets whose baseline has faults, and prints
// the outcomes. At the higher rate each must end as expected, except for faults that are too rare
// to be detected. At the lower rate, where the target gives some 20 responses, most of the good
// ones must.
func TestKinds(t *testing.T) {
	for _, requests := range []float64{lowRate, *highRate} {
		t.Run(fmt.Sprintf("%g requests a second", requests), func(t *testing.T) {
			var chosen []targetKind
			for _, k := range targetKinds() {
				if strings.Contains(k.name, *only) {
					chosen = append(chosen, k)
				}
			}
			reverted, good := 0, 0
			n := *seeds
			if requests == lowRate {
				n *= lowRateRepeats
			}
			for i, all := range runAll(chosen, 12, requests, n) {
				wrong := checkKind(t, chosen[i], requests, all)
				if !chosen[i].bad {
					reverted += wrong
					good += len(all)
				}
			}
			assert.Assert(t, float64(reverted) <= maxRevertedGood*float64(good), "%d of %d good targets", reverted, good)
		})
	}
}

// checkKind checks the outcomes of a kind and prints them as a table row.
func checkKind(t *testing.T, k targetKind, requests float64, all []result) (wrong int) {
	var stops, exposed []float64
	causes := make(map[string]int)
	for _, r := range all {
		assert.Equal(t, len(r.violations), 0, "%s: %v", k.name, r.violations)
		if !r.asExpected(k) {
			wrong++
		}
		causes[strings.Split(r.cause, ":")[0]]++
		stops = append(stops, r.stoppedAfter.Seconds())
		exposed = append(exposed, float64(r.exposed))
	}
	t.Logf("| %s | %d of %d | %.1f | %.0f | %v", k.name, wrong, len(all), median(stops), median(exposed), causes)
	if requests != lowRate && !k.tooRare {
		assert.Assert(t, float64(wrong) <= maxWrong*float64(len(all)), "%s: %d of %d", k.name, wrong, len(all))
	}
	return wrong
}

const (
	lowRate = 5
	// lowRateRepeats multiplies the runs at the lower rate, where chance has more influence.
	lowRateRepeats = 4
	// maxRevertedGood is the fraction of good targets that may be reverted: at the lower rate some
	// lack evidence.
	maxRevertedGood = 0.25
	// maxWrong is the fraction of the rollouts of a kind that may end wrongly.
	maxWrong = 0.1
)

// runAll runs all kinds with all seeds, several at a time.
func runAll(chosen []targetKind, size int, requests float64, runs int) [][]result {
	out := make([][]result, len(chosen))
	var group sync.WaitGroup
	slots := make(chan bool, 6)
	for i, k := range chosen {
		out[i] = make([]result, runs)
		for seed := range out[i] {
			slots <- true
			group.Go(func() {
				out[i][seed] = runKind(k, size, requests, uint64(seed+1))
				<-slots
			})
		}
	}
	group.Wait()
	return out
}

func median(x []float64) float64 {
	slices.Sort(x)
	return x[len(x)/2]
}
