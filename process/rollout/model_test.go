// SPDX-License-Identifier: MIT

package rollout

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// fleet is a model of instances on one clock that roll out one service, with a store
// that accepts conditional writes.
type fleet struct {
	now     time.Duration
	random  *rand.Rand
	bounds  Bounds
	nodes   []*node
	size    int
	byName  map[string]*node
	queue   events
	events  int // so far
	store   store
	loss    float64                         // part of the messages that are lost
	rate    func(now time.Duration) float64 // requests a second of all instances together
	missing float64
	sent    map[string]*rateMeter // requests by version
	spread  float64               // of the logarithm of times
	routes  []float64             // part of the requests by route
	perform func(software string, route int, now time.Duration) behaviour
	homes   []Home // of the target's backend servers
	running []Running
	began   time.Duration

	orders []*orderSeen
	faults []string // rules that were broken
	bad    []time.Duration
	// good is set if the target is no worse than the baseline: its bad answers are not its
	// own, and there is nothing to stop.
	good bool
	// lastTarget is when a request went to the target last.
	lastTarget time.Duration
	targetAll  int
	bytes, got map[string]int // sent and got by an address
	// onWrite, if set, sees the next write of an owner. It tells whether the write is
	// done.
	onWrite func(x *node) bool
	// ownerFor, if set, says which node a node takes for the owner, in place of the rank.
	ownerFor func(x *node) *node
	// introduced, if set, is called when a node has told another one who it is.
	introduced func(x, to *node)
	// soundSince is since when the store answers.
	soundSince time.Duration
}

// behaviour is that of a version's backend servers.
type behaviour struct {
	failed float64 // part of the requests that fail
	factor float64 // of the usual time
	cold   bool
	unseen float64 // part of the requests on objects not seen
	held   holdUp
}

// holdUp is what the machine of an instance adds to answers, whatever version they are of: it
// gives its processes their turns late.
type holdUp struct {
	part float64       // of the answers that are held up
	most time.Duration // by which they are, at most
}

// orderSeen is what went on from an order to its deadline, for the bound on the share.
type orderSeen struct {
	order       *Order
	at          time.Duration
	all, target int
	ended       time.Duration // when the record of it ended
	again       bool          // there was one for the same target before
	promised    bool          // it came in the promotion of one before
	serves      bool          // its target was in force then
	replaced    time.Duration // when it was replaced or withdrawn
	phase       Phase
}

// node is one instance.
type node struct {
	f       *fleet
	index   int
	name    string
	rank    uint64
	r       *Rollouts
	dead    bool
	frozen  bool
	frozenQ []func()
	cutOut  bool // what it sends to other instances is lost
	cutIn   bool // what others send to it is lost
	noStore bool
	nextAt  time.Duration
	version int // of the tables as installed
	life    int // restarts
	started time.Duration
	order   *Order
	record  *Record
	before  string
	now     map[string]int // requests in flight by version
	lastTo  map[string]time.Duration
	heard   []time.Duration // when others were heard last
	lives   []string        // as of the last beat
	ownerIs Owner
	late    time.Duration
	lateAt  time.Duration // zero: it never was
	// From unsoundFrom to unsoundTo it was frozen, dead or cut off last.
	unsoundFrom, unsoundTo time.Duration
}

// store is the tables. Version counts its changes.
type store struct {
	version  int
	away     bool
	order    *Order
	record   *Record
	revision int64
	history  []Record
	delay    func() time.Duration
}

type event struct {
	at time.Duration
	n  int
	do func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

const (
	modelStep   = 10 * time.Millisecond
	usualTime   = 30 * time.Millisecond
	usualSpread = 0.35
	// deadAfter is after how long a silent instance counts as dead.
	deadAfter = 3 * time.Second
	beatTime  = 500 * time.Millisecond
	headers   = 28 // bytes of a datagram by IP and UDP
)

func (f *fleet) after(d time.Duration, do func()) {
	f.events++
	heap.Push(&f.queue, event{f.now + d, f.events, do})
}

var testBounds = Bounds{Share: 0.1, Slack: 20, StopWithin: 5 * time.Second}

// newFleet returns a fleet where version v1 serves and v2 stands by.
func newFleet(seed uint64, size int, requests float64) *fleet {
	f := &fleet{
		size: size, spread: usualSpread, now: time.Hour, random: rand.New(rand.NewPCG(seed, 7)), bounds: testBounds,
		rate: func(time.Duration) float64 { return requests }, routes: []float64{0.6, 0.25, 0.1, 0.05},
		perform: func(string, int, time.Duration) behaviour { return behaviour{factor: 1} },
		running: []Running{{"v1", 6, 1}, {"v2", 6, 50}}, bytes: make(map[string]int), got: make(map[string]int), byName: make(map[string]*node), sent: make(map[string]*rateMeter),
	}
	f.began = f.now
	f.store.delay = func() time.Duration {
		return 30*time.Millisecond + time.Duration(f.random.Int64N(int64(120*time.Millisecond)))
	}
	for i := range 6 {
		f.homes = append(f.homes, Home{Hash: xxhash.Sum64String(fmt.Sprint("home", i)), Slots: 8})
	}
	for i := range size {
		name := fmt.Sprintf("n%d", i)
		x := &node{f: f, index: i, name: name, rank: xxhash.Sum64String(name)}
		f.byName[name] = x
		f.nodes = append(f.nodes, x)
		x.start()
	}
	return f
}

// order writes an order.
func (f *fleet) order(target string, within time.Duration) *orderSeen {
	s := &f.store
	if within > 0 && s.order != nil {
		f.endOrder()
	}
	s.version++
	s.order = &Order{ID: int64(1000 + s.version), Target: target, Within: within}
	o := &orderSeen{order: s.order, at: f.now, again: f.lastOf(target) != nil, serves: s.record != nil && s.record.InForce() == target}
	o.promised = o.again && s.record != nil && s.record.Phase == Promote
	f.orders = append(f.orders, o)
	return o
}

// endOrder notes that the present order is none any more.
func (f *fleet) endOrder() {
	for _, o := range f.orders {
		if o.replaced == 0 {
			o.replaced = f.now
		}
	}
}

func (f *fleet) withdraw() {
	f.endOrder()
	f.store.version++
	f.store.order = nil
}

func (f *fleet) ordered(software string) bool {
	return slices.ContainsFunc(f.orders, func(o *orderSeen) bool { return o.order.Target == software })
}

// phase is the phase in the store.
func (f *fleet) phase() Phase {
	if f.store.record == nil {
		return ""
	}
	return f.store.record.Phase
}
