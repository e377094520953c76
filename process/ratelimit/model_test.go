// SPDX-License-Identifier: MIT

package ratelimit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// model simulates a fleet of instances on one clock, whose callers all send requests to one
// backend server. Datagrams are delayed and may be lost.
type model struct {
	now           time.Duration
	random        *rand.Rand
	arrivalRandom *rand.Rand // of the arrivals of requests, which do not depend on decisions
	loss          float64
	demand        float64 // requests per second to the backend server, of all instances
	nodes         []*node
	events        events
	limitAt       func(now time.Duration) float64 // that the backend server names
	arrivals      []arrival
	requests      int    // permit requests sent
	changes       int    // starts, crashes and partitions since the model started
	steadyOwner   *Owner // the owner while there were none
}

// node is one instance.
type node struct {
	*Limiter
	m         *model
	index     int
	name      string
	hash      uint64 // determines the owner
	region    string
	down      bool
	group     int             // instances of different groups can't reach each other
	changed   time.Duration   // when it crashed or started, or its group changed
	limitedAt time.Duration   // when the backend server first named a limit to it; zero: never
	exempt    []span          // when it was partitioned
	denied    []time.Duration // when requests got no permit
}

type span struct{ from, to time.Duration }

type arrival struct {
	at time.Duration
	by *node
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events struct {
	list []event
	seq  int
}

func (e *events) Len() int { return len(e.list) }
func (e *events) Less(i, j int) bool {
	if e.list[i].at != e.list[j].at {
		return e.list[i].at < e.list[j].at
	}
	return e.list[i].seq < e.list[j].seq
}
func (e *events) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *events) Push(x any)    { e.list = append(e.list, x.(event)) }
func (e *events) Pop() any {
	x := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return x
}

const (
	modelStart        = 77 // of the backend server
	modelRegions      = 3
	nearDelay         = time.Millisecond
	farDelay          = 35 * time.Millisecond
	modelWork         = 150 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	gossipFanout      = 4
	// downDetection and startDetection are the longest times until all know that an instance is
	// down, or has started.
	downDetection  = 2 * time.Second
	startDetection = 3 * time.Second
)

func newModel(seed uint64, size int, demand float64, limit func(time.Duration) float64) *model {
	m := &model{
		now: time.Hour, random: rand.New(rand.NewPCG(seed, 7)), arrivalRandom: rand.New(rand.NewPCG(seed, 8)), demand: demand, limitAt: limit,
	}
	for range size {
		m.start(m.now - time.Minute)
	}
	return m
}

// start adds an instance that started at a time.
func (m *model) start(at time.Duration) *node {
	i := len(m.nodes)
	n := &node{m: m, index: i, name: fmt.Sprint(i), hash: mix(uint64(i)), region: fmt.Sprint(i % modelRegions), changed: at}
	n.Limiter = &Limiter{
		Now: func() time.Duration { return m.now }, Owner: n.owner, Instances: n.instances, Send: n.send,
		random: m.random.Float64,
	}
	m.nodes = append(m.nodes, n)
	if at >= time.Hour {
		m.changes++
	}
	m.after(time.Duration(m.random.Int64N(int64(heartbeatInterval))), n.heartbeat)
	m.after(m.interArrival(), n.arrive)
	return n
}

func (m *model) after(d time.Duration, do func()) {
	m.events.seq++
	heap.Push(&m.events, event{m.now + d, m.events.seq, do})
}

// run simulates a period.
func (m *model) run(d time.Duration) {
	until := m.now + d
	for m.events.Len() > 0 && m.events.list[0].at <= until {
		x := heap.Pop(&m.events).(event)
		m.now = x.at
		x.do()
	}
	m.now = until
}

// interArrival draws the time until the next request at an instance.
func (m *model) interArrival() time.Duration {
	rate := m.demand / float64(len(m.nodes))
	return time.Duration(m.arrivalRandom.ExpFloat64() / rate * float64(time.Second))
}

// considersLive reports whether an instance considers another one live.
func (n *node) considersLive(o *node) bool {
	since := n.m.now - o.changed
	switch {
	case o == n:
		return true
	case o.down:
		return since < downDetection
	case o.group != n.group:
		return n.m.now-max(o.changed, n.changed) < downDetection
	}
	// Each pair of instances has its own detection delay.
	delay := time.Duration(mix(uint64(n.index)<<32|uint64(o.index)) % uint64(startDetection))
	return since >= delay || o.changed < time.Hour
}

func (n *node) owner(region string, _ uint64) Owner {
	m := n.m
	if m.changes > 0 {
		return n.findOwner(region)
	}
	if m.steadyOwner == nil {
		o := n.findOwner(region)
		if o.Address == "" {
			o = Owner{Name: n.name, Address: n.name}
		}
		m.steadyOwner = &o
	}
	if m.steadyOwner.Name == n.name {
		return Owner{Name: n.name}
	}
	return *m.steadyOwner
}

func (n *node) findOwner(region string) Owner {
	var best *node
	lowest := uint64(0)
	for pass := range 2 {
		for _, o := range n.m.nodes {
			if (pass == 1 || o.region == region) && (best == nil || o.hash < lowest) && n.considersLive(o) {
				best, lowest = o, o.hash
			}
		}
		if best != nil {
			break
		}
	}
	if best == n {
		return Owner{Name: "self"}
	}
	return Owner{Name: best.name, Address: best.name}
}

func (n *node) instances() (count int) {
	if n.m.changes == 0 {
		return len(n.m.nodes)
	}
	for _, o := range n.m.nodes {
		if n.considersLive(o) {
			count++
		}
	}
	return count
}

func (n *node) send(address string, text []byte) {
	m := n.m
	o := m.byName(address)
	if text[0] == kindRequest {
		m.requests++
	}
	if n.down || m.random.Float64() < m.loss {
		return
	}
	delay := nearDelay
	if o.region != n.region {
		delay = farDelay
	}
	m.after(delay, func() {
		if !o.down && o.group == n.group {
			o.Receive(n.name, text)
		}
	})
}

func (m *model) byName(name string) *node {
	i, err := strconv.Atoi(name)
	if err != nil {
		panic(err)
	}
	return m.nodes[i]
}

// mix mixes the bits of a number (the finalizer of MurmurHash3).
func mix(x uint64) uint64 {
	x = (x + 1) * 0x9e3779b97f4a7c15
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// heartbeat gossips the limit to some others, as observations do.
func (n *node) heartbeat() {
	m := n.m
	if n.down {
		return
	}
	n.Tick()
	if at, ok := n.LastLimited(modelStart); ok {
		for range gossipFanout {
			o := m.nodes[m.random.IntN(len(m.nodes))]
			if o != n && !o.down && o.group == n.group && m.random.Float64() >= m.loss {
				o.ApplyLimited(modelBackend, at)
			}
		}
	}
	m.after(heartbeatInterval, n.heartbeat)
}

var modelBackend = Backend{IncarnationHash: modelStart, Name: "b", Region: "0"}

// arrive simulates the arrival of a request for the backend server.
func (n *node) arrive() {
	m := n.m
	if n.down {
		return
	}
	m.after(m.interArrival(), n.arrive)
	if n.Blocked(modelStart, 0) > 0 {
		n.denied = append(n.denied, m.now)
		return
	}
	n.mu.Lock()
	d := n.decide(modelBackend, 0, m.now)
	n.mu.Unlock()
	if d.pending == nil {
		n.finish(d.granted)
		return
	}
	n.Send(d.address, d.request)
	n.poll(d, false)
}

// poll checks whether a permit request was answered.
func (n *node) poll(d decision, resent bool) {
	m := n.m
	sentAt := d.pending.sentAt
	select {
	case granted := <-d.pending.result:
		n.finish(granted)
		return
	default:
	}
	if m.now-sentAt >= responseTimeout {
		n.finish(n.timeOut(d.pending))
		return
	}
	if !resent && m.now-sentAt >= resendAfter {
		n.Send(d.address, d.request)
		resent = true
	}
	m.after(2*time.Millisecond, func() { n.poll(d, resent) })
}

// finish sends a request that got a permit, which is answered after a while.
func (n *node) finish(granted bool) {
	m := n.m
	if !granted || n.down {
		n.denied = append(n.denied, m.now)
		return
	}
	delay := nearDelay
	if n.region != modelBackend.Region {
		delay = farDelay
	}
	sent := m.now
	m.after(delay, func() {
		m.arrivals = append(m.arrivals, arrival{m.now, n})
		work := modelWork + time.Duration(m.random.Int64N(int64(modelWork)))
		m.after(work, func() {
			limit := m.limitAt(m.now)
			m.after(delay, func() {
				if n.down {
					return
				}
				if limit > 0 && n.limitedAt == 0 {
					n.limitedAt = m.now
				}
				n.RecordResponse(modelBackend, limit, sent)
			})
		})
	})
}

// kill crashes an instance.
func (m *model) kill(n *node) {
	n.down, n.changed = true, m.now
	m.changes++
}

// partition separates some instances from the others for a time and exempts them.
func (m *model) partition(separated []*node, d time.Duration) {
	m.changes++
	for _, n := range separated {
		n.group, n.changed = 1, m.now
		n.exempt = append(n.exempt, span{m.now, m.now + d + graceTime})
	}
	m.after(d, func() {
		for _, n := range separated {
			n.group, n.changed = 0, m.now
		}
	})
}

// graceTime is how long after a backend server first names its limit, and after a fault, the limit
// is not checked.
const graceTime = 3 * time.Second

// excess returns by how many requests the worst window of 4 s between two times exceeds what a
// limit allows. It counts the requests of instances that have known the limit for half a second
// and are not exempt.
func (m *model) excess(limit float64, from, to time.Duration) float64 {
	const window = 4 * time.Second
	allowed := 1.5*limit*window.Seconds() + 5
	var counted []time.Duration
	worst := -allowed
	for _, a := range m.arrivals {
		exempt := slices.ContainsFunc(a.by.exempt, func(s span) bool { return a.at >= s.from && a.at < s.to })
		if a.at < from || a.at >= to || a.by.limitedAt == 0 || a.at < a.by.limitedAt+500*time.Millisecond || exempt {
			continue
		}
		counted = append(counted, a.at)
		for a.at-counted[0] >= window {
			counted = counted[1:]
		}
		worst = max(worst, float64(len(counted))-allowed)
	}
	return worst
}

// rate returns the requests per second that reached the backend server between two times.
func (m *model) rate(from, to time.Duration) float64 {
	n := 0
	for _, a := range m.arrivals {
		if a.at >= from && a.at < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}
