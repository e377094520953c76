// SPDX-License-Identifier: MIT

package balance

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestParseReport checks the forms that a load report may have. Reports with four fields were once
// dropped, so that nothing was known of the load of servers that report their host's slowdown, and
// requests went to full ones.
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

// TestParseReportErrors checks that a report with an invalid count is dropped, and that an invalid
// slowdown does not invalidate the counts.
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
		r, _ := ParseReport(text) // invalid text is expected
		if r == nil {
			return
		}
		validCounts := r.Running >= 0 && r.Waiting >= 0 && r.Slots >= 0
		if !validCounts || r.Slowdown != 0 && !(r.Slowdown >= minSlowdown && r.Slowdown <= maxSlowdown) {
			t.Fatalf("%q: %+v", text, r)
		}
	})
}

// TestSlowdownDecays checks that a reported slowdown loses weight with age, since the speed of
// hosts changes many times a second.
func TestSlowdownDecays(t *testing.T) {
	var s slowdown
	decay := DefaultPolicy().SlowdownDecay
	assert.Equal(t, s.expected(time.Hour, decay), 1.0)
	s.record(Report{Slowdown: 2.5}, time.Hour)
	assert.Equal(t, s.expected(time.Hour, decay), 2.5)
	assert.Assert(t, s.expected(time.Hour+decay, decay) < 1.6)
	assert.Assert(t, s.expected(time.Hour+10*decay, decay) < 1.001)
	s.record(Report{Running: 1}, time.Hour+decay) // reports no slowdown
	assert.Equal(t, s.expected(time.Hour, decay), 2.5)
}

// TestSlowHostGetsFewerRequests checks that a request goes to another server while the host of the
// object's first choice is slow, and back when the report is old.
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

// TestHostSlowdownDoesNotAffectTypicalWork checks that a server whose host is slow for half of the
// time is not taken for a slow server: the duration of responses is divided by the slowdown at that
// time.
func TestHostSlowdownDoesNotAffectTypicalWork(t *testing.T) {
	work := func(slowdown func(i int) float64) time.Duration {
		p := newFixture(1)
		p.backend("u", 0, nil)
		p.install()
		for i := range 400 {
			k := p.pick(t, 7)
			p.now += time.Duration(100 * slowdown(i) * float64(time.Millisecond))
			k.Done(Answered, &Report{Slots: 6, Slowdown: slowdown(i)})
		}
		return p.states[0].typicalWork()
	}
	calm := work(func(int) float64 { return 1 })
	noisy := work(func(i int) float64 { return 1 + 1.5*float64(i/4%2) })
	assert.Assert(t, math.Abs(float64(noisy-calm)) < 0.05*float64(calm), fmt.Sprint(noisy, calm))
}
