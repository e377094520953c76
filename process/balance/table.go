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

// Table holds the backend servers that one process knows, and chooses among them. The exported
// fields are set before use.
type Table struct {
	Now func() time.Duration
	// MemberIndex returns the index of this instance, from 0, among the live instances and their
	// count, by which shared quantities are divided. A count of zero: not known yet.
	MemberIndex func() (index, count int)
	// Region and Hall are the names of this instance's region and hall. If Region is empty, it is
	// derived from the hall by the configuration.
	Region string
	Hall   string
	// OnSuspend, if set, is called when a backend server is suspended, with the number of
	// consecutive failures, and with 0 failures when it responds again. It must not call the table.
	OnSuspend func(backend string, failures int, pause time.Duration)
	// OnMisdirected, if set, is called when the server at the address of a backend server says that it is
	// another one. It must not call the table.
	OnMisdirected func(backend string)
	// OnLinks is called by WatchLinks when this instance reaches no backend server any more, and
	// when it does again.
	OnLinks func(lost bool)
	// OnNotice, if set, is called when a backend server announces that it is leaving or a backoff
	// starts. own is set if this instance received the notice itself, not by gossip. It must not
	// call the table.
	OnNotice func(backend string, n request.Notice, own bool)
	// OnAvoid, if set, is called when a backend server becomes the last resort for a while because
	// it refused consecutive requests although it has free slots. It must not call the table.
	OnAvoid func(backend string, refusals int, pause time.Duration)
	// Limits, if set, holds the rate limits that backend servers name. It is called with the table
	// locked.
	Limits *ratelimit.Limiter
	// LeavingGrace is how long after a notice that it is leaving a backend server may still get
	// requests that no other can accept. Afterwards it gets none.
	LeavingGrace time.Duration
	// NewPool returns the connection pool for an address.
	NewPool func(address string) *conn.Pool
	// Probe, if set, opens a connection to a suspended backend server before a request tries it.
	// It is called without locks held, and may take long.
	Probe func(p *conn.Pool) error
	// Policy holds the parameters of choices. The zero value means DefaultPolicy.
	Policy Policy

	mu      sync.Mutex
	routing *version.Routing
	region  int32
	states  []*backend       // by index in the routing; nil: no state
	byHash  map[uint32]int32 // index by the part of the hash that gossip carries; nil: not built
	probing int              // number of probes in progress
	reach   reachability
	// linksSuspected signals to WatchLinks; nil: not created yet.
	linksSuspected chan struct{}
	services       map[softwareKey]*service
	inFlight       map[softwareKey]*int // number of requests in flight
	homes          targetHomes
	scratch        []candidate // buffer of candidates, reused between choices
	// hallWeights caches the weights for uploads by the weights that they were derived from.
	hallWeights map[*version.Weights]*version.Weights
	examined    int // number of backend servers that choices examined
	// Buffers for the distances of groups from an object, reused between choices.
	nearGroups, farGroups [version.GroupCount]float64
	splits                map[string][]float64 // credit of each part, by route
	seen                  seenObjects
	// notices are also kept for backend servers that the routing does not contain at present.
	notices map[startKey]*noticeState
}

// Install makes a routing the current one. The state of backend servers that are also in the
// previous one is kept; both are sorted by name.
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
		previous, u := old.match(v)
		if u == nil && needsState(previous, v) {
			u = t.newBackend(v, &r.Services[v.Service])
			u.drained = previous != nil && previous.Drained
		}
		if u != nil && u.applyRow(v, now) {
			u.turns = turns{policy: &t.Policy, rate: r.Services[v.Service].Warming.Rate}
		}
		states[i] = u
	}
	old.closeRemaining()
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

// oldRouting iterates over the routing that is being replaced.
type oldRouting struct {
	routing *version.Routing // nil: there was none
	states  []*backend
	at      int
}

// match returns the previous row and state of a backend server of the new routing if it is the
// same incarnation, nil otherwise. It closes the idle connections of those that the new routing
// does not contain.
func (o *oldRouting) match(v *version.RoutedBackend) (previous *version.RoutedBackend, u *backend) {
	for o.routing != nil && o.at < len(o.states) {
		previous, u = &o.routing.Backends[o.at], o.states[o.at]
		if previous.Name > v.Name {
			return nil, nil
		}
		o.at++
		if previous.Name == v.Name && startKeyOf(previous) == startKeyOf(v) {
			return previous, u
		}
		u.closeIdle()
		if previous.Name == v.Name {
			return nil, nil
		}
	}
	return nil, nil
}

// closeRemaining closes the idle connections of all that are left.
func (o *oldRouting) closeRemaining() {
	for _, u := range o.states[o.at:] {
		u.closeIdle()
	}
}

// closeIdle closes the idle connections to a backend server that is gone. u may be nil.
func (u *backend) closeIdle() {
	if u != nil {
		u.pool.CloseIdle()
	}
}

// needsState reports whether state is needed for a backend server that has none, in order to
// remember since when it is cold. previous is its row in the previous routing, or nil.
func needsState(previous, v *version.RoutedBackend) bool {
	return v.Cold > 0 || previous != nil && previous.Drained && !v.Drained
}

// state returns the state of a backend server, and creates it if necessary. The caller holds the
// lock.
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

// newBackend returns the initial state of a backend server. The caller holds the lock.
func (t *Table) newBackend(v *version.RoutedBackend, s *version.RoutedService) *backend {
	return &backend{
		service: t.service(s), softwareInFlight: t.inFlightCounter(softwareKey{s.Name, v.Software}), policy: &t.Policy,
		pool: t.NewPool(v.Address), start: startKeyOf(v), share: share{kept: 1}, notices: t.notices[startKeyOf(v)],
	}
}

// useDefaults sets the default policy unless one was set. The caller holds the lock.
func (t *Table) useDefaults() {
	if t.Policy == (Policy{}) {
		t.Policy = DefaultPolicy()
	}
}

// applyRow applies the row of a new routing, and reports whether the backend server has become
// cold by it.
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

// Routing returns the current routing, or nil.
func (t *Table) Routing() *version.Routing {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.routing
}

// Query describes the request that a choice is made for.
type Query struct {
	Route *version.RouteView
	// Part is the index of the route's part, as returned by Split.
	Part int
	// Target is the software version that a rollout introduces and the request goes to; "": the
	// version in force. Nothing is chosen once the rollout was reverted or replaced.
	Target string
	// Priority is the priority of the request, 0 the most urgent.
	Priority int
	// Object identifies the object that the request concerns; zero: none.
	Object uint64
	// Tried holds the names of the backend servers that the request was sent to already.
	Tried []string
	// SkipLimited excludes backend servers that name a rate limit.
	SkipLimited bool
	// Left is the time until the request's deadline.
	Left time.Duration
	// Elapsed is the time since the request arrived.
	Elapsed time.Duration
}

// Pick is a backend server that was chosen for a request. Done must be called once.
type Pick struct {
	Name    string
	Address string
	// Software is the software version that it runs.
	Software string
	// Incarnation distinguishes its starts. Zero: not declared.
	Incarnation int64
	Region      string
	Pool        *conn.Pool
	// Rank is the position of the backend server in the object's order, from 0.
	Rank int
	// Unseen is set if the backend server has not processed the object lately, as far as this
	// instance knows.
	Unseen bool
	// Cold is set if the backend server is still warming up.
	Cold bool
	// LastResort is set if the backend server wants no more requests, and no other could accept
	// this one.
	LastResort bool
	// Wait is the estimated queueing time, ExpectedTime the estimated time to the response.
	Wait, ExpectedTime time.Duration

	table           *Table
	backend         *backend
	object          uint64 // zero: none
	incarnationHash uint64 // of the backend server's incarnation
	started         time.Duration
	held            bool // Hold was called
	// backoffRequested is set if the response requested a backoff.
	backoffRequested bool
}

// Refusal says why nothing was chosen.
type Refusal struct {
	Code request.Code
	// RetryAfter is the time after which the request should be tried again.
	RetryAfter time.Duration
	// NoRollout is set if a query for a target was refused because no rollout of the service is
	// in progress, so that only the version in force may get requests.
	NoRollout   bool
	Explanation Explanation
}

// Split chooses the part of a route for a request, by weight. It is a smooth weighted round robin,
// so that the shares hold over any few requests.
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
			credits[i] = rand.Float64() // so that instances do not all begin with the same part
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
