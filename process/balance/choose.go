// SPDX-License-Identifier: MIT

package balance

import (
	"math"
	"math/rand/v2"
	"time"

	"shalewick/request"
	"shalewick/version"
)

// Pick chooses a backend server, or says why there is none. Those that want no more requests
// by their own word come last: they get what no other can take in time, as long as they may.
func (t *Table) Pick(q *Query) (*Pick, Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	pick, refusal := t.choose(q, eligible)
	if pick != nil || refusal.Why.lastResort == 0 || refusal.Code == request.DeadlineNear {
		return pick, refusal
	}
	if last, _ := t.choose(q, lastResort); last != nil {
		last.LastResort = true
		return last, Refusal{}
	}
	return nil, refusal
}

// choose chooses among the backend servers of one eligibility. The caller holds the lock.
func (t *Table) choose(q *Query, among eligibility) (*Pick, Refusal) {
	now := t.Now()
	part := q.part(t.routing)
	if part == nil {
		t.useDefaults()
		return nil, Refusal{Code: request.NoBackend, Retry: t.comeBack(request.NoBackend, 0), NoRollout: q.noRollout(t.routing)}
	}
	s := &t.routing.Services[part.Service]
	object := q.Object
	if object == 0 || !q.Route.Sticky {
		object = rand.Uint64()
	}
	t.adaptShares(s, now)
	c, _ := t.candidates(q, part, s, object, among, now, false)
	best, ok := t.best(s, c, now)
	refused := func() Why {
		_, why := t.candidates(q, part, s, object, among, now, true)
		return why
	}
	if !ok {
		why := refused()
		why.Cold = len(c)
		retry := t.comeBack(request.NoBackend, 0)
		if why.allHeldBack() {
			retry += t.heldBackFor(q, s.Backends, now) // no sooner: it would be refused again
		}
		return nil, Refusal{Code: request.NoBackend, Retry: retry, Why: why}
	}
	if least := t.leastTime(q, best); q.Left < least {
		why := refused()
		why.Best, why.Wait, why.Patience = t.routing.Backends[best.index].Name, least, q.Left
		return nil, Refusal{Code: request.DeadlineNear, Why: why}
	}
	patience := t.patience(q, s, best)
	if over := best.wait - patience; over > 0 {
		why := refused()
		why.Best, why.Wait, why.Patience = t.routing.Backends[best.index].Name, best.wait, patience
		return nil, Refusal{Code: request.QueueFull, Retry: t.comeBack(request.QueueFull, over), Why: why}
	}
	return t.take(q, best, s, now), Refusal{}
}

// heldBackFor returns when one of some backend servers, all of which are backed off from or
// limited, may take the request of a query. The caller holds the lock.
func (t *Table) heldBackFor(q *Query, backends []int32, now time.Duration) time.Duration {
	backoff, limit := t.backoffLeft(backends, now), t.limitLeft(q, backends)
	if limit > 0 {
		limit += rand.N(limit) // one has room for few at a time
	}
	if backoff == 0 || limit == 0 {
		return max(backoff, limit)
	}
	return min(backoff, limit)
}

// part returns the part of the query's route; nil when the routing has
// changed so that it is not there any more.
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

// service returns the service of the query's part with the version in force; nil when the
// routing has changed so that it is not there any more.
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

// targetIn returns the version that a roll-out of the query's service brings in a routing;
// "" if none runs there.
func (q *Query) targetIn(r *version.Routing) string {
	s := q.service(r)
	if s == nil || s.Target == version.None {
		return ""
	}
	return r.Services[s.Target].Software
}

// noRollout reports whether the query is for a target, and no roll-out of its service runs
// in the routing.
func (q *Query) noRollout(r *version.Routing) bool {
	return q.Target != "" && q.service(r) != nil && q.targetIn(r) == ""
}

// targetPart returns the part for the target of a roll-out of a part's service; nil when
// there is none any more, or it has another target now. A request that came before the
// roll-out may have waited for its body so long that it has to go there: then the weights
// are not known.
func targetPart(r *version.Routing, p *version.RoutePart, s *version.RoutedService, software string) *version.RoutePart {
	if s.Target == version.None {
		if s.Software == software {
			// It was completed since the attempt began, or the roll-outs do not know it
			// yet: refusing would cost each request of that moment its answer.
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

// connections returns this instance's share of the connections that a backend server
// of a service accepts from all instances; each request takes one.
func (t *Table) connections(s *version.RoutedService) int {
	if s.MaxConnections == 0 {
		return math.MaxInt
	}
	_, of := t.Place()
	return max(1, s.MaxConnections/max(1, of))
}

// best returns the candidate of the lowest cost.
func (t *Table) best(s *version.RoutedService, c []candidate, now time.Duration) (candidate, bool) {
	best := -1
	for i := range c {
		if !t.warmEnough(s, c[i].index, now) {
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

// warmEnough reports whether the backend server's warming leaves room for a request.
func (t *Table) warmEnough(s *version.RoutedService, index int32, now time.Duration) bool {
	u := t.state(index)
	if s.Warming.Rate == 0 || now >= u.coldUntil {
		return true
	}
	place, of := t.Place()
	return u.turns.open(place, of, now)
}

// take notes that a request goes to a backend server.
func (t *Table) take(q *Query, c candidate, s *version.RoutedService, now time.Duration) *Pick {
	v := &t.routing.Backends[c.index]
	u := t.state(c.index)
	u.inFlight++
	*u.flights++
	if u.notices != nil {
		u.notices.backoff.sent(now)
	}
	if s.Warming.Rate > 0 && now < u.coldUntil {
		u.turns.use(now)
	}
	object := uint64(0)
	if q.Route.Sticky {
		object = q.Object
	}
	return &Pick{
		Name: v.Name, Address: v.Address, Software: v.Software, Incarnation: v.Incarnation, Region: t.routing.Regions[v.Region], Pool: u.pool,
		Rank: c.place, Unseen: c.unseen, Cold: now < u.coldUntil, Wait: c.wait, Needs: t.needs(c, now),
		table: t, u: u, object: object, life: v.IncarnationHash, started: now,
	}
}
