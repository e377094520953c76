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

// fleet simulates instances with a common clock that roll out one service, and a store with
// conditional writes.
type fleet struct {
	now         time.Duration
	random      *rand.Rand
	bounds      Bounds
	nodes       []*node
	size        int
	byName      map[string]*node
	queue       events
	events      int // number of events so far
	store       store
	loss        float64                         // fraction of the messages that are lost
	rate        func(now time.Duration) float64 // requests per second of all instances together
	fractionDue float64
	sent        map[string]*rateMeter // requests by version
	spread      float64               // of the logarithm of latencies
	routes      []float64             // fraction of the requests by route
	behave      func(software string, route int, now time.Duration) behaviour
	homes       []Home // of the target's backend servers
	running     []RunningVersion
	startedAt   time.Duration

	orderHistory []*trackedOrder
	violations   []string // of the invariants
	badResponses []time.Duration
	// good is set if the target is no worse than the baseline. Bad responses are then not its own,
	// and do not require a stop.
	good bool
	// lastTarget is when a request last went to the target.
	lastTarget          time.Duration
	targetRequests      int
	sentBytes, received map[string]int // by address
	// onWrite, if set, is called before the next write of an owner. It returns whether to carry out
	// the write.
	onWrite func(x *node) bool
	// ownerFor, if set, returns the node that a node considers the owner, instead of the one with
	// the lowest rank.
	ownerFor func(x *node) *node
	// onAnnounce, if set, is called when a node has announced itself to another one.
	onAnnounce func(x, to *node)
	// storeBackAt is when the store last became available.
	storeBackAt time.Duration
}

// behaviour is the behaviour of a version's backend servers.
type behaviour struct {
	failedFraction float64 // fraction of the requests that fail
	factor         float64 // of medianLatency
	cold           bool
	unseenFraction float64 // fraction of the requests for objects not seen before
	stall          stall
}

// stall is the scheduling delay that an instance adds to responses of any version.
type stall struct {
	fraction float64       // of the responses that are delayed
	maxDelay time.Duration // of a delayed response
}

// trackedOrder is what happened from an order to its deadline, for checking the limit on the share.
type trackedOrder struct {
	order                    *Order
	orderedAt                time.Duration
	requests, targetRequests int
	endedAt                  time.Duration // when its record ended
	repeated                 bool          // there was an earlier one for the same target
	duringPromotion          bool          // it came during the promotion of an earlier one
	alreadyInForce           bool          // its target was in force already
	replacedAt               time.Duration // when it was replaced or withdrawn
	phase                    Phase
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
	outgoingCut   bool // its messages to other instances are lost
	incomingCut   bool // messages of other instances to it are lost
	cutFromStore  bool
	nextTickAt    time.Duration
	version       int // of the installed tables
	incarnation   int // number of restarts
	startedAt     time.Duration
	order         *Order
	record        *Record
	inForce       string
	inFlight      map[string]int // requests in flight by version
	lastSentTo    map[string]time.Duration
	lastHeartbeat []time.Duration // by node index, when the last heartbeat was received
	liveNodes     []string        // as of the last heartbeat
	currentOwner  Owner
	delay         time.Duration
	delayedAt     time.Duration // zero: never
	// disconnectedFrom and disconnectedTo are when it was last frozen, down or cut off.
	disconnectedFrom, disconnectedTo time.Duration
}

// store holds the tables. Version counts their changes.
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
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
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
	medianLatency = 30 * time.Millisecond
	defaultSpread = 0.35
	// unresponsiveAfter is after how long without heartbeats an instance is considered down.
	unresponsiveAfter   = 3 * time.Second
	heartbeatInterval   = 500 * time.Millisecond
	datagramHeaderBytes = 28 // IP and UDP headers
)

func (f *fleet) after(d time.Duration, do func()) {
	f.events++
	heap.Push(&f.queue, event{f.now + d, f.events, do})
}

var testBounds = Bounds{Share: 0.1, Slack: 20, StopWithin: 5 * time.Second}

// newFleet returns a fleet with version v1 in force and v2 on standby.
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

// endOrder records that the present order is no longer valid.
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

// phase returns the phase in the store.
func (f *fleet) phase() Phase {
	if f.store.record == nil {
		return ""
	}
	return f.store.record.Phase
}
