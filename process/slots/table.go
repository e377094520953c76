// SPDX-License-Identifier: MIT

package slots

import (
	"cmp"
	"sync"
	"time"

	"shalewick/version"
)

// Table holds the tokens of one member. Self and OnFree are set before use.
// All times are durations on the process's own monotonic clock.
type Table struct {
	// Self is the member's id.
	Self string
	// OnFree is called without a lock held when tokens of a service became
	// free; None stands for any service.
	OnFree func(service int32)
	// AwaitWord calls then, without a lock of its own held, once a backend server
	// has answered something that was sent at since or later. Nil means that
	// time alone frees slot tokens.
	AwaitResponse func(backend string, since time.Duration, then func())

	mu             sync.Mutex
	view           *version.View
	counters       *version.Counters
	split          *Split
	pools          map[string]*pool
	byIndex        []*pool // by index in the view's pools
	groups         map[groupKey]*group
	lastLease      uint64
	draining       bool // lends and returns all it can
	lendingStopped bool // lends nothing more
}

type groupKey struct {
	service string
	region  string
}

// Install puts a view in force. Free counts go to the counters from now on.
func (t *Table) Install(v *version.View, n *version.Counters, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pools == nil {
		t.pools = make(map[string]*pool)
	}
	old := t.groups
	t.view, t.counters = v, n
	t.groups = make(map[groupKey]*group)
	for _, p := range t.pools {
		p.index = -1
		p.group = nil
	}
	t.byIndex = make([]*pool, len(v.Pools))
	for i, spec := range v.Pools {
		p := t.pools[spec.Name]
		if p == nil {
			p = &pool{}
			t.pools[spec.Name] = p
		}
		p.spec, p.index = spec, i
		t.byIndex[i] = p
	}
	for i := range v.Backends {
		u := &v.Backends[i]
		p := t.byIndex[u.Pool]
		p.group = t.groupOf(v.Services[u.Service].Name, v.Regions[u.Region], old)
		p.group.busy += p.busy()
	}
	t.syncOwned(now)
	t.publishAll(now)
}

// groupOf returns the group of a service in a region, made on first use from
// what an earlier view's group knew.
func (t *Table) groupOf(service, region string, old map[groupKey]*group) *group {
	k := groupKey{service, region}
	g := t.groups[k]
	if g == nil {
		g = &group{}
		if o := old[k]; o != nil {
			g.peak, g.waiting = o.peak, o.waiting
		}
		t.groups[k] = g
	}
	return g
}

func (p *pool) busy() int {
	n := 0
	for _, t := range p.tokens {
		if t.state == stateBusy {
			n++
		}
	}
	return n
}

// SetSplit takes up a newer split.
func (t *Table) SetSplit(s *Split, now time.Duration) {
	t.mu.Lock()
	if t.split != nil && s.Epoch <= t.split.Epoch {
		t.mu.Unlock()
		return
	}
	t.split = s
	t.syncOwned(now)
	t.publishAll(now)
	t.mu.Unlock()
	t.OnFree(version.None)
}

// Split returns the split in force, never nil.
func (t *Table) Split() *Split {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.split == nil {
		return &Split{}
	}
	return t.split
}

// syncHomes makes the tokens at home here those that the split names.
func (t *Table) syncOwned(now time.Duration) {
	if t.split == nil {
		return
	}
	for name, p := range t.pools {
		t.dropLost(name, p)
		if p.index >= 0 {
			t.addOwned(name, p, now)
		}
	}
}

// loseTokens drops the tokens that have another home now: own ones, and
// borrowed ones that are no longer their lessor's.
func (t *Table) dropLost(name string, p *pool) {
	for i := len(p.tokens) - 1; i >= 0; i-- {
		k := p.tokens[i]
		if t.split.Owner(name, k.index) == cmp.Or(k.lessor, t.Self) {
			continue
		}
		if k.state == stateBusy {
			k.revoked = true
			continue
		}
		p.remove(k)
	}
}

func (t *Table) addOwned(name string, p *pool, now time.Duration) {
	ps := t.split.Pools[name]
	fenced := make(map[int32]bool, len(ps.Fenced))
	for _, i := range ps.Fenced {
		fenced[i] = true
	}
	for i := range ps.Owners {
		if t.split.Owner(name, i) != t.Self || p.owned(i) != nil {
			continue
		}
		k := &token{index: i}
		if fenced[int32(i)] {
			k.state = stateDelayed
			k.until = now + FenceTime(&p.spec)
		}
		p.tokens = append(p.tokens, k)
	}
}

// Tick moves on what waits for time: rests, fences, and leases of tokens lent
// from here. It reports whether a rate token rests, so that the next call
// should come soon.
func (t *Table) Tick(now time.Duration) (soon bool) {
	t.mu.Lock()
	freed := false
	var awaited []*pendingToken
	for _, p := range t.pools {
		before := p.usable(now)
		for _, k := range p.tokens {
			over := k.state == stateDelayed || k.state == stateLent
			soon = soon || k.state == stateDelayed && p.spec.Kind == version.PoolRate
			if !over || now < k.until {
				continue
			}
			if p.spec.Kind == version.PoolSlots && t.AwaitResponse != nil {
				k.state = stateAwaitingResponse
				awaited = append(awaited, &pendingToken{table: t, pool: p, token: k, lease: k.lease})
				continue
			}
			k.state = stateFree
			k.holder = ""
		}
		after := p.usable(now)
		freed = freed || after > before || t.publishedFree(p) < after
		t.publish(p, now)
	}
	t.mu.Unlock()
	for _, a := range awaited {
		t.AwaitResponse(a.pool.spec.Backend(), now, a.responded)
	}
	if freed {
		t.OnFree(version.None)
	}
	return soon
}

// awaitedToken is a slot token whose time is over while its backend server may still
// hold the request.
type pendingToken struct {
	table *Table
	pool  *pool
	token *token
	lease uint64
}

// heard frees the token, unless it has been returned and lent anew.
func (a *pendingToken) responded() {
	t := a.table
	t.mu.Lock()
	free := a.token.state == stateAwaitingResponse && a.token.lease == a.lease
	if free {
		a.token.state = stateFree
		a.token.holder = ""
		t.publish(a.pool, a.token.until)
	}
	t.mu.Unlock()
	if free {
		t.OnFree(version.None)
	}
}

// Decay lowers the remembered demand by half. It is called every second.
func (t *Table) Decay() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.groups {
		g.peak /= 2
		g.updatePeak()
	}
	for _, p := range t.pools {
		p.short = false
	}
}

// Wait changes the number of requests that wait for a service in a region.
func (t *Table) AddWaiting(service, region string, by int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groupOf(service, region, nil)
	g.waiting += by
	g.updatePeak()
}

// Miss notes that a request could have used one more slot of a service in a
// region, and a token of each of the named pools.
func (t *Table) RecordShortage(service, region string, pools ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groupOf(service, region, nil)
	g.peak = max(g.peak, float64(g.busy+g.waiting+1))
	for _, name := range pools {
		if p := t.pools[name]; p != nil {
			p.short = true
		}
	}
}
