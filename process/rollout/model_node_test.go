// SPDX-License-Identifier: MIT

package rollout

import "time"

func (x *node) start() {
	f := x.f
	x.incarnation++
	x.down, x.frozen, x.frozenQueue = false, false, nil
	x.startedAt = f.now
	x.version = -1
	x.order, x.record, x.inForce = nil, nil, ""
	x.inFlight, x.lastSentTo = make(map[string]int), make(map[string]time.Duration)
	x.lastHeartbeat = make([]time.Duration, f.size)
	x.refreshLive()
	x.nextTickAt = f.now + time.Duration(f.random.Int64N(int64(TickInterval)))
	x.controller = &Controller{
		Now: func() time.Duration { return f.now }, Bounds: f.bounds, Incarnation: int64(x.index)<<32 + int64(x.incarnation),
		Owner: x.ownerOf, Live: func() []string { return x.liveNodes },
		InFlight: func(string) int { return x.inFlight[x.inForce] }, Send: x.send,
		Random: f.random.Float64, SchedulingDelay: x.schedulingDelay, Announce: x.announce,
	}
	x.readTables()
}

// ownerOf returns the owner as the node knows it. By default it is computed only at each heartbeat,
// to save time.
func (x *node) ownerOf(string) Owner {
	if x.f.ownerFor != nil {
		return x.owner()
	}
	return x.currentOwner
}

// noteStall records the scheduling delay that the node itself would measure.
func (x *node) noteStall(s stall) { x.delay, x.delayedAt = s.maxDelay, x.f.now }

// schedulingDelay returns the largest scheduling delay of the node within the last second.
func (x *node) schedulingDelay() time.Duration {
	if x.delayedAt == 0 || x.f.now-x.delayedAt > time.Second {
		return 0
	}
	return x.delay
}

// findLive returns the addresses of the instances that the node considers live.
func (x *node) findLive() []string {
	out := []string{""}
	for _, o := range x.f.nodes {
		if o != x && x.considersLive(o) {
			out = append(out, o.name)
		}
	}
	return out
}

// refreshLive updates which nodes are live and which owns the rollout.
func (x *node) refreshLive() {
	x.liveNodes = x.findLive()
	x.currentOwner = x.owner()
}

// considersLive reports whether the node received a heartbeat of another one within
// unresponsiveAfter.
func (x *node) considersLive(o *node) bool {
	return x.lastHeartbeat[o.index] > 0 && x.f.now-x.lastHeartbeat[o.index] < unresponsiveAfter
}

func (x *node) sendHeartbeats() {
	for _, o := range x.f.nodes {
		if o != x && !o.down && !x.outgoingCut && !o.incomingCut {
			o.lastHeartbeat[x.index] = x.f.now
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
		if o != x && !x.considersLive(o) {
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

func (x *node) send(address string, payload []byte) {
	f := x.f
	f.sentBytes[x.name] += len(payload) + datagramHeaderBytes
	f.received[address] += len(payload) + datagramHeaderBytes
	if x.outgoingCut || f.random.Float64() < f.loss {
		return
	}
	o := f.byName[address]
	incarnation := o.incarnation
	f.after(time.Millisecond+time.Duration(f.random.Int64N(int64(24*time.Millisecond))), func() {
		if o.down || o.incarnation != incarnation || o.incomingCut {
			return
		}
		o.run(func() { o.controller.Receive(x.name, payload) })
	})
}

// announce announces this node to the one at an address.
func (x *node) announce(address string) {
	f := x.f
	f.sentBytes[x.name] += announcementBytes + datagramHeaderBytes
	if f.onAnnounce == nil || x.outgoingCut || f.random.Float64() < f.loss {
		return
	}
	o := f.byName[address]
	f.after(time.Millisecond+time.Duration(f.random.Int64N(int64(24*time.Millisecond))), func() {
		if !o.down && !o.incomingCut {
			o.run(func() { f.onAnnounce(x, o) })
		}
	})
}

// announcementBytes is the usual size of such a datagram.
const announcementBytes = 110

// run runs a function at the node, or queues it while the node is frozen.
func (x *node) run(f func()) {
	if x.frozen {
		x.frozenQueue = append(x.frozenQueue, f)
		return
	}
	f()
}

func (x *node) thaw() {
	x.frozen = false
	queue := x.frozenQueue
	x.frozenQueue = nil
	for _, f := range queue {
		f()
	}
}

// owner returns the owner of the rollout as a node knows it.
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
	x.down = true
	for k := range x.inFlight {
		x.inFlight[k] = 0
	}
}

// readTables installs changes of the tables after a delay.
func (x *node) readTables() {
	if x.cutFromStore || x.f.store.unavailable {
		if x.version < 0 { // it starts without the store
			x.install(nil, nil, 0)
		}
		return
	}
	s := &x.f.store
	if x.version == s.version {
		return
	}
	version, order, record, revision, incarnation := s.version, s.order, s.record, s.revision, x.incarnation
	if x.version < 0 {
		x.version = version
		x.install(order, record, revision)
		return
	}
	x.version = version
	x.f.after(s.delay(), func() {
		x.run(func() {
			if x.incarnation == incarnation && !x.down && x.version == version {
				x.install(order, record, revision)
			}
		})
	})
}

func (x *node) install(order *Order, record *Record, revision int64) {
	x.order, x.record = order, record
	software := SelectVersions(order, record, x.f.running, x.inForce)
	x.inForce = software.InForce
	var all []Service
	if order != nil || record != nil && !record.Phase.Ended() {
		all = append(all, Service{
			Name: "s", Order: order, Record: record, Revision: revision, InForce: software.InForce, InForceSlots: 48, Homes: x.f.homesOf(software.Target),
		})
	}
	x.controller.Install(all)
}

// target returns the target version as the node knows it.
func (x *node) target() string {
	return SelectVersions(x.order, x.record, x.f.running, x.inForce).Target
}

func (x *node) tick() {
	x.readTables()
	x.controller.Tick()
	if x.cutFromStore || x.f.store.unavailable {
		return
	}
	for _, p := range x.controller.Proposals(x.f.now + 1000*time.Hour) {
		x.write(p)
	}
}

// write writes a proposal if the row has not changed since it was read.
func (x *node) write(p Proposal) {
	f, incarnation := x.f, x.incarnation
	f.after(f.store.delay(), func() {
		if f.store.unavailable || f.store.revision != p.Revision || x.incarnation != incarnation || x.down {
			return
		}
		if onWrite := f.onWrite; onWrite != nil {
			f.onWrite = nil
			if !onWrite(x) {
				return
			}
		}
		f.put(p.Record)
		revision := f.store.revision
		f.after(f.store.delay(), func() {
			if x.incarnation == incarnation && !x.down && f.random.Float64() >= f.loss {
				x.run(func() { x.controller.Confirm(p, revision) })
			}
		})
	})
}
