// SPDX-License-Identifier: MIT

package rollout

import (
	"container/heap"
	"math"
	"time"
)

// run moves the clock on.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += modelStep {
		for len(f.queue) > 0 && f.queue[0].at <= f.now {
			heap.Pop(&f.queue).(event).do()
		}
		beats := f.now%beatTime < modelStep
		for _, x := range f.nodes {
			x.noteSound()
			if x.dead || x.frozen {
				continue
			}
			if beats {
				x.beat()
				x.lookAround()
			}
			if f.now >= x.nextAt {
				x.nextAt = f.now + TickTime
				x.tick()
			}
		}
		f.come()
	}
}

// come lets requests come.
func (f *fleet) come() {
	f.missing += f.rate(f.now) * modelStep.Seconds()
	n := int(f.missing)
	f.missing -= float64(n)
	for range n {
		x := f.nodes[f.random.IntN(len(f.nodes))]
		if x.dead || x.frozen {
			continue
		}
		route, at := 0, f.random.Float64()
		for at -= f.routes[0]; at > 0 && route < len(f.routes)-1; at -= f.routes[route] {
			route++
		}
		x.request(route, f.random.IntN(1000), 1)
	}
}

// homesOf are the backend servers of a version.
func (f *fleet) homesOf(software string) []Home {
	if !runs(software, f.running) {
		return nil
	}
	return f.homes
}

// homeOf is the home of an object.
func (f *fleet) homeOf(object int) uint64 {
	return f.homes[int(uint64(object)*0x9e3779b97f4a7c15>>33)%len(f.homes)].Hash
}

var routeNames = []string{"r0", "r1", "r2", "r3", "r4", "r5", "r6", "r7"}

// request sends a request, and another one if it fails.
func (x *node) request(route, object, attempt int) {
	f := x.f
	home := func() (uint64, bool) {
		if len(f.homesOf(x.target())) == 0 {
			return 0, false
		}
		return f.homeOf(object), true
	}
	a := x.r.Begin("s", routeNames[route], attempt == 1, home)
	software := x.before
	if a.Target() != "" {
		software = x.target()
		if len(f.homesOf(software)) == 0 {
			if !a.Decline(false) {
				a.Done(Outcome{Inconclusive: true})
				return
			}
			software = x.before
		}
	}
	b := f.perform(software, route, f.now)
	took := time.Duration(float64(usualTime) * b.factor * math.Exp(f.spread*f.random.NormFloat64()))
	unseen := f.random.Float64() < b.unseen
	if unseen {
		took = took * 2
	}
	if b.held.part > 0 {
		x.noteHoldUp(b.held)
		if f.random.Float64() < b.held.part {
			took += time.Duration(f.random.Float64() * float64(b.held.most))
		}
	}
	failed := f.random.Float64() < b.failed
	f.count(x, software)
	f.sentTo(software).add(f.now)
	x.now[software]++
	life := x.life
	f.after(took, func() {
		x.do(func() {
			if x.life != life || x.dead {
				return
			}
			x.now[software]--
			a.Done(Outcome{Failed: failed, Took: took, Cold: b.cold, Unseen: unseen})
			if failed && software == "v2" && !f.good {
				f.bad = append(f.bad, f.now)
			}
			if failed && attempt < 3 {
				x.request(route, object, attempt+1)
			}
		})
	})
}

func (f *fleet) sentTo(software string) *rateMeter {
	w := f.sent[software]
	if w == nil {
		w = &rateMeter{}
		f.sent[software] = w
	}
	return w
}

// load is what a version gets, as a part of all requests.
func (f *fleet) load(software string) float64 {
	return f.sentTo(software).now(f.now) / f.rate(f.now)
}
