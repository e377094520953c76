// SPDX-License-Identifier: MIT

package version

import (
	"sync/atomic"
	"time"
)

// Counters hold the state that a decision reads. Each instance has one set for each
// View; other goroutines update it concurrently with decisions.
type Counters struct {
	// Free is the number of free tokens that the instance holds, by pool.
	Free []atomic.Int32
	// Cost is the expected response time in nanoseconds, by backend server. Zero
	// means unknown.
	Cost []atomic.Int64
	// Closed says, by backend server, whether it accepts no requests at present.
	Closed []atomic.Bool
}

// NewCounters returns zeroed counters for a view.
func NewCounters(v *View) *Counters {
	return &Counters{
		Free:   make([]atomic.Int32, len(v.Pools)),
		Cost:   make([]atomic.Int64, len(v.Backends)),
		Closed: make([]atomic.Bool, len(v.Backends)),
	}
}

// Query holds the inputs of one decision.
type Query struct {
	// RateLimited, if set, reports whether its rate limit keeps a backend server from
	// getting the request.
	RateLimited func(backend int32) bool
	Service     int32
	Region      int32 // region of the deciding instance
	// Random is a new random number for each decision. It determines whether the
	// request belongs to a shifted share, whether the decision explores, and at which
	// backend server the search starts.
	Random uint64
	// ViewAge is the time since the view was activated, for ramps.
	ViewAge time.Duration
	// Exclude are the backend servers that were already tried. Unused entries are None.
	Exclude [2]int32
}

// MaxPools is the maximum number of tokens that one request needs: backend server,
// link, shift and shift rate.
const MaxPools = 4

// Choice is the outcome of a decision.
type Choice struct {
	Backend int32 // None: no backend server is free
	Region  int32
	// Pools are the pools that the request needs a token of. Only the first NumPools
	// are set.
	Pools    [MaxPools]int32
	NumPools int
	// AnyOpen is set if some backend server accepts requests, even if it has no free
	// slot.
	AnyOpen bool
	// MissedShift is the region that the request would have been shifted to if
	// tokens had been free; None otherwise.
	MissedShift int32
	// FullLink is the pool of a link that had no free token, if no backend server was
	// found; None otherwise.
	FullLink int32
}

// addPool adds a pool that the request needs a token of.
func (c *Choice) addPool(pool int32) {
	c.Pools[c.NumPools] = pool
	c.NumPools++
}

// exploreInterval is the number of decisions for each one that chooses a random free
// backend server instead of the one with the lowest cost, so that outdated costs get
// corrected.
const exploreInterval = 64

// Decide chooses the region and the backend server for one request: the region of a
// shift that applies to it, else its own, else the nearest with a free link. It
// modifies neither the view nor the counters.
func (v *View) Decide(q *Query, counters *Counters) Choice {
	s := &v.Services[q.Service]
	var c Choice
	c.Backend, c.MissedShift, c.FullLink = None, None, None
	shift := &s.Shifts[q.Region]
	if shift.Pool != None && inShiftedShare(shift, q) {
		if v.chooseAcrossLink(q, counters, s, shift.To, &c) {
			return c
		}
		c.MissedShift = shift.To
	}
	if v.chooseInRegion(q, counters, s, q.Region, &c) {
		c.addPool(v.Backends[c.Backend].Pool)
		return c
	}
	for i := range v.Links[q.Region] {
		link := &v.Links[q.Region][i]
		if v.chooseAcrossLink(q, counters, s, link.To, &c) {
			c.FullLink = None
			return c
		}
		if c.FullLink == None && counters.Free[link.Pool].Load() <= 0 {
			c.FullLink = link.Pool
		}
	}
	return c
}

// inShiftedShare reports whether the request belongs to the share that a shift moves.
func inShiftedShare(shift *ShiftView, q *Query) bool {
	share := shift.Share
	if q.ViewAge < shift.Ramp {
		share *= float64(q.ViewAge) / float64(shift.Ramp)
	}
	const scale = 1 << 32
	return float64(q.Random>>32) < share*scale
}

// chooseAcrossLink chooses a backend server in another region, if all tokens that the
// request needs are free.
func (v *View) chooseAcrossLink(q *Query, counters *Counters, s *ServiceView, to int32, c *Choice) bool {
	link := None
	for i := range v.Links[q.Region] {
		if v.Links[q.Region][i].To == to {
			link = v.Links[q.Region][i].Pool
		}
	}
	if link == None || !v.chooseInRegion(q, counters, s, to, c) {
		return false
	}
	backend := c.Backend
	c.Backend = None
	if counters.Free[link].Load() <= 0 {
		return false
	}
	shift := &s.Shifts[q.Region]
	if shift.Pool != None && shift.To == to {
		if counters.Free[shift.Pool].Load() <= 0 || (shift.RatePool != None && counters.Free[shift.RatePool].Load() <= 0) {
			return false
		}
		c.addPool(shift.Pool)
		if shift.RatePool != None {
			c.addPool(shift.RatePool)
		}
	}
	c.Backend = backend
	c.addPool(link)
	c.addPool(v.Backends[backend].Pool)
	return true
}

// chooseInRegion chooses the backend server of a region with the lowest cost among those
// with a free slot token. One in exploreInterval decisions takes the first free one after
// a random start.
func (v *View) chooseInRegion(q *Query, counters *Counters, s *ServiceView, region int32, c *Choice) bool {
	backends := s.ByRegion[region]
	if len(backends) == 0 {
		return false
	}
	explore := q.Random%exploreInterval == 0
	start := int(q.Random / exploreInterval % uint64(len(backends)))
	best, bestCost := None, int64(0)
	for i := range backends {
		at := start + i
		if at >= len(backends) {
			at -= len(backends)
		}
		b := backends[at]
		if v.Backends[b].Drained || counters.Closed[b].Load() || q.RateLimited != nil && q.RateLimited(b) {
			continue
		}
		c.AnyOpen = true
		if counters.Free[v.Backends[b].Pool].Load() <= 0 || b == q.Exclude[0] || b == q.Exclude[1] {
			continue
		}
		cost := counters.Cost[b].Load()
		if best == None || cost < bestCost {
			best, bestCost = b, cost
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
