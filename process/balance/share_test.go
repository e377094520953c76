// SPDX-License-Identifier: MIT

package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBusyBackendShedsObjectsGradually checks that a backend server that reports more load than
// the others sheds objects a few at a time, that no others move, and that it gets the same ones
// back.
func TestBusyBackendShedsObjectsGradually(t *testing.T) {
	p := newFixture(1)
	for _, name := range []string{"a", "b", "c", "d"} {
		p.backend(name, 0, nil)
	}
	p.install()
	const objects = 400
	firstChoices := func() map[uint64]string {
		out := make(map[uint64]string)
		for object := range uint64(objects) {
			k := p.pick(t, object+1)
			out[object+1] = k.Name
			k.Done(Abandoned, nil)
		}
		return out
	}
	report := func(busy Report) {
		for object := range uint64(objects) {
			k := p.pick(t, object+1)
			r := Report{Running: 3, Slots: 6}
			if k.Name == "a" {
				r = busy
			}
			k.Done(Answered, &r)
		}
	}
	before := firstChoices()
	last := before
	for range 5 {
		for range 8 { // two seconds
			p.now += p.Policy.ShareInterval
			report(Report{Running: 6, Waiting: 4, Slots: 6})
		}
		p.now += 5 * time.Second // so that earlier reports no longer count
		now := firstChoices()
		moved := 0
		for object, name := range now {
			if name == last[object] {
				continue
			}
			moved++
			assert.Equal(t, last[object], "a", "an object of another backend server moved")
		}
		assert.Assert(t, moved > 0 && moved < objects/10, "%d objects moved in two seconds", moved)
		last = now
	}
	for range 200 {
		p.now += p.Policy.ShareInterval
		report(Report{Running: 1, Slots: 6})
	}
	assert.DeepEqual(t, firstChoices(), before)
}

// TestInstallDoesNotSpeedUpShareSteps checks that installing a version does not advance the time
// of the next step of the shares.
func TestInstallDoesNotSpeedUpShareSteps(t *testing.T) {
	p := newFixture(1)
	for _, name := range []string{"a", "b", "c", "d"} {
		p.backend(name, 0, nil)
	}
	p.install()
	for object := range uint64(400) {
		k := p.pick(t, object+1)
		r := Report{Running: 3, Slots: 6}
		if k.Name == "a" {
			r = Report{Running: 6, Waiting: 6, Slots: 6}
		}
		k.Done(Answered, &r)
	}
	p.now += p.Policy.ShareInterval
	for range 10 {
		p.now += time.Millisecond
		p.install()
		p.pick(t, 1).Done(Abandoned, nil)
	}
	minKept := 1 - 2*p.Policy.ShareStep // after one step
	kept := p.stateOf("a").share.kept
	assert.Assert(t, kept < 1 && kept >= minKept, "kept %.3f after the time of one step", kept)
}
