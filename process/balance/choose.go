// SPDX-License-Identifier: MIT

package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"shalewick/request"
	"shalewick/version"
)

// Shares of bounds that hold over all instances.
const (
	// coldShare is the part of a warming rate that all instances together use.
	coldShare = 1.2
)

// Pick chooses an upstream, or says why there is none.
func (t *Table) Pick(q *Query) (*Pick, Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	s := &t.routing.Services[q.Service]
	c := t.candidates(q, s, now)
	if len(c) == 0 {
		return nil, Refusal{Code: request.NoUpstream, Retry: t.comeBack(request.NoUpstream)}
	}
	slices.SortFunc(c, func(a, b candidate) int {
		if a.rank > b.rank {
			return -1
		}
		return 1
	})
	best, ok := t.best(q, s, c, now)
	if !ok {
		return nil, Refusal{Code: request.QueueFull, Retry: t.comeBack(request.QueueFull)}
	}
	return t.take(best, s, now), Refusal{}
}

// candidate is an upstream that may get the request.
type candidate struct {
	index int32
	rank  uint64
	place int // in the order of ranks
	wait  time.Duration
}

// candidates lists the upstreams that may get the request now.
func (t *Table) candidates(q *Query, s *version.RoutedService, now time.Duration) []candidate {
	c := make([]candidate, 0, len(s.Upstreams))
	object := q.Object
	if object == 0 || !q.Route.Sticky {
		object = rand.Uint64()
	}
	for _, i := range s.Upstreams {
		v := &t.routing.Upstreams[i]
		u := t.states[i]
		if v.Closed || q.Route.Home != nil && !q.Route.Home[v.Region] {
			continue
		}
		if !u.usable(now) || slices.Contains(q.Tried, v.Name) {
			continue
		}
		c = append(c, candidate{index: i, rank: v.Rank(object), wait: u.wait(now, v.Slots)})
	}
	return c
}

// best returns the first in rank that can answer in time; if there is none, the
// one with the shortest wait that is not beyond the request's deadline.
func (t *Table) best(q *Query, s *version.RoutedService, c []candidate, now time.Duration) (candidate, bool) {
	patience := t.patience(q)
	least := -1
	for i := range c {
		c[i].place = i
		if !t.warmEnough(s, c[i].index, now) {
			continue
		}
		if c[i].wait <= patience {
			return c[i], true
		}
		if least < 0 || c[i].wait < c[least].wait {
			least = i
		}
	}
	if least < 0 || c[least].wait > q.Left/2 {
		return candidate{}, false
	}
	return c[least], true
}

// patience is the wait up to which the first in rank is preferred.
func (t *Table) patience(q *Query) time.Duration {
	return max(0, time.Duration(q.Route.Objective)/3-q.Elapsed)
}

// warmEnough reports whether the upstream's warming leaves room for a request.
func (t *Table) warmEnough(s *version.RoutedService, index int32, now time.Duration) bool {
	u := t.states[index]
	return s.Warming.Rate == 0 || now >= u.coldUntil || now >= u.nextCold
}

// take notes that a request goes to an upstream.
func (t *Table) take(c candidate, s *version.RoutedService, now time.Duration) *Pick {
	v := &t.routing.Upstreams[c.index]
	u := t.states[c.index]
	u.inFlight++
	if s.Warming.Rate > 0 && now < u.coldUntil {
		pause := float64(t.Instances()) / (s.Warming.Rate * coldShare)
		u.nextCold = now + time.Duration(pause*float64(time.Second))
	}
	return &Pick{
		Name: v.Name, Address: v.Address, Region: t.routing.Regions[v.Region], Pool: u.pool,
		Rank: c.place, Wait: c.wait, table: t, u: u, started: now,
	}
}

// comeBack returns when a refused request should be tried again.
func (t *Table) comeBack(code request.Code) time.Duration {
	least := 150 * time.Millisecond
	if code == request.NoUpstream {
		least = 400 * time.Millisecond
	}
	return least + rand.N(least)
}

// Outcome is what came of a request at an upstream.
type Outcome uint8

// The outcomes.
const (
	// Answered: a whole answer of the upstream.
	Answered Outcome = iota
	// Refused: the upstream did not run the request.
	Refused
	// Failed: no connection, no answer, or one that is none.
	Failed
	// Abandoned: the request ended for a reason that is not the upstream's.
	Abandoned
)

// Done tells what came of the request. Report is the upstream's word on its
// load, if it gave one.
func (p *Pick) Done(o Outcome, report *Report) {
	t := p.table
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	u := p.u
	u.inFlight--
	if report != nil {
		u.report(*report, now)
	}
	switch o {
	case Answered:
		u.failures = 0
		u.answeredAt = now
		u.learn(now - p.started)
	case Refused:
		u.answeredAt = now
		u.failures = 0
		if report == nil {
			u.report(Report{Running: 1 << 6}, now)
		}
	case Failed:
		if u.answeredAt < p.started {
			u.failed(now)
		}
	case Abandoned:
	}
}

// learn notes how long an answer took.
func (u *upstream) learn(took time.Duration) {
	if u.work == 0 {
		u.work = min(took, firstWork)
		return
	}
	u.work += time.Duration(workGain * float64(took-u.work))
}

// Gone notes that an upstream is no longer at its address.
func (p *Pick) Gone() {
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	p.u.failures = max(p.u.failures, 3)
	p.u.suspended = p.table.Now() + suspendMost
}
