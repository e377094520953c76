// SPDX-License-Identifier: MIT

package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBusyBackendGivesUpObjectsSlowly checks that a backend server that says it is
// busier than the others gives objects up a few at a time, that no others move,
// and that it gets the same ones back.
func TestBusyBackendShedsObjectsGradually(t *testing.T) {
	p := newFixture(1)
	for _, name := range []string{"a", "b", "c", "d"} {
		p.backend(name, 0, nil)
	}
	p.install()
	const objects = 400
	places := func() map[uint64]string {
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
	before := places()
	last := before
	for range 5 {
		for range 8 { // two seconds
			p.now += p.Policy.ShareInterval
			report(Report{Running: 6, Waiting: 4, Slots: 6})
		}
		p.now += 5 * time.Second // so that what is out and was reported counts no more
		now := places()
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
	assert.DeepEqual(t, places(), before)
}

// TestVersionsInQuickSuccessionMoveNoSharesFaster checks that installing a version
// does not let the next step of the shares come sooner.
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
	least := 1 - 2*p.Policy.ShareStep // of one step
	kept := p.stateOf("a").share.kept
	assert.Assert(t, kept < 1 && kept >= least, "kept %.3f after one step's time", kept)
}
