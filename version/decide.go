// SPDX-License-Identifier: MIT

package version

import (
	"sync/atomic"
	"time"
)

// Counters are the numbers that a decision reads. One set belongs to one View
// at one instance; other goroutines write them while decisions run.
type Counters struct {
	// Free is the number of free tokens held, by pool.
	Free []atomic.Int32
	// Cost is the expected time of an answer in nanoseconds, by backend server.
	// Zero means not known yet.
	Cost []atomic.Int64
	// Closed is set for a backend server that takes no work now, by backend server.
	Closed []atomic.Bool
}

// NewCounters returns the counters for a view, all zero.
func NewCounters(v *View) *Counters {
	return &Counters{
		Free:   make([]atomic.Int32, len(v.Pools)),
		Cost:   make([]atomic.Int64, len(v.Backends)),
		Closed: make([]atomic.Bool, len(v.Backends)),
	}
}

// Query is what one decision is about.
type Query struct {
	Service int32
	Region  int32 // region of the deciding instance
	// Random is a fresh random number; it spreads shares and trials.
	Random uint64
	// InForce is the time since the view came into force, for ramps.
	InForce time.Duration
	// Exclude are backend servers already tried, None where unused.
	Exclude [2]int32
}

// MaxPools is the largest number of tokens that one request needs.
const MaxPools = 4

// Choice is the outcome of a decision.
type Choice struct {
	Backend int32 // None: nothing is free
	Region  int32
	// Pools are those to take a token from; the first NumPools count.
	Pools    [MaxPools]int32
	NumPools int
	// Open reports that some backend server takes work, though it may be full.
	AnyOpen bool
	// Missed is the region that a shift would have sent the request to, had
	// there been tokens; None otherwise.
	MissedShift int32
	// Link is the pool of a link that lacked a token, when nothing was free;
	// None otherwise.
	FullLink int32
}

func (c *Choice) addPool(pool int32) {
	c.Pools[c.NumPools] = pool
	c.NumPools++
}

// exploreOneIn is how rarely a decision tries a random free backend server instead
// of the one that looks fastest, so that old costs are found out.
const exploreInterval = 64

// Decide chooses region and backend server for one request. It reads only.
func (v *View) Decide(q *Query, n *Counters) Choice {
	s := &v.Services[q.Service]
	var c Choice
	c.Backend, c.MissedShift, c.FullLink = None, None, None
	sh := &s.Shifts[q.Region]
	if sh.Pool != None && inShiftedShare(sh, q) {
		if v.chooseAcrossLink(q, n, s, sh.To, &c) {
			return c
		}
		c.MissedShift = sh.To
	}
	if v.chooseInRegion(q, n, s, q.Region, &c) {
		c.addPool(v.Backends[c.Backend].Pool)
		return c
	}
	for i := range v.Links[q.Region] {
		x := &v.Links[q.Region][i]
		if v.chooseAcrossLink(q, n, s, x.To, &c) {
			c.FullLink = None
			return c
		}
		if c.FullLink == None && n.Free[x.Pool].Load() <= 0 {
			c.FullLink = x.Pool
		}
	}
	return c
}

// shareTaken reports whether this request belongs to the shifted share.
func inShiftedShare(sh *ShiftView, q *Query) bool {
	share := sh.Share
	if q.InForce < sh.Ramp {
		share *= float64(q.InForce) / float64(sh.Ramp)
	}
	const bits = 1 << 32
	return float64(q.Random>>32) < share*bits
}

// cross tries to serve in another region, with all tokens that this needs.
func (v *View) chooseAcrossLink(q *Query, n *Counters, s *ServiceView, to int32, c *Choice) bool {
	link := None
	for i := range v.Links[q.Region] {
		if v.Links[q.Region][i].To == to {
			link = v.Links[q.Region][i].Pool
		}
	}
	if link == None || !v.chooseInRegion(q, n, s, to, c) {
		return false
	}
	backend := c.Backend
	c.Backend = None
	if n.Free[link].Load() <= 0 {
		return false
	}
	sh := &s.Shifts[q.Region]
	if sh.Pool != None && sh.To == to {
		if n.Free[sh.Pool].Load() <= 0 || (sh.RatePool != None && n.Free[sh.RatePool].Load() <= 0) {
			return false
		}
		c.addPool(sh.Pool)
		if sh.RatePool != None {
			c.addPool(sh.RatePool)
		}
	}
	c.Backend = backend
	c.addPool(link)
	c.addPool(v.Backends[backend].Pool)
	return true
}

// within finds the fastest backend server of a region with a free slot token here.
func (v *View) chooseInRegion(q *Query, n *Counters, s *ServiceView, region int32, c *Choice) bool {
	ups := s.ByRegion[region]
	if len(ups) == 0 {
		return false
	}
	explore := q.Random%exploreInterval == 0
	start := int(q.Random / exploreInterval % uint64(len(ups)))
	best, bestCost := None, int64(0)
	for i := range ups {
		at := start + i
		if at >= len(ups) {
			at -= len(ups)
		}
		u := ups[at]
		if v.Backends[u].Drained || n.Closed[u].Load() {
			continue
		}
		c.AnyOpen = true
		if n.Free[v.Backends[u].Pool].Load() <= 0 || u == q.Exclude[0] || u == q.Exclude[1] {
			continue
		}
		cost := n.Cost[u].Load()
		if best == None || cost < bestCost {
			best, bestCost = u, cost
		}
		if explore {
			break
		}
	}
	if best == None {
		return false
	}
	c.Backend, c.Region = best, region
	return true
}
