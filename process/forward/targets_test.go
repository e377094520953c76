// SPDX-License-Identifier: MIT

package forward

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"shalewick/conn"
)

// fixture holds targets with a clock and a list that the test changes.
type fixture struct {
	*Targets
	now  time.Duration
	list []Instance
}

func newFixture(self string, list ...Instance) *fixture {
	f := &fixture{now: time.Hour, list: list}
	f.Targets = &Targets{
		Now: func() time.Duration { return f.now }, Self: self, Region: func() string { return "r0" },
		List:    func() []Instance { return slices.Clone(f.list) },
		NewPool: func(a string) *conn.Pool { return &conn.Pool{Address: a} },
	}
	return f
}

func instance(name, region string) Instance {
	return Instance{Name: name, Incarnation: 1, Address: name, Region: region}
}

// TestNearestIdleTargetFirst checks the order of targets: of the own region, of others, then busy
// ones.
func TestNearestIdleTargetFirst(t *testing.T) {
	busy := instance("busy", "r0")
	busy.Busy = true
	f := newFixture("self", busy, instance("far", "r1"), instance("near", "r0"))
	var tried []string
	for range 3 {
		p := f.Pick(&Query{Service: "s", Tried: tried})
		tried = append(tried, p.Name)
	}
	assert.DeepEqual(t, tried, []string{"near", "far", "busy"})
	assert.Assert(t, f.Pick(&Query{Service: "s", Tried: tried}) == nil)
	south := func(region string) bool { return region == "r1" }
	assert.Equal(t, f.Pick(&Query{Service: "s", Allowed: south}).Name, "far")
}

// TestFailingTargetsPause checks how long an instance that could not be reached, or can't serve a
// service, gets no requests, and that a single one tests it afterwards.
func TestFailingTargetsPause(t *testing.T) {
	f := newFixture("self", instance("a", "r0"))
	q := &Query{Service: "s"}
	for _, pause := range []time.Duration{500, 1000, 2000, 4000, 4000} {
		f.Pick(q).Done(Declined)
		f.now += pause*time.Millisecond - 1
		assert.Assert(t, !f.Available(q))
		assert.Assert(t, f.Available(&Query{Service: "other"}))
		f.now++
	}
	trial := f.Pick(q)
	assert.Assert(t, !f.Available(q), "one request at a time tests it")
	trial.Done(Served)
	assert.Assert(t, f.Available(q))
	f.Pick(q).Done(Unreachable)
	assert.Assert(t, !f.Available(&Query{Service: "other"}))
	f.now += minUnreachablePause
	assert.Assert(t, f.Available(q))
	f.list[0].Incarnation++
	f.Pick(q).Done(Unreachable)
	f.now += refreshInterval
	assert.Assert(t, f.Available(q), "it was started again")
}

// TestRequestsSpreadOverTargets checks that targets get about as many requests at a time, and that no
// more than maxPerRegion of a region are used.
func TestRequestsSpreadOverTargets(t *testing.T) {
	var all []Instance
	for i := range 100 {
		all = append(all, instance(fmt.Sprintf("i%d", i), "r0"))
	}
	f := newFixture("i0", all...)
	inFlight := make(map[string]int)
	for range 400 {
		inFlight[f.Pick(&Query{Service: "s"}).Name]++
	}
	assert.Equal(t, len(inFlight), maxPerRegion)
	for name, n := range inFlight {
		assert.Assert(t, n >= 40 && n <= 60, "%s has %d", name, n)
	}
	assert.Equal(t, inFlight["i0"], 0)
}

// fleet is a model of instances without a network: some have lost their links, and what the others
// know of that is old.
type fleet struct {
	now       time.Duration
	instances []*fixture
	lost      []bool // by instance
	announced []bool // whether the others know
	inFlight  []int
	hops      int // forwarded requests
}

func newFleet(size, regions int) *fleet {
	f := &fleet{now: time.Hour, lost: make([]bool, size), announced: make([]bool, size), inFlight: make([]int, size)}
	name := func(i int) string { return fmt.Sprintf("i%d", i) }
	for i := range size {
		x := newFixture(name(i))
		x.Now = func() time.Duration { return f.now }
		x.Region = func() string { return fmt.Sprintf("r%d", i%regions) }
		x.List = func() []Instance {
			var out []Instance
			for k := range size {
				if k != i && !f.announced[k] {
					out = append(out, instance(name(k), fmt.Sprintf("r%d", k%regions)))
				}
			}
			return out
		}
		f.instances = append(f.instances, x)
	}
	return f
}

// send sends a request to an instance, and reports whether it was served. It is in flight at the
// instance that serves it until release is called.
func (f *fleet) send(i int) (served bool, release func()) {
	if !f.lost[i] {
		return true, func() {}
	}
	var tried []string
	for range 3 {
		p := f.instances[i].Pick(&Query{Service: "s", Tried: tried})
		if p == nil {
			break
		}
		f.hops++
		tried = append(tried, p.Name)
		var k int
		_, _ = fmt.Sscanf(p.Name, "i%d", &k)
		if f.lost[k] {
			p.Done(Declined) // it does not forward in its turn
			continue
		}
		f.inFlight[k]++
		return true, func() { f.inFlight[k]--; p.Done(Served) }
	}
	return false, nil
}

// TestFleetModel checks, for fleets of 12, 90 and 985 instances of which any have lost their links: the
// others are not asked more than a bounded number of times while nobody can serve, the load spreads, and
// every request is served as long as the own region or the chosen instances of another one can.
func TestFleetModel(t *testing.T) {
	for _, size := range []int{12, 90, 985} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				f := newFleet(size, 3)
				share := rapid.SampledFrom([]float64{0.1, 0.5, 0.9, 1}).Draw(t, "share")
				lost := max(1, int(share*float64(size)))
				for _, i := range rapid.Permutation(indexes(size)).Draw(t, "order")[:lost] {
					f.lost[i] = true
				}
				sender := slices.Index(f.lost, true)
				for range 20 { // the others don't know yet
					if served, release := f.send(sender); served {
						release()
					}
				}
				copy(f.announced, f.lost)
				f.now += refreshInterval
				f.hops = 0
				for range 100 {
					if _, release := f.send(sender); release != nil {
						defer release()
					}
				}
				if lost == size {
					if f.hops != 0 {
						t.Fatalf("%d hops though nobody can serve", f.hops)
					}
					return
				}
				working := min(size-lost, maxPerRegion)
				if f.hops != 100 {
					t.Fatalf("%d hops for 100 requests", f.hops)
				}
				if most := slices.Max(f.inFlight); size-lost > 3*maxPerRegion && most > 3*100/working {
					t.Fatalf("%d of 100 requests at one of %d instances", most, working)
				}
			})
		})
	}
}

// TestUnannouncedOutageIsBounded checks that requests are not multiplied while no instance can serve,
// and none has announced it: each target declines a few times, and is then left alone.
func TestUnannouncedOutageIsBounded(t *testing.T) {
	f := newFleet(985, 3)
	for i := range f.lost {
		f.lost[i] = true
	}
	for range 1000 {
		f.send(0)
		f.now += time.Millisecond
	}
	assert.Assert(t, f.hops <= 2*3*maxPerRegion, "%d hops for 1000 requests", f.hops)
}

func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}
