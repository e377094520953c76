// SPDX-License-Identifier: MIT

package steer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"shalewick/conn"
	"shalewick/process/health"
	"shalewick/process/queue"
	"shalewick/process/slots"
	"shalewick/request"
	"shalewick/version"
)

// Bound is what belongs to one version in force at one instance.
type Bound struct {
	View     *version.View
	Counters *version.Counters
	Since    time.Duration
	Conns    []*conn.Pool   // by backend server
	Queues   []*queue.Queue // by service
}

// Steerer places requests. The exported fields are set before use.
type Steerer struct {
	Now    func() time.Duration // the process's clock
	Region func(*version.View) int32
	Slots  *slots.Table
	Health *health.Table
	// Short is called when a request has to wait for a token.
	Short func()

	bound     atomic.Pointer[Bound]
	confirmed atomic.Int64 // time of the last confirmation; 0: none

	mu     sync.Mutex
	conns  map[string]*conn.Pool // by address
	queues map[string]*queue.Queue
}

// Bound returns what is in force, or nil before the first version.
func (s *Steerer) Bound() *Bound { return s.bound.Load() }

// Confirm notes that somebody confirmed the version in force; asked is when
// the question was sent.
func (s *Steerer) Confirm(asked time.Duration) {
	for {
		old := s.confirmed.Load()
		if int64(asked) <= old || s.confirmed.CompareAndSwap(old, int64(asked)) {
			return
		}
	}
}

// Confirmed returns the time since the last confirmation; the bool is false
// before the first.
func (s *Steerer) Confirmed() (time.Duration, bool) {
	at := s.confirmed.Load()
	return s.Now() - time.Duration(at), at != 0
}

// Fresh reports whether the version in force was confirmed lately.
func (s *Steerer) Fresh() bool {
	age, ok := s.Confirmed()
	return ok && age < slots.ConfirmationTTL
}

// Install puts a view in force.
func (s *Steerer) Install(v *version.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	b := &Bound{View: v, Counters: version.NewCounters(v), Since: now}
	conns := make(map[string]*conn.Pool)
	for i := range v.Backends {
		a := v.Backends[i].Address
		p := s.conns[a]
		if p == nil {
			p = &conn.Pool{Address: a}
		}
		conns[a] = p
		b.Conns = append(b.Conns, p)
	}
	for a, p := range s.conns {
		if conns[a] == nil {
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
		b.Queues = append(b.Queues, s.queues[name])
	}
	s.Health.Install(v, b.Counters, now)
	s.Slots.Install(v, b.Counters, now)
	s.bound.Store(b)
	s.wakeAll(b)
}

// Wake gives the next waiter of each queue a turn.
func (s *Steerer) Wake() {
	if b := s.bound.Load(); b != nil {
		s.wakeAll(b)
	}
}

func (s *Steerer) wakeAll(b *Bound) {
	for _, q := range b.Queues {
		q.Wake()
	}
}

// Ask is one request that wants a place.
type Ask struct {
	Service  string
	Class    request.Class
	Deadline time.Time
	Tried    [2]string // backend servers that were tried already; "" where unused
}

// again reports whether the request was tried before. It then does not wait
// for a place: its end is known already.
func (a *Ask) again() bool { return a.Tried[0] != "" }

// Place is a backend server and the tokens to use it. Exactly one of Dispatch and
// Cancel is to be called.
type Place struct {
	Bound   *Bound
	Backend int32
	Queue   *queue.Queue

	s     *Steerer
	grant slots.Grant
	since time.Duration
}

// Times and bounds of refusals.
const (
	minRetry     = 100 * time.Millisecond
	maxRetry     = 10 * time.Second
	confirmRetry = 500 * time.Millisecond
	closedRetry  = time.Second
)

// Place finds a place, waiting in the queue until it is clear that the
// request can not make its deadline.
func (s *Steerer) Place(ctx context.Context, a *Ask) (*Place, *request.Result) {
	b := s.bound.Load()
	if b == nil {
		return nil, refuse(request.NoVersion, confirmRetry)
	}
	if !s.Fresh() {
		return nil, refuse(request.Unconfirmed, confirmRetry)
	}
	svc := b.View.Service(a.Service)
	if svc == version.None {
		return nil, refuse(request.UnknownService, 0)
	}
	q := b.Queues[svc]
	if q.Len() == 0 || a.again() {
		if p, open := s.try(a); p != nil {
			return p, nil
		} else if !open {
			return nil, refuse(request.NoBackend, closedRetry)
		}
	}
	if a.again() {
		return nil, refuse(request.QueueFull, minRetry)
	}
	return s.wait(ctx, a, q, b.View.Services[svc].Queue)
}

// refuse returns a result for a request of which nothing was sent. A time to
// come back is spread, so that those refused together do not return together.
func refuse(c request.Code, retry time.Duration) *request.Result {
	if retry > 0 {
		retry = min(max(retry, minRetry), maxRetry)
		retry += rand.N(retry)
	}
	r := request.NotRun(c, retry)
	return &r
}

// try makes one decision and takes the tokens. Open is false when no backend server
// takes work.
func (s *Steerer) try(a *Ask) (p *Place, open bool) {
	const tries = 3 // another request may take a token in between
	for range tries {
		b := s.bound.Load()
		svc, region := b.View.Service(a.Service), s.Region(b.View)
		if svc == version.None || region == version.None {
			return nil, false // the version has no such service, or not this instance's hall
		}
		now := s.Now()
		query := version.Query{
			Service: svc, Region: region, Random: rand.Uint64(), InForce: now - b.Since,
			Exclude: [2]int32{b.backend(a.Tried[0]), b.backend(a.Tried[1])},
		}
		c := b.View.Decide(&query, b.Counters)
		s.noteMiss(b, &query, &c)
		if c.Backend == version.None {
			return nil, c.Open
		}
		if g, ok := s.Slots.Acquire(b.View.Seq, &c, now); ok {
			return &Place{Bound: b, Backend: c.Backend, Queue: b.Queues[svc], s: s, grant: g, since: now}, true
		}
	}
	return nil, true
}

func (b *Bound) backend(name string) int32 {
	if name == "" {
		return version.None
	}
	for i := range b.View.Backends {
		if b.View.Backends[i].Name == name {
			return int32(i)
		}
	}
	return version.None
}

// noteMiss tells the token table of tokens that were lacking.
func (s *Steerer) noteMiss(b *Bound, q *version.Query, c *version.Choice) {
	if c.Link != version.None {
		s.Slots.RecordShortage(b.View.Services[q.Service].Name, b.View.Regions[q.Region], b.View.Pools[c.Link].Name)
	}
	if c.Missed == version.None {
		return
	}
	sh := &b.View.Services[q.Service].Shifts[q.Region]
	names := make([]string, 0, version.MaxPools)
	for _, p := range []int32{sh.Pool, sh.RatePool} {
		if p != version.None && b.Counters.Free[p].Load() <= 0 {
			names = append(names, b.View.Pools[p].Name)
		}
	}
	s.Slots.RecordShortage(b.View.Services[q.Service].Name, b.View.Regions[c.Missed], names...)
	s.Short()
}

// wait queues the request until it has a place or none in time.
func (s *Steerer) wait(ctx context.Context, a *Ask, q *queue.Queue, limit int) (*Place, *request.Result) {
	expect := q.Expect(q.Ahead(a.Class), s.Slots.SlotCapacity(a.Service, s.Now()))
	if time.Until(a.Deadline) < expect {
		return nil, refuse(request.DeadlineNear, expect)
	}
	expect = max(expect, minRetry) // nothing was served yet, or all is quick
	w, ok := q.Enter(a.Class, limit)
	if !ok {
		return nil, refuse(request.QueueFull, expect)
	}
	defer q.Leave(w)
	region := s.RegionName()
	s.Slots.AddWaiting(a.Service, region, 1)
	defer s.Slots.AddWaiting(a.Service, region, -1)
	s.Short()
	latest := time.NewTimer(time.Until(a.Deadline) - q.Expect(0, 1))
	defer latest.Stop()
	for {
		if p, open := s.try(a); p != nil {
			return p, nil
		} else if !open {
			return nil, refuse(request.NoBackend, closedRetry)
		}
		select {
		case <-w.Turn:
		case <-w.Evicted:
			return nil, refuse(request.QueueFull, expect)
		case <-latest.C:
			return nil, refuse(request.DeadlineNear, expect)
		case <-ctx.Done():
			return nil, refuse(request.CallerGone, 0)
		}
		if !s.Fresh() {
			return nil, refuse(request.Unconfirmed, confirmRetry)
		}
	}
}

// RegionName returns the name of the instance's region, or "" when the version
// in force does not have its hall.
func (s *Steerer) RegionName() string {
	v := s.bound.Load().View
	if r := s.Region(v); r != version.None {
		return v.Regions[r]
	}
	return ""
}

// Dispatch sends the request to the place's backend server.
func (p *Place) Dispatch(ctx context.Context, req *http.Request, deadline time.Time) (*conn.Exchange, error) {
	return p.Bound.Conns[p.Backend].Dispatch(ctx, req, conn.Options{
		Deadline: deadline,
		Allowed:  func() bool { return p.s.Fresh() && p.s.Slots.Valid(&p.grant, p.s.Now()) },
		Release:  p.release,
	})
}

// Name returns the name of the place's backend server.
func (p *Place) Name() string { return p.Bound.View.Backends[p.Backend].Name }

// Cancel gives the tokens back unused.
func (p *Place) Cancel() { p.release(false) }

// release gives the tokens back. Of a silent backend server, which may be frozen
// with the request in hand, those for its slot and for a shift come back only
// once it is heard from again.
func (p *Place) release(silent bool) {
	if silent {
		p.s.Slots.ReleaseLinkAndRate(&p.grant, p.s.Now())
		p.s.Health.AwaitWord(p.Name(), p.s.Now(), func() { p.release(false) })
		return
	}
	now := p.s.Now()
	p.Queue.Served(now - p.since)
	p.s.Slots.Release(&p.grant, now)
}
