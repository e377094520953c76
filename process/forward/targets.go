// SPDX-License-Identifier: MIT

package forward

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"shalewick/conn"
)

const (
	// maxPerRegion is the number of instances of a region that one instance forwards to. It bounds
	// the connections between instances in a large fleet.
	maxPerRegion = 8
	// refreshInterval is how long the list of instances is used.
	refreshInterval = 250 * time.Millisecond
	// An instance that could not be reached gets no request for minUnreachablePause, doubled with
	// each further failure up to maxPause. One that can't serve a service gets none for that service
	// for minDeclinedPause, doubled likewise.
	minUnreachablePause = 400 * time.Millisecond
	minDeclinedPause    = 500 * time.Millisecond
	maxPause            = 4 * time.Second
	maxDoublings        = 5
)

// Instance is an instance that may serve forwarded requests.
type Instance struct {
	Name        string
	Incarnation int64  // distinguishes its starts
	Address     string // for other instances
	Region      string
	Busy        bool // most of its capacity is in use
}

// Targets holds the instances that requests are forwarded to. The exported fields must be set before
// use.
type Targets struct {
	Now func() time.Duration
	// Self is the name of this instance, and Region returns that of its region.
	Self   string
	Region func() string
	// List returns the other instances that may serve requests.
	List func() []Instance
	// NewPool returns the connection pool for an address.
	NewPool func(address string) *conn.Pool

	mu          sync.Mutex
	targets     []*target
	refreshedAt time.Duration // zero: never
}

// target is an instance with its state.
type target struct {
	Instance
	pool     *conn.Pool
	inFlight int
	down     pause
	declined map[string]*pause // by service
}

// pause is a time without requests that doubles with each failure. The zero value is none.
type pause struct {
	failures int
	until    time.Duration
	length   time.Duration
}

// extend begins the pause after another failure.
func (p *pause) extend(shortest, now time.Duration) {
	p.length = min(shortest<<min(p.failures, maxDoublings), maxPause)
	p.failures++
	p.until = now + p.length
}

// over reports whether a request may be sent. After a failure that is a single one, since the pause
// begins again with it until its outcome is known.
func (p *pause) over(now time.Duration) bool { return p == nil || p.failures == 0 || now >= p.until }

// begin records that a request is sent.
func (p *pause) begin(now time.Duration) {
	if p != nil && p.failures > 0 {
		p.until = now + p.length
	}
}

// Query describes the request that a target is chosen for.
type Query struct {
	Service string
	// Allowed reports whether instances of a region may get the request; nil: all may.
	Allowed func(region string) bool
	// Tried holds the names of the instances that the request was forwarded to already.
	Tried []string
}

// Pick is the choice for one request. Done must be called once.
type Pick struct {
	Instance
	Pool *conn.Pool

	targets *Targets
	target  *target
	service string
}

// Outcome is the result of forwarding a request.
type Outcome uint8

// The outcomes.
const (
	// Served: the instance served the request, or rejected it for a reason that holds for all.
	Served Outcome = iota
	// Declined: the instance can't serve the service at present.
	Declined
	// Unreachable: the request could not be sent, or the connection broke.
	Unreachable
	// Abandoned: the request ended for a reason unrelated to the instance.
	Abandoned
)

// Available reports whether there is a target for the request.
func (t *Targets) Available(q *Query) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.choose(q, t.Now()) != nil
}

// Pick chooses a target, or returns nil if there is none: instances of the own region first, and
// busy ones last.
func (t *Targets) Pick(q *Query) *Pick {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	x := t.choose(q, now)
	if x == nil {
		return nil
	}
	x.inFlight++
	x.down.begin(now)
	x.declined[q.Service].begin(now)
	return &Pick{Instance: x.Instance, Pool: x.pool, targets: t, target: x, service: q.Service}
}

// choose returns the less loaded of two random targets of the first tier that has any. The caller
// holds the lock.
func (t *Targets) choose(q *Query, now time.Duration) *target {
	t.refresh(now)
	region := t.Region()
	var best []*target
	bestTier := 0
	for _, x := range t.targets {
		if !x.usable(q, now) {
			continue
		}
		switch tier := x.tier(region); {
		case len(best) == 0 || tier < bestTier:
			best, bestTier = append(best[:0], x), tier
		case tier == bestTier:
			best = append(best, x)
		}
	}
	if len(best) == 0 {
		return nil
	}
	a, b := best[rand.IntN(len(best))], best[rand.IntN(len(best))]
	if b.inFlight < a.inFlight {
		return b
	}
	return a
}

// tier returns the preference of a target for an instance of a region, the lowest first.
func (x *target) tier(region string) int {
	tier := 0
	if x.Region != region {
		tier = 1
	}
	if x.Busy {
		tier += 2
	}
	return tier
}

// usable reports whether a target may get the request.
func (x *target) usable(q *Query, now time.Duration) bool {
	if q.Allowed != nil && !q.Allowed(x.Region) || slices.Contains(q.Tried, x.Name) {
		return false
	}
	return x.down.over(now) && x.declined[q.Service].over(now)
}

// refresh updates the targets if that is due. The caller holds the lock.
func (t *Targets) refresh(now time.Duration) {
	if t.refreshedAt != 0 && now-t.refreshedAt < refreshInterval {
		return
	}
	t.refreshedAt = now
	previous := make(map[string]*target, len(t.targets))
	for _, x := range t.targets {
		previous[x.Name] = x
	}
	t.targets = t.targets[:0]
	for _, i := range t.preferred(t.List()) {
		x := previous[i.Name]
		if x == nil || x.Incarnation != i.Incarnation || x.Address != i.Address {
			x = &target{pool: t.NewPool(i.Address), declined: make(map[string]*pause)}
		} else {
			delete(previous, i.Name)
		}
		x.Instance = i
		t.targets = append(t.targets, x)
	}
	for _, x := range previous {
		x.pool.CloseIdle()
	}
}

// preferred returns up to maxPerRegion instances of each region, those that are not busy first, in an
// order that differs by instance.
func (t *Targets) preferred(all []Instance) []Instance {
	rank := func(i *Instance) uint64 { return xxhash.Sum64String(t.Self + "\x00" + i.Name) }
	slices.SortFunc(all, func(a, b Instance) int {
		if a.Busy != b.Busy {
			if a.Busy {
				return 1
			}
			return -1
		}
		return cmp.Compare(rank(&a), rank(&b))
	})
	count := make(map[string]int)
	return slices.DeleteFunc(all, func(i Instance) bool {
		count[i.Region]++
		return i.Name == t.Self || count[i.Region] > maxPerRegion
	})
}

// Done reports the outcome.
func (p *Pick) Done(o Outcome) {
	t, x := p.targets, p.target
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	x.inFlight--
	switch o {
	case Served:
		x.down = pause{}
		delete(x.declined, p.service)
	case Declined:
		x.down = pause{}
		if x.declined[p.service] == nil {
			x.declined[p.service] = &pause{}
		}
		x.declined[p.service].extend(minDeclinedPause, now)
	case Unreachable:
		x.down.extend(minUnreachablePause, now)
		x.pool.CloseIdle() // they may lead to a process that is gone
	case Abandoned:
	}
}
