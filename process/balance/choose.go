// SPDX-License-Identifier: MIT

package balance

import (
	"math"
	"math/rand/v2"
	"time"

	"shalewick/request"
	"shalewick/version"
)

// Pick chooses a backend server, or explains why there is none. Backend servers that announced
// that they want no more requests are the last resort: while they are still eligible for that, they
// get the requests that no other can accept in time.
func (t *Table) Pick(q *Query) (*Pick, Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	pick, refusal := t.choose(q, eligible)
	if pick != nil || refusal.Explanation.lastResort == 0 || refusal.Code == request.DeadlineNear {
		return pick, refusal
	}
	if last, _ := t.choose(q, lastResort); last != nil {
		last.LastResort = true
		return last, Refusal{}
	}
	return nil, refusal
}

// Unavailable reports whether Pick would find no backend server for the query, and with which
// refusal. It assigns nothing, and leaves waits and warming to Pick. A query whose service has
// a rollout is never unavailable, since the target of the rollout may accept it.
func (t *Table) Unavailable(q *Query) (Refusal, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	part := q.part(t.routing)
	if part == nil || q.targetIn(t.routing) != "" {
		return Refusal{}, false
	}
	now := t.Now()
	s := &t.routing.Services[part.Service]
	for _, among := range []eligibility{eligible, lastResort} {
		if c, _ := t.candidates(q, part, s, q.Object, among, now, false); len(c) > 0 {
			return Refusal{}, false
		}
	}
	return t.noBackend(q, part, s, q.Object, eligible, now), true
}

// noBackend returns the refusal of a query for which none of the backend servers of one
// eligibility is available. The caller holds the lock.
func (t *Table) noBackend(q *Query, part *version.RoutePart, s *version.RoutedService, object uint64, among eligibility, now time.Duration) Refusal {
	c, explanation := t.candidates(q, part, s, object, among, now, true)
	explanation.Cold = len(c)
	retryAfter := t.retryAfter(request.NoBackend, 0)
	if explanation.allBlocked() {
		retryAfter += t.blockedFor(q, s.Backends, now) // an earlier retry would be refused again
	}
	return Refusal{Code: request.NoBackend, RetryAfter: retryAfter, Explanation: explanation}
}

// choose chooses among the backend servers of one eligibility. The caller holds the lock.
func (t *Table) choose(q *Query, among eligibility) (*Pick, Refusal) {
	now := t.Now()
	part := q.part(t.routing)
	if part == nil {
		t.useDefaults()
		return nil, Refusal{Code: request.NoBackend, RetryAfter: t.retryAfter(request.NoBackend, 0), NoRollout: q.noRollout(t.routing)}
	}
	s := &t.routing.Services[part.Service]
	object := q.Object
	if object == 0 || !q.Route.Sticky {
		object = rand.Uint64()
	}
	t.stepShares(s, now)
	c, _ := t.candidates(q, part, s, object, among, now, false)
	best, ok := t.best(s, c, now)
	explain := func() Explanation {
		_, explanation := t.candidates(q, part, s, object, among, now, true)
		return explanation
	}
	if !ok {
		return nil, t.noBackend(q, part, s, object, among, now)
	}
	if needed := t.minTime(q, best); q.Left < needed {
		explanation := explain()
		explanation.Best, explanation.Wait, explanation.WaitLimit = t.routing.Backends[best.index].Name, needed, q.Left
		return nil, Refusal{Code: request.DeadlineNear, Explanation: explanation}
	}
	waitLimit := t.waitLimit(q, s, best)
	if excess := best.wait - waitLimit; excess > 0 {
		explanation := explain()
		explanation.Best, explanation.Wait, explanation.WaitLimit = t.routing.Backends[best.index].Name, best.wait, waitLimit
		return nil, Refusal{Code: request.QueueFull, RetryAfter: t.retryAfter(request.QueueFull, excess), Explanation: explanation}
	}
	return t.assign(q, best, s, now), Refusal{}
}

// blockedFor returns the time until one of some backend servers may accept the request, all of
// which are backing off or rate limited. The caller holds the lock.
func (t *Table) blockedFor(q *Query, backends []int32, now time.Duration) time.Duration {
	backoff, limited := t.minBackoffLeft(backends, now), t.minLimitLeft(q, backends)
	if limited > 0 {
		limited += rand.N(limited) // a rate limit admits only a few requests at a time
	}
	if backoff == 0 || limited == 0 {
		return max(backoff, limited)
	}
	return min(backoff, limited)
}

// part returns the part of the query's route, or nil if the routing has changed and no longer has
// it.
func (q *Query) part(r *version.Routing) *version.RoutePart {
	s := q.service(r)
	if s == nil {
		return nil
	}
	p := &q.Route.Parts[q.Part]
	if q.Target != "" {
		return targetPart(r, p, s, q.Target)
	}
	return p
}

// service returns the service of the query's part at the version in force, or nil if the routing
// has changed and no longer has it.
func (q *Query) service(r *version.Routing) *version.RoutedService {
	if r == nil || q.Part >= len(q.Route.Parts) {
		return nil
	}
	p := &q.Route.Parts[q.Part]
	if int(p.Service) >= len(r.Services) {
		return nil
	}
	s := &r.Services[p.Service]
	if s.Name != q.Route.Split[q.Part].Service || s.IsTarget {
		return nil
	}
	return s
}

// targetIn returns the software version that a rollout of the query's service introduces, or ""
// if none is in progress.
func (q *Query) targetIn(r *version.Routing) string {
	s := q.service(r)
	if s == nil || s.Target == version.None {
		return ""
	}
	return r.Services[s.Target].Software
}

// noRollout reports whether the query is for a target although no rollout of its service is in
// progress.
func (q *Query) noRollout(r *version.Routing) bool {
	return q.Target != "" && q.service(r) != nil && q.targetIn(r) == ""
}

// targetPart returns the part for the target of a rollout of a part's service, or nil if there is
// none any more or it has another target now. A request that arrived before the rollout may have
// waited so long for its body that it has to go to the target; the weights are not known then.
func targetPart(r *version.Routing, p *version.RoutePart, s *version.RoutedService, software string) *version.RoutePart {
	if s.Target == version.None {
		if s.Software == software {
			// The rollout was completed since the attempt began, or the rollouts do not know of
			// it yet. Refusing would fail every request of that moment.
			return p
		}
		return nil
	}
	target := &r.Services[s.Target]
	switch {
	case target.Software != software:
		return nil
	case p.Target == nil:
		return &version.RoutePart{Service: s.Target, Software: target.Software}
	case p.Target.Service != s.Target || p.Target.Software != target.Software:
		return nil
	}
	return p.Target
}

// connections returns this instance's share of the connections that a backend server of a service
// accepts from all instances. Each request takes one.
func (t *Table) connections(s *version.RoutedService) int {
	if s.MaxConnections == 0 {
		return math.MaxInt
	}
	_, instances := t.MemberIndex()
	return max(1, s.MaxConnections/max(1, instances))
}

// best returns the candidate of the lowest cost that its warming admits.
func (t *Table) best(s *version.RoutedService, c []candidate, now time.Duration) (candidate, bool) {
	best := -1
	for i := range c {
		if !t.warmingAllows(s, c[i].index, now) {
			continue
		}
		if best < 0 || c[i].cost < c[best].cost {
			best = i
		}
	}
	if best < 0 {
		return candidate{}, false
	}
	return c[best], true
}

// warmingAllows reports whether a request may be sent as far as warming is concerned.
func (t *Table) warmingAllows(s *version.RoutedService, index int32, now time.Duration) bool {
	u := t.state(index)
	if s.Warming.Rate == 0 || now >= u.coldUntil {
		return true
	}
	member, count := t.MemberIndex()
	return u.turns.allowed(member, count, now)
}

// assign records that a request goes to a backend server.
func (t *Table) assign(q *Query, c candidate, s *version.RoutedService, now time.Duration) *Pick {
	v := &t.routing.Backends[c.index]
	u := t.state(c.index)
	u.inFlight++
	*u.softwareInFlight++
	if u.notices != nil {
		u.notices.backoff.recordSent(now)
	}
	if s.Warming.Rate > 0 && now < u.coldUntil {
		u.turns.take(now)
	}
	object := uint64(0)
	if q.Route.Sticky {
		object = q.Object
	}
	return &Pick{
		Name: v.Name, Address: v.Address, Software: v.Software, Incarnation: v.Incarnation, Region: t.routing.Regions[v.Region], Pool: u.pool,
		Rank: c.rank, Unseen: c.unseen, Cold: now < u.coldUntil, Wait: c.wait, ExpectedTime: t.expectedTime(c, now),
		table: t, backend: u, object: object, incarnationHash: v.IncarnationHash, started: now,
	}
}
