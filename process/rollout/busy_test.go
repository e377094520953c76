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
func heldUp(under performance, h holdUp, on func(at time.Duration) bool) performance {
	return func(software string, route int, at time.Duration, load float64) behaviour {
		b := under(software, route, at, load)
		if on(at) {
			b.held = h
		}
		return b
	}
}

// inSpells is on for one second of each five.
func inSpells(at time.Duration) bool { return at/time.Second%5 == 4 }

func allAlong(time.Duration) bool { return true }

// busyKinds are targets at instances that are held up: answers of 30 ms take up to 60 ms more.
func busyKinds() (out []kind) {
	slower := func(factor float64, when func(int, time.Duration, float64) bool) performance {
		return whenBad(behaviour{factor: factor, failed: usually.failed}, when)
	}
	for _, k := range []kind{
		{name: "good", perform: bothWhen(usually, 0, 0)},
		{name: "a tenth slower", perform: slower(1.1, always)},
		{name: "2 times slower", bad: true, perform: slower(2, always)},
		{name: "2 times slower late", bad: true, perform: slower(2, late)},
		{name: "4 times slower", bad: true, perform: slower(4, always)},
		{name: "4 times slower late", bad: true, perform: slower(4, late)},
		{name: "fails 0.2", bad: true, perform: whenBad(behaviour{factor: 1, failed: 0.2}, always)},
	} {
		spells, along := k, k
		spells.name += ", held up in spells"
		spells.perform = heldUp(k.perform, holdUp{part: 0.9, most: 2 * usualTime}, inSpells)
		along.name += ", held up all along"
		along.perform = heldUp(k.perform, holdUp{part: 0.2, most: 2 * usualTime}, allAlong)
		out = append(out, spells, along)
	}
	return out
}

// How often each of them is played. Of good ones a part may be reverted (mostWrong), which few
// plays would not tell from chance.
const (
	busyGoodSeeds = 30
	busyBadSeeds  = 5
)

// TestHeldUpInstances plays good and bad targets at instances that are held up: each ends as it
// should.
func TestHeldUpInstances(t *testing.T) {
	for _, k := range busyKinds() {
		runs := busyGoodSeeds * *seeds
		if k.bad {
			runs = busyBadSeeds * *seeds
		}
		checkKind(t, k, *highRate, playAll([]kind{k}, 12, *highRate, runs)[0])
	}
}
