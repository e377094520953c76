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
	now         time.Duration
	random      *rand.Rand
	bounds      Bounds
	nodes       []*node
	size        int
	byName      map[string]*node
	queue       events
	events      int // so far
	store       store
	loss        float64                         // part of the messages that are lost
	rate        func(now time.Duration) float64 // requests a second of all instances together
	fractionDue float64
	sent        map[string]*rateMeter // requests by version
	spread      float64               // of the logarithm of times
	routes      []float64             // part of the requests by route
	behave      func(software string, route int, now time.Duration) behaviour
	homes       []Home // of the target's backend servers
	running     []RunningVersion
	startedAt   time.Duration

	orderHistory []*trackedOrder
	violations   []string // rules that were broken
	badResponses []time.Duration
	// good is set if the target is no worse than the baseline: its bad answers are not its
	// own, and there is nothing to stop.
	good bool
	// lastTarget is when a request went to the target last.
	lastTarget          time.Duration
	targetAll           int
	sentBytes, received map[string]int // sent and got by an address
	// onWrite, if set, sees the next write of an owner. It tells whether the write is
	// done.
	onWrite func(x *node) bool
	// ownerFor, if set, says which node a node takes for the owner, in place of the rank.
	ownerFor func(x *node) *node
	// introduced, if set, is called when a node has told another one who it is.
	onAnnounce func(x, to *node)
	// soundSince is since when the store answers.
	storeBackAt time.Duration
}

// behaviour is that of a version's backend servers.
type behaviour struct {
	failedFraction float64 // part of the requests that fail
	factor         float64 // of the usual time
	cold           bool
	unseenFraction float64 // part of the requests on objects not seen
	stall          stall
}

// holdUp is what the machine of an instance adds to answers, whatever version they are of: it
// gives its processes their turns late.
type stall struct {
	fraction float64       // of the answers that are held up
	maxDelay time.Duration // by which they are, at most
}

// orderSeen is what went on from an order to its deadline, for the bound on the share.
type trackedOrder struct {
	order           *Order
	orderedAt       time.Duration
	all, target     int
	endedAt         time.Duration // when the record of it ended
	repeated        bool          // there was one for the same target before
	duringPromotion bool          // it came in the promotion of one before
	alreadyInForce  bool          // its target was in force then
	replacedAt      time.Duration // when it was replaced or withdrawn
	phase           Phase
}

// node is one instance.
type node struct {
	f             *fleet
	index         int
	name          string
	rank          uint64
	controller    *Controller
	down          bool
	frozen        bool
	frozenQueue   []func()
	cutOut        bool // what it sends to other instances is lost
	cutIn         bool // what others send to it is lost
	cutFromStore  bool
	nextTickAt    time.Duration
	version       int // of the tables as installed
	incarnation   int // restarts
	startedAt     time.Duration
	order         *Order
	record        *Record
	inForce       string
	inFlight      map[string]int // requests in flight by version
	lastSentTo    map[string]time.Duration
	lastHeartbeat []time.Duration // when others were heard last
	liveNodes     []string        // as of the last beat
	currentOwner  Owner
	delay         time.Duration
	delayedAt     time.Duration // zero: it never was
	// From unsoundFrom to unsoundTo it was frozen, dead or cut off last.
	disconnectedFrom, disconnectedTo time.Duration
}

// store is the tables. Version counts its changes.
type store struct {
	version     int
	unavailable bool
	order       *Order
	record      *Record
	revision    int64
	history     []Record
	delay       func() time.Duration
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
	modelStep     = 10 * time.Millisecond
	meanLatency   = 30 * time.Millisecond
	defaultSpread = 0.35
	// deadAfter is after how long a silent instance counts as dead.
	unresponsiveAfter   = 3 * time.Second
	heartbeatInterval   = 500 * time.Millisecond
	datagramHeaderBytes = 28 // bytes of a datagram by IP and UDP
)

func (f *fleet) after(d time.Duration, do func()) {
	f.events++
	heap.Push(&f.queue, event{f.now + d, f.events, do})
}

var testBounds = Bounds{Share: 0.1, Slack: 20, StopWithin: 5 * time.Second}

// newFleet returns a fleet where version v1 serves and v2 stands by.
func newFleet(seed uint64, size int, requests float64) *fleet {
	f := &fleet{
		size: size, spread: defaultSpread, now: time.Hour, random: rand.New(rand.NewPCG(seed, 7)), bounds: testBounds,
		rate: func(time.Duration) float64 { return requests }, routes: []float64{0.6, 0.25, 0.1, 0.05},
		behave:  func(string, int, time.Duration) behaviour { return behaviour{factor: 1} },
		running: []RunningVersion{{"v1", 6, 1}, {"v2", 6, 50}}, sentBytes: make(map[string]int), received: make(map[string]int), byName: make(map[string]*node), sent: make(map[string]*rateMeter),
	}
	f.startedAt = f.now
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
func (f *fleet) order(target string, within time.Duration) *trackedOrder {
	s := &f.store
	if within > 0 && s.order != nil {
		f.endOrder()
	}
	s.version++
	s.order = &Order{ID: int64(1000 + s.version), Target: target, Within: within}
	o := &trackedOrder{order: s.order, orderedAt: f.now, repeated: f.lastOf(target) != nil, alreadyInForce: s.record != nil && s.record.InForce() == target}
	o.duringPromotion = o.repeated && s.record != nil && s.record.Phase == Promote
	f.orderHistory = append(f.orderHistory, o)
	return o
}

// endOrder notes that the present order is none any more.
func (f *fleet) endOrder() {
	for _, o := range f.orderHistory {
		if o.replacedAt == 0 {
			o.replacedAt = f.now
		}
	}
}

func (f *fleet) withdraw() {
	f.endOrder()
	f.store.version++
	f.store.order = nil
}

func (f *fleet) ordered(software string) bool {
	return slices.ContainsFunc(f.orderHistory, func(o *trackedOrder) bool { return o.order.Target == software })
}

// phase is the phase in the store.
func (f *fleet) phase() Phase {
	if f.store.record == nil {
		return ""
	}
	return f.store.record.Phase
}
