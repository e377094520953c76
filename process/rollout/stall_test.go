// SPDX-License-Identifier: MIT

package rollout

import (
	"testing"
	"time"
)

// The tests in this file simulate instances whose processes are stalled. On a machine with 8
// processors and 24 busy threads besides, a good target was reverted in 4 of 16 rollouts with
// "target is slow" or "an instance has stopped". Responses of 8 ms took up to 30 ms longer, for
// both versions alike. Once the target gets all requests there is no baseline of the same time to
// compare with, so the delay of the instance's own process was attributed to the target.

// stalledWhen delays responses of both versions while on returns true.
func stalledWhen(behave behaviourAt, s stall, on func(at time.Duration) bool) behaviourAt {
	return func(software string, route int, at time.Duration, load float64) behaviour {
		b := behave(software, route, at, load)
		if on(at) {
			b.stall = s
		}
		return b
	}
}

// inBursts is true for one second of every five.
func inBursts(at time.Duration) bool { return at/time.Second%5 == 4 }

func allTheTime(time.Duration) bool { return true }

// stalledKinds are targets at stalled instances: responses of 30 ms take up to 60 ms longer.
func stalledKinds() (out []targetKind) {
	slower := func(factor float64, when func(int, time.Duration, float64) bool) behaviourAt {
		return whenBad(behaviour{factor: factor, failedFraction: goodBehaviour.failedFraction}, when)
	}
	for _, k := range []targetKind{
		{name: "good", behave: bothDuring(goodBehaviour, 0, 0)},
		{name: "a tenth slower", behave: slower(1.1, always)},
		{name: "2 times slower", bad: true, behave: slower(2, always)},
		{name: "2 times slower late", bad: true, behave: slower(2, late)},
		{name: "4 times slower", bad: true, behave: slower(4, always)},
		{name: "4 times slower late", bad: true, behave: slower(4, late)},
		{name: "fails 0.2", bad: true, behave: whenBad(behaviour{factor: 1, failedFraction: 0.2}, always)},
	} {
		bursts, steady := k, k
		bursts.name += ", stalled in bursts"
		bursts.behave = stalledWhen(k.behave, stall{fraction: 0.9, maxDelay: 2 * medianLatency}, inBursts)
		steady.name += ", stalled all the time"
		steady.behave = stalledWhen(k.behave, stall{fraction: 0.2, maxDelay: 2 * medianLatency}, allTheTime)
		out = append(out, bursts, steady)
	}
	return out
}

// How many runs each kind gets. A part of the good targets may be reverted (maxWrong), which takes
// more runs to distinguish from chance.
const (
	stalledGoodSeeds = 30
	stalledBadSeeds  = 5
)

// TestStalledInstances runs good and bad targets at stalled instances and checks the outcome.
func TestStalledInstances(t *testing.T) {
	for _, k := range stalledKinds() {
		runs := stalledGoodSeeds * *seeds
		if k.bad {
			runs = stalledBadSeeds * *seeds
		}
		checkKind(t, k, *highRate, runAll([]targetKind{k}, 12, *highRate, runs)[0])
	}
}
