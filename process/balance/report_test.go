// SPDX-License-Identifier: MIT

package balance

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestReportIsRead checks the forms that a load report may have. Reports of four figures were
// dropped whole, so that nothing was known of the load of servers that tell their host's pace,
// and requests went to full ones.
func TestParseReport(t *testing.T) {
	for text, want := range map[string]*Report{
		"":              nil,
		"3,0,8":         {Running: 3, Slots: 8},
		"3,1,8,100":     {Running: 3, Waiting: 1, Slots: 8, Slowdown: 1},
		" 3, 1 ,8, 250": {Running: 3, Waiting: 1, Slots: 8, Slowdown: 2.5},
		"3,1,8,62.5":    {Running: 3, Waiting: 1, Slots: 8, Slowdown: 0.625},
		"0,0,1,1e9":     {Slots: 1, Slowdown: maxSlowdown},
		"0,0,1,1":       {Slots: 1, Slowdown: minSlowdown},
	} {
		r, err := ParseReport(text)
		assert.NilError(t, err, text)
		assert.DeepEqual(t, r, want)
	}
}

// TestBadReportIsDroppedAlone checks that a report is dropped if one of its counts can't be
// used, and that a bad pace does not take the counts with it.
func TestParseReportErrors(t *testing.T) {
	for _, text := range []string{"3", "3,0", "3,0,8,100,1", "a,0,8", "-1,0,8", "3,,8,100", "3,0,8.5", "99999999999999999999,0,8", ",,"} {
		r, err := ParseReport(text)
		assert.Assert(t, err != nil && r == nil, "%q: %v", text, r)
	}
	for _, text := range []string{"3,0,8,", "3,0,8,x", "3,0,8,0", "3,0,8,-100", "3,0,8,NaN", "3,0,8,+Inf"} {
		r, err := ParseReport(text)
		assert.Assert(t, err != nil, text)
		assert.DeepEqual(t, r, &Report{Running: 3, Slots: 8})
	}
}

func FuzzParseReport(f *testing.F) {
	for _, text := range []string{"3,0,8", "3,0,8,250", "3,0,8,1e400", "-0,0,0,-0", "\x00,1,2"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		r, _ := ParseReport(text) // that it is wrong is no failure
		if r == nil {
			return
		}
		whole := r.Running >= 0 && r.Waiting >= 0 && r.Slots >= 0
		if !whole || r.Slowdown != 0 && !(r.Slowdown >= minSlowdown && r.Slowdown <= maxSlowdown) {
			t.Fatalf("%q: %+v", text, r)
		}
	})
}

// TestPaceAges checks that what was told of a host is believed less as it ages, since hosts
// change their pace many times a second.
func TestSlowdownDecays(t *testing.T) {
	var p slowdown
	life := DefaultPolicy().SlowdownDecay
	assert.Equal(t, p.expected(time.Hour, life), 1.0)
	p.record(Report{Slowdown: 2.5}, time.Hour)
	assert.Equal(t, p.expected(time.Hour, life), 2.5)
	assert.Assert(t, p.expected(time.Hour+life, life) < 1.6)
	assert.Assert(t, p.expected(time.Hour+10*life, life) < 1.001)
	p.record(Report{Running: 1}, time.Hour+life) // says nothing of the pace
	assert.Equal(t, p.expected(time.Hour, life), 2.5)
}

// TestSlowHostGetsLess checks that a request goes to another server while the host of the
// object's first one is slow, and back once that is long ago.
func TestSlowHostGetsFewerRequests(t *testing.T) {
	p := newFixture(1)
	for _, name := range []string{"u", "v"} {
		p.backend(name, 0, nil)
	}
	p.install()
	first := p.pick(t, 7)
	home := first.Name
	first.Done(Answered, &Report{Slots: 6, Slowdown: 1})
	other := p.pickOther(t, 7, home)
	other.Done(Answered, &Report{Slots: 6, Slowdown: 1}) // has seen the object as well
	slow := p.pick(t, 7)
	assert.Equal(t, slow.Name, home)
	slow.Done(Answered, &Report{Slots: 6, Slowdown: 4})
	moved := p.pick(t, 7)
	assert.Assert(t, moved.Name != home)
	moved.Done(Abandoned, nil)
	p.now += 5 * DefaultPolicy().SlowdownDecay
	back := p.pick(t, 7)
	assert.Equal(t, back.Name, home)
}

// TestNoisyHostTeachesNoSlowness checks that a server whose host is slow for half of the time is
// not taken for a slow server: what its answers took is set against the pace of their time.
func TestHostSlowdownDoesNotAffectTypicalWork(t *testing.T) {
	work := func(pace func(i int) float64) time.Duration {
		p := newFixture(1)
		p.backend("u", 0, nil)
		p.install()
		for i := range 400 {
			k := p.pick(t, 7)
			p.now += time.Duration(100 * pace(i) * float64(time.Millisecond))
			k.Done(Answered, &Report{Slots: 6, Slowdown: pace(i)})
		}
		return p.states[0].typicalWork()
	}
	calm := work(func(int) float64 { return 1 })
	noisy := work(func(i int) float64 { return 1 + 1.5*float64(i/4%2) })
	assert.Assert(t, math.Abs(float64(noisy-calm)) < 0.05*float64(calm), fmt.Sprint(noisy, calm))
}
