// SPDX-License-Identifier: MIT

package rollout

import (
	"testing"
	"time"
)

// What follows is of instances whose machines give them their turns late. Seen: on a machine with
// 8 processors and 24 busy threads besides, a good target was reverted in 4 of 16 roll-outs,
// "target is slow" or "an instance has stopped": answers of 8 ms took up to 30 ms more, of both
// versions alike. Cause: once the target has all requests there is no baseline of the same moment
// to compare with, and what the instance's own machine added to the answers was put down to the
// target.

// heldUp lets both versions' answers come late while it is on.
func stalledWhen(under behaviourAt, h stall, on func(at time.Duration) bool) behaviourAt {
	return func(software string, route int, at time.Duration, load float64) behaviour {
		b := under(software, route, at, load)
		if on(at) {
			b.stall = h
		}
		return b
	}
}

// inSpells is on for one second of each five.
func inBursts(at time.Duration) bool { return at/time.Second%5 == 4 }

func allTheTime(time.Duration) bool { return true }

// busyKinds are targets at instances that are held up: answers of 30 ms take up to 60 ms more.
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
		spells, along := k, k
		spells.name += ", held up in spells"
		spells.behave = stalledWhen(k.behave, stall{fraction: 0.9, maxDelay: 2 * meanLatency}, inBursts)
		along.name += ", held up all along"
		along.behave = stalledWhen(k.behave, stall{fraction: 0.2, maxDelay: 2 * meanLatency}, allTheTime)
		out = append(out, spells, along)
	}
	return out
}

// How often each of them is played. Of good ones a part may be reverted (mostWrong), which few
// plays would not tell from chance.
const (
	stalledGoodSeeds = 30
	stalledBadSeeds  = 5
)

// TestHeldUpInstances plays good and bad targets at instances that are held up: each ends as it
// should.
func TestStalledInstances(t *testing.T) {
	for _, k := range stalledKinds() {
		runs := stalledGoodSeeds * *seeds
		if k.bad {
			runs = stalledBadSeeds * *seeds
		}
		checkKind(t, k, *highRate, playAll([]targetKind{k}, 12, *highRate, runs)[0])
	}
}
