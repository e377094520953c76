// SPDX-License-Identifier: MIT

package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"shalewick/conn"
	"shalewick/process/ratelimit"
	"shalewick/request"
	"shalewick/version"
)

// Table is the backend servers of one process. The fields are set before use.
type Table struct {
	Now func() time.Duration
	// Place returns the place of this instance, from 0, among those that share
	// what must be shared, and their number; zero: not known yet.
	MemberIndex func() (place, of int)
	// Region and Hall are the names of the region and the hall of this instance. If Region is
	// empty, the configuration tells it by the hall.
	Region string
	Hall   string
	// OnSuspend, if set, is told when a backend server gets nothing for a while, with
	// the number of failures in a row, and with 0 failures when it answers again.
	// It must not call the table.
	OnSuspend func(backend string, failures int, pause time.Duration)
	// OnNotice, if set, is told when a backend server begins to leave, or a backoff begins, by its own
	// word; own: it was told to this instance, not by another one. It must not call the table.
	OnNotice func(backend string, n request.Notice, own bool)
	// OnAvoid, if set, is told when a backend server becomes the last choice for a while since
	// it refused a number of requests in a row though it has slots free. It must not call
	// the table.
	OnAvoid func(backend string, refusals int, pause time.Duration)
	// Limits, if set, are the rate limits that backend servers name. They are asked with the table
	// locked.
	Limits *ratelimit.Limiter
	// LeaveWithin is how long after a backend server said in an answer that it leaves it may
	// still get requests that no other one can take; afterwards it gets none.
	LeavingGrace time.Duration
	// NewPool returns connections to an address.
	NewPool func(address string) *conn.Pool
	// Reach, if set, opens a connection to a backend server that was suspended before a
	// request tries it. It is called without locks, and may take long.
	Probe func(p *conn.Pool) error
	// Policy holds the figures of choices. The zero value means DefaultPolicy.
	Policy Policy

	mu       sync.Mutex
	routing  *version.Routing
	region   int32
	states   []*backend       // by index in the routing; nil: nothing is known of it
	byHash   map[uint32]int32 // to index, by the bytes of the hash that observations carry; nil: not built
	probing  int              // connections that are being opened to suspended backend servers
	services map[softwareKey]*service
	inFlight map[softwareKey]*int // requests in flight
	homes    targetHomes
	scratch  []candidate // memory of candidates, kept between decisions
	// hallWeights are the weights for uploads by those that they were made from.
	hallWeights map[*version.Weights]*version.Weights
	examined    int // backend servers that choices looked at
	// Memory of the distances of groups from an object.
	nearGroups, farGroups [version.GroupCount]float64
	splits                map[string][]float64 // credit of each part, by route
	seen                  seenObjects
	// notices are those that backend servers told.
	notices map[startKey]*noticeState
}

// Install makes a routing the one that is decided on. What is known of backend servers that
// both the old one and the new one have is kept; both are ordered by name.
func (t *Table) Install(r *version.Routing) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.useDefaults()
	now := t.Now()
	states := make([]*backend, len(r.Backends))
	t.pruneServices(r)
	old := oldRouting{routing: t.routing, states: t.states}
	for i := range r.Backends {
		v := &r.Backends[i]
		was, u := old.match(v)
		if u == nil && needsState(was, v) {
			u = t.newBackend(v, &r.Services[v.Service])
			u.drained = was != nil && was.Drained
		}
		if u != nil && u.applyRow(v, now) {
			u.turns = turns{policy: &t.Policy, rate: r.Services[v.Service].Warming.Rate}
		}
		states[i] = u
	}
	old.releaseRest()
	t.routing, t.states, t.byHash = r, states, nil
	t.reconcileRows(now)
	t.pruneNotices(now)
	t.homes.clear()
	clear(t.hallWeights)
	t.region = r.Region(t.Region)
	if t.Region == "" {
		t.region = r.RegionOfHall(t.Hall)
	}
	if t.splits == nil {
		t.splits = make(map[string][]float64)
	}
}

// replaced walks along a routing that another one takes the place of.
type oldRouting struct {
	routing *version.Routing // nil: there was none
	states  []*backend
	at      int
}

// next returns what the old routing said of a backend server of the new one, and its state, if it
// is the same start; nil otherwise. Those that the new one does not have are given up.
func (o *oldRouting) match(v *version.RoutedBackend) (was *version.RoutedBackend, u *backend) {
	for o.routing != nil && o.at < len(o.states) {
		was, u = &o.routing.Backends[o.at], o.states[o.at]
		if was.Name > v.Name {
			return nil, nil
		}
		o.at++
		if was.Name == v.Name && startKeyOf(was) == startKeyOf(v) {
			return was, u
		}
		u.closeIdle()
		if was.Name == v.Name {
			return nil, nil
		}
	}
	return nil, nil
}

// end gives up what is left.
func (o *oldRouting) releaseRest() {
	for _, u := range o.states[o.at:] {
		u.closeIdle()
	}
}

// giveUp closes the idle connections to a backend server that is gone. Nil has none.
func (u *backend) closeIdle() {
	if u != nil {
		u.pool.CloseIdle()
	}
}

// needsState reports whether something must be remembered from now on of a backend server of
// which nothing is known: since when it is cold. Was is what the routing before said; nil: it
// did not have it.
func needsState(was, v *version.RoutedBackend) bool {
	return v.Cold > 0 || was != nil && was.Drained && !v.Drained
}

// state returns what is known of the backend server of an index. The caller holds the lock.
func (t *Table) state(index int32) *backend {
	u := t.states[index]
	if u == nil {
		v := &t.routing.Backends[index]
		u = t.newBackend(v, &t.routing.Services[v.Service])
		u.drained = v.Drained
		t.states[index] = u
	}
	return u
}

// newBackend returns a backend server of which nothing is known yet. The caller holds
// the lock.
func (t *Table) newBackend(v *version.RoutedBackend, s *version.RoutedService) *backend {
	return &backend{
		service: t.service(s), softwareInFlight: t.inFlightCounter(softwareKey{s.Name, v.Software}), policy: &t.Policy,
		pool: t.NewPool(v.Address), start: startKeyOf(v), share: share{kept: 1}, notices: t.notices[startKeyOf(v)],
	}
}

// useDefaults sets the policy unless it was set. The caller holds the lock.
func (t *Table) useDefaults() {
	if t.Policy == (Policy{}) {
		t.Policy = DefaultPolicy()
	}
}

// install takes up what a routing says, and reports whether the backend server has
// become cold by it.
func (u *backend) applyRow(v *version.RoutedBackend, now time.Duration) bool {
	before := u.coldUntil
	if v.Cold != u.cold {
		u.cold = v.Cold
		u.coldUntil = 0
		if v.Cold > 0 {
			u.coldUntil = now + v.Cold + u.policy.ColdSlack
		}
	}
	if u.drained && !v.Drained {
		u.coldUntil = max(u.coldUntil, now+u.policy.ColdAfterDrain)
	}
	u.drained = v.Drained
	if v.Closed {
		u.pool.CloseIdle()
	}
	return u.coldUntil > before && u.coldUntil > now
}

// Routing returns the routing that is decided on, or nil.
func (t *Table) Routing() *version.Routing {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.routing
}

// Query is what one decision is about.
type Query struct {
	Route *version.RouteView
	// Part is the index of the route's part, as Split returned it.
	Part int
	// Target is the version that a request goes to since a roll-out of the service
	// brings it; "": to the version in force. Nothing is chosen once the roll-out was
	// reverted or replaced.
	Target string
	// Priority is the rank of the request, 0 the most urgent.
	Priority int
	// Object identifies the object that the request concerns; zero: none.
	Object uint64
	// Tried are the names of the backend servers that had the request already.
	Tried []string
	// Unlimited leaves out backend servers that name a rate limit.
	SkipLimited bool
	// Left is the time until the request's deadline.
	Left time.Duration
	// Elapsed is the time since the request came.
	Elapsed time.Duration
}

// Pick is a backend server that was chosen for a request. Done must be called once.
type Pick struct {
	Name    string
	Address string
	// Software is the version of the software that it runs.
	Software string
	// Incarnation tells its starts apart. Zero: it does not say.
	Incarnation int64
	Region      string
	Pool        *conn.Pool
	// Rank is the place of the backend server in the object's order, 0 the first.
	Rank int
	// Unseen is set if the backend server has not worked on the object lately, as far
	// as this instance knows.
	Unseen bool
	// Cold is set while the backend server counts as cold.
	Cold bool
	// LastResort is set if it is one that wants no more requests, and no other could take
	// this one.
	LastResort bool
	// Wait is the estimated time until it begins with the request, and Needs that until
	// it has answered.
	Wait, ExpectedTime time.Duration

	table     *Table
	backend   *backend
	object    uint64 // zero: none
	startHash uint64 // of the backend server
	started   time.Duration
	held      bool // Hold was called
	// turnedAway is set if the answer asked for a backoff.
	backoffRequested bool
}

// Refusal says why nothing was chosen.
type Refusal struct {
	Code request.Code
	// Retry is when to come back.
	RetryAfter time.Duration
	// NoRollout is set if a query for a target was refused since the routing has no
	// roll-out of the service, so that only the version in force may get requests.
	NoRollout bool
	// Why is what the choice saw.
	Explanation Explanation
}

// Split chooses the part of a route for a request by the weights of its route, so that
// the shares hold after every few requests.
func (t *Table) Split(v *version.RouteView) int {
	if len(v.Parts) == 1 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	credits := t.splits[v.Name]
	if len(credits) != len(v.Parts) {
		credits = make([]float64, len(v.Parts))
		for i := range credits {
			credits[i] = rand.Float64() // instances do not all begin with the same part
		}
		t.splits[v.Name] = credits
	}
	total, best := 0.0, 0
	for i, p := range v.Parts {
		credits[i] += p.Weight
		total += p.Weight
		if p.Weight > 0 && (v.Parts[best].Weight == 0 || credits[i] > credits[best]) {
			best = i
		}
	}
	credits[best] -= total
	return best
}
