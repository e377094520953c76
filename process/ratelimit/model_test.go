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

// model is a fleet of instances on one clock whose callers all want one backend server. Datagrams
// take a while and some are lost.
type model struct {
	now     time.Duration
	random  *rand.Rand
	loss    float64
	demand  float64 // requests a second that want the backend server, of all instances
	nodes   []*node
	events  events
	limit   func(now time.Duration) float64 // that the backend server names
	came    []arrival
	asks    int
	changes int    // starts, deaths and cuts since the model began
	calm    *Owner // while there were none
}

// node is one instance.
type node struct {
	*Limiter
	m       *model
	index   int
	name    string
	hash    uint64 // by which owners are found
	region  string
	dead    bool
	group   int             // instances of different groups do not reach each other
	changed time.Duration   // when it died, started, or its group changed
	told    time.Duration   // when the backend server first told it of a limit; zero: never
	excused []span          // when it was cut off
	denied  []time.Duration // when requests found no permit
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
	modelStart   = 77 // of the backend server
	modelRegions = 3
	nearWay      = time.Millisecond
	farWay       = 35 * time.Millisecond
	modelWork    = 150 * time.Millisecond
	modelBeat    = 500 * time.Millisecond
	toldPerBeat  = 4
	// deathKnown and birthKnown are how long it takes until all know that an instance has died, or
	// has started.
	deathKnown = 2 * time.Second
	birthKnown = 3 * time.Second
)

func newModel(seed uint64, size int, demand float64, limit func(time.Duration) float64) *model {
	m := &model{now: time.Hour, random: rand.New(rand.NewPCG(seed, 7)), demand: demand, limit: limit}
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
	m.after(time.Duration(m.random.Int64N(int64(modelBeat))), n.beat)
	m.after(m.pause(), n.want)
	return n
}

func (m *model) after(d time.Duration, do func()) {
	m.events.seq++
	heap.Push(&m.events, event{m.now + d, m.events.seq, do})
}

// run plays a time.
func (m *model) run(d time.Duration) {
	until := m.now + d
	for m.events.Len() > 0 && m.events.list[0].at <= until {
		x := heap.Pop(&m.events).(event)
		m.now = x.at
		x.do()
	}
	m.now = until
}

// pause draws the time until the next request of an instance.
func (m *model) pause() time.Duration {
	each := m.demand / float64(len(m.nodes))
	return time.Duration(m.random.ExpFloat64() / each * float64(time.Second))
}

// knows reports whether an instance takes another one for alive.
func (n *node) knows(o *node) bool {
	since := n.m.now - o.changed
	switch {
	case o == n:
		return true
	case o.dead:
		return since < deathKnown
	case o.group != n.group:
		return n.m.now-max(o.changed, n.changed) < deathKnown
	}
	// The later the news comes, the further it has to go.
	late := time.Duration(mix(uint64(n.index)<<32|uint64(o.index)) % uint64(birthKnown))
	return since >= late || o.changed < time.Hour
}

func (n *node) owner(region string, _ uint64) Owner {
	m := n.m
	if m.changes > 0 {
		return n.findOwner(region)
	}
	if m.calm == nil {
		o := n.findOwner(region)
		if o.Address == "" {
			o = Owner{Name: n.name, Address: n.name}
		}
		m.calm = &o
	}
	if m.calm.Name == n.name {
		return Owner{Name: n.name}
	}
	return *m.calm
}

func (n *node) findOwner(region string) Owner {
	var best *node
	lowest := uint64(0)
	for pass := range 2 {
		for _, o := range n.m.nodes {
			if (pass == 1 || o.region == region) && (best == nil || o.hash < lowest) && n.knows(o) {
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
		if n.knows(o) {
			count++
		}
	}
	return count
}

func (n *node) send(address string, text []byte) {
	m := n.m
	o := m.named(address)
	if text[0] == kindAsk {
		m.asks++
	}
	if n.dead || m.random.Float64() < m.loss {
		return
	}
	way := nearWay
	if o.region != n.region {
		way = farWay
	}
	m.after(way, func() {
		if !o.dead && o.group == n.group {
			o.Hear(n.name, text)
		}
	})
}

func (m *model) named(name string) *node {
	i, err := strconv.Atoi(name)
	if err != nil {
		panic(err)
	}
	return m.nodes[i]
}

// mix spreads the bits of a number (the finalizer of MurmurHash3).
func mix(x uint64) uint64 {
	x = (x + 1) * 0x9e3779b97f4a7c15
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// beat tells some others of the limit, as observations do.
func (n *node) beat() {
	m := n.m
	if n.dead {
		return
	}
	n.Tick()
	if at, ok := n.ToldAt(modelStart); ok {
		for range toldPerBeat {
			o := m.nodes[m.random.IntN(len(m.nodes))]
			if o != n && !o.dead && o.group == n.group && m.random.Float64() >= m.loss {
				o.HearLimited(modelBackend, at)
			}
		}
	}
	m.after(modelBeat, n.beat)
}

var modelBackend = Backend{Start: modelStart, Name: "b", Region: "0"}

// want lets a request come that wants the backend server.
func (n *node) want() {
	m := n.m
	if n.dead {
		return
	}
	m.after(m.pause(), n.want)
	if n.Blocked(modelStart, 0) > 0 {
		n.denied = append(n.denied, m.now)
		return
	}
	n.mu.Lock()
	d := n.decide(modelBackend, 0, m.now)
	n.mu.Unlock()
	if d.pending == nil {
		n.decided(d.granted)
		return
	}
	n.Send(d.address, d.ask)
	n.poll(d, false)
}

// poll looks whether an ask was answered.
func (n *node) poll(d decision, resent bool) {
	m := n.m
	asked := d.pending.asked
	select {
	case granted := <-d.pending.answered:
		n.decided(granted)
		return
	default:
	}
	if m.now-asked >= answerWithin {
		n.decided(n.giveUp(d.pending))
		return
	}
	if !resent && m.now-asked >= resendAfter {
		n.Send(d.address, d.ask)
		resent = true
	}
	m.after(2*time.Millisecond, func() { n.poll(d, resent) })
}

// decided sends a request that may go, which is answered after a while.
func (n *node) decided(granted bool) {
	m := n.m
	if !granted || n.dead {
		n.denied = append(n.denied, m.now)
		return
	}
	way := nearWay
	if n.region != modelBackend.Region {
		way = farWay
	}
	sent := m.now
	m.after(way, func() {
		m.came = append(m.came, arrival{m.now, n})
		work := modelWork + time.Duration(m.random.Int64N(int64(modelWork)))
		m.after(work, func() {
			limit := m.limit(m.now)
			m.after(way, func() {
				if n.dead {
					return
				}
				if limit > 0 && n.told == 0 {
					n.told = m.now
				}
				n.Answered(modelBackend, limit, sent)
			})
		})
	})
}

// kill ends an instance.
func (m *model) kill(n *node) {
	n.dead, n.changed = true, m.now
	m.changes++
}

// cut separates some instances from the others for a time. It excuses them.
func (m *model) cut(cut []*node, d time.Duration) {
	m.changes++
	for _, n := range cut {
		n.group, n.changed = 1, m.now
		n.excused = append(n.excused, span{m.now, m.now + d + contact})
	}
	m.after(d, func() {
		for _, n := range cut {
			n.group, n.changed = 0, m.now
		}
	})
}

// contact is how long after a backend server first names its limit, and after a fault, it counts.
const contact = 3 * time.Second

// over returns by how many requests the worst window of 4 s, between two times, is beyond what a
// limit allows, of instances that were told half a second before and are not excused.
func (m *model) over(limit float64, from, to time.Duration) float64 {
	const window = 4 * time.Second
	allowed := 1.5*limit*window.Seconds() + 5
	var counted []time.Duration
	worst := -allowed
	for _, a := range m.came {
		excused := slices.ContainsFunc(a.by.excused, func(s span) bool { return a.at >= s.from && a.at < s.to })
		if a.at < from || a.at >= to || a.by.told == 0 || a.at < a.by.told+500*time.Millisecond || excused {
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

// rate returns the requests a second that reached the backend server between two times.
func (m *model) rate(from, to time.Duration) float64 {
	n := 0
	for _, a := range m.came {
		if a.at >= from && a.at < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}
