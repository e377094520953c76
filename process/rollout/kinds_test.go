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

// seeds is how often each kind is played. The figures in docs/design/rollout.md are of
// more than the tests play.
var seeds = flag.Int("seeds", 1, "how often TestKinds and TestCompare play each kind")

var highRate = flag.Float64("requests", 200, "requests a second in TestKinds")

var only = flag.String("only", "", "the part of the names of kinds that TestKinds plays")

// performance is that of both versions at a time since the order, for a part of the
// usual load of a version.
type performance func(software string, route int, at time.Duration, load float64) behaviour

// kind is a kind of target, or of trouble that is not the target's.
type kind struct {
	name    string
	bad     bool
	rare    bool // the fault is too rare to be seen in a minute
	perform performance
	burst   bool    // six times the requests from 20 s to 30 s
	spread  float64 // of the times. Zero: the usual one
}

const (
	kindWithin = time.Minute
	lateAt     = 40 * time.Second
	wideSpread = 0.8
)

// usually is how a good version behaves.
var usually = behaviour{factor: 1, failed: 0.002}

// whenBad makes a performance of a target that behaves badly at times.
func whenBad(bad behaviour, when func(route int, at time.Duration, load float64) bool) performance {
	return func(software string, route int, at time.Duration, load float64) behaviour {
		if software == "v2" && when(route, at, load) {
			return bad
		}
		return usually
	}
}

// bothWhen makes a performance of two versions that suffer alike.
func bothWhen(bad behaviour, from, to time.Duration) performance {
	return func(_ string, _ int, at time.Duration, _ float64) behaviour {
		if at >= from && at < to {
			return bad
		}
		return usually
	}
}

func always(int, time.Duration, float64) bool             { return true }
func late(_ int, at time.Duration, _ float64) bool        { return at >= lateAt }
func loaded(_ int, _ time.Duration, load float64) bool    { return load > 0.5 }
func onRoute1(route int, _ time.Duration, _ float64) bool { return route == 1 }
func onRoute3(route int, _ time.Duration, _ float64) bool { return route == 3 }

// kinds are the kinds that are played.
func kinds() (out []kind) {
	whens := []struct {
		name string
		when func(int, time.Duration, float64) bool
	}{{"at once", always}, {"late", late}, {"under load", loaded}, {"on a route of 25%", onRoute1}, {"on a route of 5%", onRoute3}}
	for _, w := range whens {
		for _, failed := range []float64{0.05, 0.2, 1} {
			out = append(out, kind{name: fmt.Sprintf("fails %g %s", failed, w.name), bad: true, rare: failed < 0.1, perform: whenBad(behaviour{factor: 1, failed: failed}, w.when)})
		}
		for _, factor := range []float64{2, 4, 8} {
			out = append(out, kind{name: fmt.Sprintf("%g times slower %s", factor, w.name), bad: true, perform: whenBad(behaviour{factor: factor, failed: usually.failed}, w.when)})
		}
	}
	minute := 10 * time.Minute
	for _, factor := range []float64{2, 4} {
		out = append(out, kind{
			name: fmt.Sprintf("%g times slower at once, times spread wide", factor), bad: true, spread: wideSpread,
			perform: whenBad(behaviour{factor: factor, failed: usually.failed}, always),
		})
	}
	return append(out,
		kind{name: "good", perform: bothWhen(usually, 0, 0)},
		kind{name: "good, times spread wide", spread: wideSpread, perform: bothWhen(usually, 0, 0)},
		kind{name: "a tenth slower", perform: whenBad(behaviour{factor: 1.1, failed: usually.failed}, always)},
		kind{name: "both fail 5%", perform: bothWhen(behaviour{factor: 1, failed: 0.05}, 0, minute)},
		kind{name: "both fail 20%", perform: bothWhen(behaviour{factor: 1, failed: 0.2}, 0, minute)},
		kind{name: "both fail 50% for 5 s", perform: bothWhen(behaviour{factor: 1, failed: 0.5}, 20*time.Second, 25*time.Second)},
		kind{name: "both 3 times slower from 20 s", perform: bothWhen(behaviour{factor: 3, failed: usually.failed}, 20*time.Second, minute)},
		kind{name: "both 3 times slower for 5 s", perform: bothWhen(behaviour{factor: 3, failed: usually.failed}, 20*time.Second, 25*time.Second)},
		kind{name: "baseline fails 20%", perform: func(software string, _ int, _ time.Duration, _ float64) behaviour {
			if software == "v1" {
				return behaviour{factor: 1, failed: 0.2}
			}
			return usually
		}},
		kind{name: "target cold for 20 s, objects unseen for 40 s", perform: func(software string, _ int, at time.Duration, _ float64) behaviour {
			b := usually
			if software == "v2" && at < 20*time.Second {
				b.cold, b.factor = true, 4
			}
			if software == "v2" && at < 40*time.Second {
				b.unseen = 0.8
			}
			return b
		}},
		kind{name: "both 2 times slower in a burst", burst: true, perform: bothWhen(behaviour{factor: 2, failed: 0.02}, 20*time.Second, 30*time.Second)},
	)
}

// played is what came of a roll-out.
type played struct {
	phase   Phase
	stop    time.Duration // from the first bad behaviour until nothing went to the target
	at      time.Duration // when it was stopped or had ended, since the order
	exposed int           // requests at the target while it behaved badly, until it was stopped
	cause   string
	faults  []string
}

// playKind plays a roll-out of a kind.
func playKind(k kind, size int, requests float64, seed uint64) played {
	f := newFleet(seed, size, requests)
	f.good = !k.bad
	f.spread = cmp.Or(k.spread, usualSpread)
	var out played
	var order *orderSeen
	var badSince time.Duration
	f.perform = func(software string, route int, now time.Duration) behaviour {
		if order == nil {
			return usually
		}
		b := k.perform(software, route, now-order.at, f.load(software))
		own := b
		own.held = holdUp{} // that is not the target's
		if k.bad && software == "v2" && own != usually {
			out.exposed++
			if badSince == 0 {
				badSince = now
			}
		}
		return b
	}
	if k.burst {
		f.rate = func(now time.Duration) float64 {
			if order != nil && now >= order.at+20*time.Second && now < order.at+30*time.Second {
				return 6 * requests
			}
			return requests
		}
	}
	f.run(settledTime + time.Duration(seed*370%9000)*time.Millisecond) // turns begin anywhere
	order = f.order("v2", kindWithin)
	f.run(kindWithin + 6*time.Second)
	out.phase = f.phase()
	out.faults = f.faults
	out.cause = f.store.record.Cause
	out.at = order.ended - order.at
	if badSince > 0 && f.lastTarget > badSince {
		out.stop = f.lastTarget - badSince
	}
	return out
}

// right reports whether the roll-out ended as it should.
func (p played) right(k kind) bool { return p.phase == Completed != k.bad }

// TestKinds plays targets that are bad in many ways, and good ones beside a baseline in
// trouble, and prints what came of them. At the higher rate each ends as it should,
// but for faults that are too rare to be seen; at the lower one, where there are some 20
// answers of the target, most good ones do.
func TestKinds(t *testing.T) {
	for _, requests := range []float64{lowRate, *highRate} {
		t.Run(fmt.Sprintf("%g requests a second", requests), func(t *testing.T) {
			var chosen []kind
			for _, k := range kinds() {
				if strings.Contains(k.name, *only) {
					chosen = append(chosen, k)
				}
			}
			reverted, good := 0, 0
			n := *seeds
			if requests == lowRate {
				n *= lowTimes
			}
			for i, all := range playAll(chosen, 12, requests, n) {
				wrong := checkKind(t, chosen[i], requests, all)
				if !chosen[i].bad {
					reverted += wrong
					good += len(all)
				}
			}
			assert.Assert(t, float64(reverted) <= mostReverted*float64(good), "%d of %d good targets", reverted, good)
		})
	}
}

// checkKind checks what came of the roll-outs of a kind, and prints it as a row of a
// table.
func checkKind(t *testing.T, k kind, requests float64, all []played) (wrong int) {
	var stops, exposed []float64
	causes := make(map[string]int)
	for _, p := range all {
		assert.Equal(t, len(p.faults), 0, "%s: %v", k.name, p.faults)
		if !p.right(k) {
			wrong++
		}
		causes[strings.Split(p.cause, ":")[0]]++
		stops = append(stops, p.stop.Seconds())
		exposed = append(exposed, float64(p.exposed))
	}
	t.Logf("| %s | %d of %d | %.1f | %.0f | %v", k.name, wrong, len(all), median(stops), median(exposed), causes)
	if requests != lowRate && !k.rare {
		assert.Assert(t, float64(wrong) <= mostWrong*float64(len(all)), "%s: %d of %d", k.name, wrong, len(all))
	}
	return wrong
}

const (
	lowRate = 5
	// lowTimes is how many times as often kinds are played at the lower rate, where chance
	// decides more.
	lowTimes = 4
	// mostReverted is the part of the good targets that may be reverted: at the lower rate
	// some lack evidence.
	mostReverted = 0.25
	// mostWrong is the part of the roll-outs of a kind that may end wrongly.
	mostWrong = 0.1
)

// playAll plays kinds with all seeds, some at the same time.
func playAll(chosen []kind, size int, requests float64, runs int) [][]played {
	out := make([][]played, len(chosen))
	var wait sync.WaitGroup
	slots := make(chan bool, 6)
	for i, k := range chosen {
		out[i] = make([]played, runs)
		for seed := range out[i] {
			slots <- true
			wait.Go(func() {
				out[i][seed] = playKind(k, size, requests, uint64(seed+1))
				<-slots
			})
		}
	}
	wait.Wait()
	return out
}

func median(x []float64) float64 {
	slices.Sort(x)
	return x[len(x)/2]
}
