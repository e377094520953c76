// SPDX-License-Identifier: MIT

package steer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"shalewick/conn"
	"shalewick/process/health"
	"shalewick/process/queue"
	"shalewick/process/ratelimit"
	"shalewick/process/slots"
	"shalewick/request"
	"shalewick/version"
)

// ActiveVersion holds the state that belongs to one version in force at one
// instance.
type ActiveVersion struct {
	View     *version.View
	Counters *version.Counters
	Since    time.Duration  // when it was installed
	Conns    []*conn.Pool   // by backend server
	Queues   []*queue.Queue // by service
}

// Steerer places requests. The exported fields are set before use.
type Steerer struct {
	Now    func() time.Duration // the process's clock
	Region func(*version.View) int32
	Slots  *slots.Table
	Health *health.Table
	// Limits, if set, enforces the rate limits that backend servers name.
	Limits *ratelimit.Limiter
	// OnShortage is called when no token was free for a request.
	OnShortage func()

	active      atomic.Pointer[ActiveVersion]
	confirmedAt atomic.Int64 // 0: not yet confirmed

	mu     sync.Mutex
	conns  map[string]*conn.Pool // by address
	queues map[string]*queue.Queue
}

// Active returns the version in force, or nil before the first one.
func (s *Steerer) Active() *ActiveVersion { return s.active.Load() }

// Confirm records that the version in force was confirmed. The time that counts is
// requestedAt, when the request for the confirmation was sent.
func (s *Steerer) Confirm(requestedAt time.Duration) {
	for {
		old := s.confirmedAt.Load()
		if int64(requestedAt) <= old || s.confirmedAt.CompareAndSwap(old, int64(requestedAt)) {
			return
		}
	}
}

// ConfigAge returns the time since the last confirmation. The bool is false if
// there was none yet.
func (s *Steerer) ConfigAge() (time.Duration, bool) {
	last := s.confirmedAt.Load()
	return s.Now() - time.Duration(last), last != 0
}

// ConfigFresh reports whether the version in force was confirmed within the last
// slots.ConfirmationTTL.
func (s *Steerer) ConfigFresh() bool {
	age, ok := s.ConfigAge()
	return ok && age < slots.ConfirmationTTL
}

// Install puts a view in force.
func (s *Steerer) Install(v *version.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	av := &ActiveVersion{View: v, Counters: version.NewCounters(v), Since: now}
	conns := make(map[string]*conn.Pool)
	for i := range v.Backends {
		addr := v.Backends[i].Address
		p := s.conns[addr]
		if p == nil {
			p = &conn.Pool{Address: addr}
		}
		conns[addr] = p
		av.Conns = append(av.Conns, p)
	}
	for addr, p := range s.conns {
		if conns[addr] == nil {
			p.CloseIdle()
		}
	}
	s.conns = conns
	if s.queues == nil {
		s.queues = make(map[string]*queue.Queue)
	}
	for i := range v.Services {
		name := v.Services[i].Name
		if s.queues[name] == nil {
			s.queues[name] = &queue.Queue{}
		}
		av.Queues = append(av.Queues, s.queues[name])
	}
	s.Health.Install(v, av.Counters, now)
	s.Slots.Install(v, av.Counters, now)
	s.active.Store(av)
	s.wakeAll(av)
}

// Wake lets the next waiter of each queue try to acquire tokens.
func (s *Steerer) Wake() {
	if av := s.active.Load(); av != nil {
		s.wakeAll(av)
	}
}

func (s *Steerer) wakeAll(av *ActiveVersion) {
	for _, q := range av.Queues {
		q.Wake()
	}
}

// Request describes a request that needs a placement.
type Request struct {
	Service  string
	Class    request.Class
	Deadline time.Time
	Tried    [2]string // backend servers that were tried before; "" if unused
}

// isRetry reports whether the request was tried before. A retry does not wait for a
// placement, because the request already has a result.
func (r *Request) isRetry() bool { return r.Tried[0] != "" }

// Placement is a backend server and the tokens to use it. Exactly one of Dispatch
// and Cancel must be called.
type Placement struct {
	Version *ActiveVersion
	Backend int32
	Queue   *queue.Queue

	steerer  *Steerer
	grant    slots.Grant
	placedAt time.Duration
	// permitFrom is the time from which the permit of a rate-limited backend server is
	// valid; zero if there is none.
	permitFrom time.Duration
}

// Retry-after times of rejections.
const (
	minRetryAfter         = 100 * time.Millisecond
	maxRetryAfter         = 10 * time.Second
	unconfirmedRetryAfter = 500 * time.Millisecond
	noBackendRetryAfter   = time.Second
)

// Place finds a placement. If need be, it waits in the queue until it is clear that
// the request cannot meet its deadline.
func (s *Steerer) Place(ctx context.Context, r *Request) (*Placement, *request.Result) {
	av := s.active.Load()
	if av == nil {
		return nil, reject(request.NoVersion, unconfirmedRetryAfter)
	}
	if !s.ConfigFresh() {
		return nil, reject(request.Unconfirmed, unconfirmedRetryAfter)
	}
	svc := av.View.Service(r.Service)
	if svc == version.None {
		return nil, reject(request.UnknownService, 0)
	}
	q := av.Queues[svc]
	if q.Len() == 0 || r.isRetry() {
		if p, open := s.tryWithPermit(ctx, r); p != nil {
			return p, nil
		} else if !open {
			return nil, reject(request.NoBackend, s.noBackendRetryAfter(r))
		}
	}
	if r.isRetry() {
		return nil, reject(request.QueueFull, minRetryAfter)
	}
	return s.wait(ctx, r, q, av.View.Services[svc].Queue)
}

// reject returns a result for a request of which nothing was sent. The retry-after
// time is randomized, so that clients that were rejected together do not come back
// together.
func reject(c request.Code, retryAfter time.Duration) *request.Result {
	if retryAfter > 0 {
		retryAfter = min(max(retryAfter, minRetryAfter), maxRetryAfter)
		retryAfter += rand.N(retryAfter)
	}
	res := request.NotRun(c, retryAfter)
	return &res
}

// try makes one decision and acquires the tokens. It reports open as false if no
// backend server accepts requests. With skipLimited it uses no backend server that has
// a rate limit.
func (s *Steerer) try(r *Request, skipLimited bool) (p *Placement, open bool) {
	const attempts = 3 // another request may take a token between decision and acquisition
	for range attempts {
		av := s.active.Load()
		svc, region := av.View.Service(r.Service), s.Region(av.View)
		if svc == version.None || region == version.None {
			return nil, false // the version lacks the service or this instance's hall
		}
		now := s.Now()
		query := version.Query{
			Service: svc, Region: region, Random: rand.Uint64(), ViewAge: now - av.Since,
			Exclude:     [2]int32{av.backendIndex(r.Tried[0]), av.backendIndex(r.Tried[1])},
			RateLimited: s.rateLimited(av, r, skipLimited),
		}
		c := av.View.Decide(&query, av.Counters)
		s.recordShortage(av, &query, &c)
		if c.Backend == version.None {
			return nil, c.AnyOpen
		}
		if g, ok := s.Slots.Acquire(av.View.Seq, &c, now); ok {
			return &Placement{Version: av, Backend: c.Backend, Queue: av.Queues[svc], steerer: s, grant: g, placedAt: now}, true
		}
	}
	return nil, true
}

func (av *ActiveVersion) backendIndex(name string) int32 {
	if name == "" {
		return version.None
	}
	for i := range av.View.Backends {
		if av.View.Backends[i].Name == name {
			return int32(i)
		}
	}
	return version.None
}

// recordShortage reports to the token table which tokens a decision lacked.
func (s *Steerer) recordShortage(av *ActiveVersion, q *version.Query, c *version.Choice) {
	if c.FullLink != version.None {
		s.Slots.RecordShortage(av.View.Services[q.Service].Name, av.View.Regions[q.Region], av.View.Pools[c.FullLink].Name)
	}
	if c.MissedShift == version.None {
		return
	}
	shift := &av.View.Services[q.Service].Shifts[q.Region]
	names := make([]string, 0, version.MaxPools)
	for _, p := range []int32{shift.Pool, shift.RatePool} {
		if p != version.None && av.Counters.Free[p].Load() <= 0 {
			names = append(names, av.View.Pools[p].Name)
		}
	}
	s.Slots.RecordShortage(av.View.Services[q.Service].Name, av.View.Regions[c.MissedShift], names...)
	s.OnShortage()
}

// wait queues the request until it gets a placement, or until it is too late for one.
func (s *Steerer) wait(ctx context.Context, r *Request, q *queue.Queue, limit int) (*Placement, *request.Result) {
	expectedWait := q.EstimateWait(q.Ahead(r.Class), s.Slots.SlotCapacity(r.Service, s.Now()))
	if time.Until(r.Deadline) < expectedWait {
		return nil, reject(request.DeadlineNear, expectedWait)
	}
	expectedWait = max(expectedWait, minRetryAfter) // the estimate is 0 before any request was served, and small if requests are short
	waiter, ok := q.Enter(r.Class, limit)
	if !ok {
		return nil, reject(request.QueueFull, expectedWait)
	}
	defer q.Leave(waiter)
	region := s.RegionName()
	s.Slots.AddWaiting(r.Service, region, 1)
	defer s.Slots.AddWaiting(r.Service, region, -1)
	s.OnShortage()
	lastStart := time.NewTimer(time.Until(r.Deadline) - q.EstimateWait(0, 1))
	defer lastStart.Stop()
	for {
		if p, open := s.tryWithPermit(ctx, r); p != nil {
			return p, nil
		} else if !open {
			return nil, reject(request.NoBackend, s.noBackendRetryAfter(r))
		}
		select {
		case <-waiter.Ready:
		case <-waiter.Evicted:
			return nil, reject(request.QueueFull, expectedWait)
		case <-lastStart.C:
			return nil, reject(request.DeadlineNear, expectedWait)
		case <-ctx.Done():
			return nil, reject(request.CallerGone, 0)
		}
		if !s.ConfigFresh() {
			return nil, reject(request.Unconfirmed, unconfirmedRetryAfter)
		}
	}
}

// RegionName returns the name of the instance's region, or "" if the version in
// force does not have the instance's hall.
func (s *Steerer) RegionName() string {
	v := s.active.Load().View
	if r := s.Region(v); r != version.None {
		return v.Regions[r]
	}
	return ""
}

// Dispatch sends the request to the backend server.
func (p *Placement) Dispatch(ctx context.Context, req *http.Request, deadline time.Time) (*conn.Exchange, error) {
	ex, err := p.Version.Conns[p.Backend].Dispatch(ctx, req, conn.Options{
		Deadline: deadline,
		Allowed: func() bool {
			return p.steerer.ConfigFresh() && p.steerer.Slots.Valid(&p.grant, p.steerer.Now()) && p.permitValid()
		},
		Release: p.release,
	})
	if dispatchErr := (*conn.DispatchError)(nil); errors.As(err, &dispatchErr) && !dispatchErr.Sent {
		p.returnPermit()
	}
	return ex, err
}

// Name returns the name of the backend server.
func (p *Placement) Name() string { return p.Version.View.Backends[p.Backend].Name }

// Cancel returns the tokens unused.
func (p *Placement) Cancel() { p.release(false) }

// release returns the tokens. If the backend server is unresponsive, it may be
// frozen and still hold the request, so its slot and shift tokens are returned only
// once it has responded again.
func (p *Placement) release(unresponsive bool) {
	if unresponsive {
		p.steerer.Slots.ReleaseLinkAndRate(&p.grant, p.steerer.Now())
		p.steerer.Health.AwaitResponse(p.Name(), p.steerer.Now(), func() { p.release(false) })
		return
	}
	now := p.steerer.Now()
	p.Queue.RecordServiceTime(now - p.placedAt)
	p.steerer.Slots.Release(&p.grant, now)
}

// AnyFailing reports whether any backend server of a service gets no requests because of failures.
func (s *Steerer) AnyFailing(service string) bool {
	av := s.active.Load()
	svc := av.View.Service(service)
	if svc == version.None {
		return false
	}
	now := s.Now()
	for _, backends := range av.View.Services[svc].ByRegion {
		for _, b := range backends {
			if s.Health.Failing(av.View.Backends[b].Name, now) {
				return true
			}
		}
	}
	return false
}
