// SPDX-License-Identifier: MIT

package rollout

import (
	"container/heap"
	"math"
	"time"
)

// run advances the simulated time.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += modelStep {
		for len(f.queue) > 0 && f.queue[0].at <= f.now {
			heap.Pop(&f.queue).(event).run()
		}
		heartbeat := f.now%heartbeatInterval < modelStep
		for _, x := range f.nodes {
			x.trackConnection()
			if x.down || x.frozen {
				continue
			}
			if heartbeat {
				x.sendHeartbeats()
				x.refreshLive()
			}
			if f.now >= x.nextTickAt {
				x.nextTickAt = f.now + TickInterval
				x.tick()
			}
		}
		f.sendRequests()
	}
}

// sendRequests sends the requests of one step.
func (f *fleet) sendRequests() {
	f.fractionDue += f.rate(f.now) * modelStep.Seconds()
	n := int(f.fractionDue)
	f.fractionDue -= float64(n)
	for range n {
		x := f.nodes[f.random.IntN(len(f.nodes))]
		if x.down || x.frozen {
			continue
		}
		route, at := 0, f.random.Float64()
		for at -= f.routes[0]; at > 0 && route < len(f.routes)-1; at -= f.routes[route] {
			route++
		}
		x.request(route, f.random.IntN(1000), 1)
	}
}

// homesOf returns the backend servers of a version.
func (f *fleet) homesOf(software string) []Home {
	if !isRunning(software, f.running) {
		return nil
	}
	return f.homes
}

// homeOf returns the home of an object.
func (f *fleet) homeOf(object int) uint64 {
	return f.homes[int(uint64(object)*0x9e3779b97f4a7c15>>33)%len(f.homes)].Hash
}

var routeNames = []string{"r0", "r1", "r2", "r3", "r4", "r5", "r6", "r7"}

// request sends a request, and retries it if it fails.
func (x *node) request(route, object, attempt int) {
	f := x.f
	home := func() (uint64, bool) {
		if len(f.homesOf(x.target())) == 0 {
			return 0, false
		}
		return f.homeOf(object), true
	}
	a := x.controller.Begin("s", routeNames[route], attempt == 1, home)
	software := x.inForce
	if a.Target() != "" {
		software = x.target()
		if len(f.homesOf(software)) == 0 {
			if !a.Decline(false) {
				a.Done(Outcome{Inconclusive: true})
				return
			}
			software = x.inForce
		}
	}
	b := f.behave(software, route, f.now)
	latency := time.Duration(float64(medianLatency) * b.factor * math.Exp(f.spread*f.random.NormFloat64()))
	unseen := f.random.Float64() < b.unseenFraction
	if unseen {
		latency = latency * 2
	}
	if b.stall.fraction > 0 {
		x.noteStall(b.stall)
		if f.random.Float64() < b.stall.fraction {
			latency += time.Duration(f.random.Float64() * float64(b.stall.maxDelay))
		}
	}
	failed := f.random.Float64() < b.failedFraction
	f.count(x, software)
	f.sentTo(software).add(f.now)
	x.inFlight[software]++
	incarnation := x.incarnation
	f.after(latency, func() {
		x.run(func() {
			if x.incarnation != incarnation || x.down {
				return
			}
			x.inFlight[software]--
			a.Done(Outcome{Failed: failed, Latency: latency, Cold: b.cold, Unseen: unseen})
			if failed && software == "v2" && !f.good {
				f.badResponses = append(f.badResponses, f.now)
			}
			if failed && attempt < 3 {
				x.request(route, object, attempt+1)
			}
		})
	})
}

func (f *fleet) sentTo(software string) *rateMeter {
	m := f.sent[software]
	if m == nil {
		m = &rateMeter{}
		f.sent[software] = m
	}
	return m
}

// load returns the requests that a version gets, as a fraction of all requests.
func (f *fleet) load(software string) float64 {
	return f.sentTo(software).perSecond(f.now) / f.rate(f.now)
}
