// SPDX-License-Identifier: MIT

package balance

import (
	"math"
	"math/rand/v2"
	"slices"
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
	c, why := t.candidates(q, part, s, object, among, now)
	best, ok := t.best(s, c, now)
	if !ok {
		why.Cold = len(c)
		retry := t.comeBack(request.NoBackend, 0)
		if why.allBackedOff() {
			retry += t.backoffLeft(s.Backends, now) // no sooner: it would be refused again
		}
		return nil, Refusal{Code: request.NoBackend, Retry: retry, Why: why}
	}
	if least := t.leastTime(q, best); q.Left < least {
		why.Best, why.Wait, why.Patience = t.routing.Backends[best.index].Name, least, q.Left
		return nil, Refusal{Code: request.DeadlineNear, Why: why}
	}
	patience := t.patience(q, s, best)
	if over := best.wait - patience; over > 0 {
		why.Best, why.Wait, why.Patience = t.routing.Backends[best.index].Name, best.wait, patience
		return nil, Refusal{Code: request.QueueFull, Retry: t.comeBack(request.QueueFull, over), Why: why}
	}
	return t.take(q, best, s, now), Refusal{}
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
	if s.Name != q.Route.Split[q.Part].Service || s.OfTarget {
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

// candidate is a backend server that may get the request.
type candidate struct {
	index     int32
	near, far float64 // distances in the two orders
	place     int     // in the order of choices
	wait      time.Duration
	cost      time.Duration
	unseen    bool // the backend server has not worked on the object lately
}

// candidates lists the backend servers of one eligibility that may get the request now, the
// first choices of its object only, and counts those that may not. The list is good
// until the next call.
func (t *Table) candidates(q *Query, part *version.RoutePart, s *version.RoutedService, object uint64, among eligibility, now time.Duration) ([]candidate, Why) {
	why := Why{Backends: len(s.Backends)}
	c := t.scratch[:0]
	weights := t.weights(part, s)
	bound := t.connections(s)
	missed, missedNear := int32(-1), 0.0 // the suspended one that would come first
	for k, i := range s.Backends {
		v := &t.routing.Backends[i]
		u := t.states[i]
		if v.Closed {
			why.Closed++
			continue
		}
		e := eligible
		if u.notices != nil {
			e = t.eligibilityFor(q, u, now)
		}
		if e != ineligible && t.reaching < mostReached {
			t.reach(v.Name, u, now)
		}
		draw := v.Draw(object) / u.share.kept
		near := draw / weights(k)
		switch {
		case q.Route.Home != nil && !q.Route.Home[v.Region]:
			why.Foreign++
			continue
		case e != among:
			why.leftOut(u, e, now)
			continue
		case !u.usable(now):
			why.Suspended++
			if missed < 0 || near < missedNear {
				missed, missedNear = i, near
			}
			continue
		case u.inFlight >= bound:
			why.Full++
			continue
		case slices.Contains(q.Tried, v.Name):
			why.Tried++
			continue
		}
		c = append(c, candidate{index: i, near: near, far: draw / float64(v.Slots)})
	}
	t.scratch = c[:0]
	c = t.firstChoices(c)
	if missed >= 0 && (len(c) == 0 || missedNear < c[0].near) {
		t.reach(t.routing.Backends[missed].Name, t.states[missed], now)
	}
	for k := range c {
		x := &c[k]
		v := &t.routing.Backends[x.index]
		u := t.states[x.index]
		x.place = k
		x.wait = u.wait(now, v.Slots)
		work := u.workNow(now)
		x.cost = x.wait + time.Duration(k)*t.Policy.PlaceCost + work - u.usualWork()
		x.unseen = q.Route.Sticky && !t.seen.has(object, v.Life, now, t.Policy.SeenFor)
		if k > 0 && x.unseen {
			x.cost += time.Duration(t.Policy.UnseenCost * float64(work))
		}
	}
	return c, why
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

// weights returns the weight of the k-th backend server for requests of this region.
func (t *Table) weights(part *version.RoutePart, s *version.RoutedService) func(k int) float64 {
	if t.region == version.None || len(part.Weights) <= int(t.region) || len(part.Weights[t.region]) != len(s.Backends) {
		return func(int) float64 { return 1 }
	}
	w := part.Weights[t.region]
	return func(k int) float64 { return w[k] }
}

// firstChoices keeps the first of the near order and then the first others of
// the far order.
func (t *Table) firstChoices(c []candidate) []candidate {
	near, far := t.Policy.NearChoices, t.Policy.FarChoices
	least(c, near, func(x *candidate) float64 { return x.near })
	if len(c) <= near {
		return c
	}
	least(c[near:], far, func(x *candidate) float64 { return x.far })
	return c[:min(len(c), near+far)]
}

// least moves the n candidates of the least distance to the front, in order.
func least(c []candidate, n int, distance func(*candidate) float64) {
	for i := range min(n, len(c)) {
		first := i
		for k := i + 1; k < len(c); k++ {
			if distance(&c[k]) < distance(&c[first]) {
				first = k
			}
		}
		c[i], c[first] = c[first], c[i]
	}
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
	u := t.states[index]
	if s.Warming.Rate == 0 || now >= u.coldUntil {
		return true
	}
	place, of := t.Place()
	return u.turns.open(place, of, now)
}

// take notes that a request goes to a backend server.
func (t *Table) take(q *Query, c candidate, s *version.RoutedService, now time.Duration) *Pick {
	v := &t.routing.Backends[c.index]
	u := t.states[c.index]
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
		table: t, u: u, object: object, life: v.Life, started: now,
	}
}
