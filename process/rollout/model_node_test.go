// SPDX-License-Identifier: MIT

package rollout

import "time"

// start starts the process of a node.

func (x *node) start() {
	f := x.f
	x.life++
	x.dead, x.frozen, x.frozenQ = false, false, nil
	x.started = f.now
	x.version = -1
	x.order, x.record, x.before = nil, nil, ""
	x.now, x.lastTo = make(map[string]int), make(map[string]time.Duration)
	x.heard = make([]time.Duration, f.size)
	x.lookAround()
	x.nextAt = f.now + time.Duration(f.random.Int64N(int64(TickTime)))
	x.r = &Rollouts{
		Now: func() time.Duration { return f.now }, Bounds: f.bounds, Incarnation: int64(x.index)<<32 + int64(x.life),
		Owner: x.ownerNow, Live: func() []string { return x.lives },
		InFlight: func(string) int { return x.now[x.before] }, Send: x.send,
		Random: f.random.Float64, Late: x.lateness, Introduce: x.introduce,
	}
	x.read()
}

// ownerNow is who owns the roll-out as x knows now: by the rank that is looked up each beat only,
// to save time.
func (x *node) ownerNow(string) Owner {
	if x.f.ownerFor != nil {
		return x.owner()
	}
	return x.ownerIs
}

// noteHoldUp notes by how much the machine of x is late with turns, as x itself sees it.
func (x *node) noteHoldUp(h holdUp) { x.late, x.lateAt = h.most, x.f.now }

// lateness is by how much x was given its turns late within the last second, at most.
func (x *node) lateness() time.Duration {
	if x.lateAt == 0 || x.f.now-x.lateAt > time.Second {
		return 0
	}
	return x.late
}

// live returns the instances that x takes for alive.
func (x *node) live() []string {
	out := []string{""}
	for _, o := range x.f.nodes {
		if o != x && x.takesForAlive(o) {
			out = append(out, o.name)
		}
	}
	return out
}

// lookAround notes who lives and who owns the roll-out.
func (x *node) lookAround() {
	x.lives = x.live()
	x.ownerIs = x.owner()
}

// takesForAlive: heartbeats come twice a second, so an instance counts as dead a while
// after the last one.
func (x *node) takesForAlive(o *node) bool {
	return x.heard[o.index] > 0 && x.f.now-x.heard[o.index] < deadAfter
}

func (x *node) beat() {
	for _, o := range x.f.nodes {
		if o != x && !o.dead && !x.cutOut && !o.cutIn {
			o.heard[x.index] = x.f.now
		}
	}
}

func (x *node) owner() Owner {
	best := x
	if x.f.ownerFor != nil {
		best = x.f.ownerFor(x)
		if best == x {
			return Owner{Name: x.name}
		}
		return Owner{Name: best.name, Address: best.name}
	}
	for _, o := range x.f.nodes {
		if o != x && !x.takesForAlive(o) {
			continue
		}
		if o.rank < best.rank {
			best = o
		}
	}
	if best == x {
		return Owner{Name: x.name}
	}
	return Owner{Name: best.name, Address: best.name}
}

func (x *node) send(address string, text []byte) {
	f := x.f
	f.bytes[x.name] += len(text) + headers
	f.got[address] += len(text) + headers
	if x.cutOut || f.random.Float64() < f.loss {
		return
	}
	o := f.byName[address]
	life := o.life
	f.after(time.Millisecond+time.Duration(f.random.Int64N(int64(24*time.Millisecond))), func() {
		if o.dead || o.life != life || o.cutIn {
			return
		}
		o.do(func() { o.r.Hear(x.name, text) })
	})
}

// introduce tells the node at an address who x is.
func (x *node) introduce(address string) {
	f := x.f
	f.bytes[x.name] += introductionBytes + headers
	if f.introduced == nil || x.cutOut || f.random.Float64() < f.loss {
		return
	}
	o := f.byName[address]
	f.after(time.Millisecond+time.Duration(f.random.Int64N(int64(24*time.Millisecond))), func() {
		if !o.dead && !o.cutIn {
			o.do(func() { f.introduced(x, o) })
		}
	})
}

// introductionBytes is the usual size of such a datagram.
const introductionBytes = 110

// do runs something at the node, or once it is no longer frozen.
func (x *node) do(f func()) {
	if x.frozen {
		x.frozenQ = append(x.frozenQ, f)
		return
	}
	f()
}

func (x *node) thaw() {
	x.frozen = false
	queue := x.frozenQ
	x.frozenQ = nil
	for _, f := range queue {
		f()
	}
}

// owner is who owns the roll-out by what a node knows.
func (f *fleet) owner(x *node) *node {
	o := x.owner()
	for _, y := range f.nodes {
		if y.name == o.Name {
			return y
		}
	}
	return x
}

func (x *node) kill() {
	x.dead = true
	for k := range x.now {
		x.now[k] = 0
	}
}

// read follows the tables with some delay.
func (x *node) read() {
	if x.noStore || x.f.store.away {
		if x.version < 0 { // it starts without
			x.install(nil, nil, 0)
		}
		return
	}
	s := &x.f.store
	if x.version == s.version {
		return
	}
	version, order, record, revision, life := s.version, s.order, s.record, s.revision, x.life
	if x.version < 0 {
		x.version = version
		x.install(order, record, revision)
		return
	}
	x.version = version
	x.f.after(s.delay(), func() {
		x.do(func() {
			if x.life == life && !x.dead && x.version == version {
				x.install(order, record, revision)
			}
		})
	})
}

func (x *node) install(order *Order, record *Record, revision int64) {
	x.order, x.record = order, record
	software := Admit(order, record, x.f.running, x.before)
	x.before = software.InForce
	var all []Service
	if order != nil || record != nil && !record.Phase.Ended() {
		all = append(all, Service{
			Name: "s", Order: order, Record: record, Revision: revision, InForce: software.InForce, InForceSlots: 48, Homes: x.f.homesOf(software.Target),
		})
	}
	x.r.Install(all)
}

// target is the version that may be tried at x.
func (x *node) target() string { return Admit(x.order, x.record, x.f.running, x.before).Target }

func (x *node) tick() {
	x.read()
	x.r.Tick()
	if x.noStore || x.f.store.away {
		return
	}
	for _, p := range x.r.Proposals(x.f.now + 1000*time.Hour) {
		x.write(p)
	}
}

// write writes a proposal, under the condition that the row is as it was read.
func (x *node) write(p Proposal) {
	f, life := x.f, x.life
	f.after(f.store.delay(), func() {
		if f.store.away || f.store.revision != p.Revision || x.life != life || x.dead {
			return
		}
		if do := f.onWrite; do != nil {
			f.onWrite = nil
			if !do(x) {
				return
			}
		}
		f.put(p.Record)
		revision := f.store.revision
		f.after(f.store.delay(), func() {
			if x.life == life && !x.dead && f.random.Float64() >= f.loss {
				x.do(func() { x.r.Written(p, revision) })
			}
		})
	})
}
