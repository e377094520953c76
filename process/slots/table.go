// SPDX-License-Identifier: MIT

package slots

import (
	"cmp"
	"sync"
	"time"

	"shalewick/version"
)

// Table holds the tokens of one member. Self and OnFree are set before use.
// All times are durations on the process's monotonic clock.
type Table struct {
	// Self is the member's id.
	Self string
	// OnFree is called, with no lock held, when tokens of a service may have become
	// free; version.None stands for any service.
	OnFree func(service int32)
	// AwaitResponse calls then, with no lock held, once the backend server has
	// responded to something that was sent at since or later. If it is nil, slot
	// tokens become free by time alone.
	AwaitResponse func(backend string, since time.Duration, then func())

	mu             sync.Mutex
	view           *version.View
	counters       *version.Counters
	split          *Split
	pools          map[string]*pool
	byIndex        []*pool // by index in the view's pools
	groups         map[groupKey]*group
	lastLease      uint64
	draining       bool // lends and returns as many tokens as possible
	lendingStopped bool // lends no more tokens
}

type groupKey struct {
	service string
	region  string
}

// Install puts a view in force and publishes the numbers of free tokens to its
// counters.
func (t *Table) Install(v *version.View, counters *version.Counters, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pools == nil {
		t.pools = make(map[string]*pool)
	}
	old := t.groups
	t.view, t.counters = v, counters
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
		b := &v.Backends[i]
		p := t.byIndex[b.Pool]
		p.group = t.groupOf(v.Services[b.Service].Name, v.Regions[b.Region], old)
		p.group.busy += p.busy()
	}
	t.syncOwned(now)
	t.publishAll(now)
}

// groupOf returns the group of a service in a region. A new group takes over the
// demand recorded by its predecessor in old.
func (t *Table) groupOf(service, region string, old map[groupKey]*group) *group {
	key := groupKey{service, region}
	g := t.groups[key]
	if g == nil {
		g = &group{}
		if o := old[key]; o != nil {
			g.peak, g.waiting = o.peak, o.waiting
		}
		t.groups[key] = g
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

// SetSplit applies a split if it is newer than the current one.
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

// Split returns the current split, which is never nil.
func (t *Table) Split() *Split {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.split == nil {
		return &Split{}
	}
	return t.split
}

// syncOwned makes the owned tokens those that the split assigns to this member.
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

// dropLost drops tokens that have another owner now: owned ones, and borrowed
// ones that their lessor no longer owns.
func (t *Table) dropLost(name string, p *pool) {
	for i := len(p.tokens) - 1; i >= 0; i-- {
		tok := p.tokens[i]
		if t.split.Owner(name, tok.index) == cmp.Or(tok.lessor, t.Self) {
			continue
		}
		if tok.state == stateBusy {
			tok.revoked = true
			continue
		}
		p.remove(tok)
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
		tok := &token{index: i}
		if fenced[int32(i)] {
			tok.state = stateDelayed
			tok.until = now + FenceTime(&p.spec)
		}
		p.tokens = append(p.tokens, tok)
	}
}

// Tick frees tokens whose cooldown, fence or reclaim time has passed. It reports
// whether a rate token is cooling down, in which case the next call should come
// soon.
func (t *Table) Tick(now time.Duration) (soon bool) {
	t.mu.Lock()
	freed := false
	var pending []*pendingToken
	for _, p := range t.pools {
		before := p.usable(now)
		for _, tok := range p.tokens {
			timed := tok.state == stateDelayed || tok.state == stateLent
			soon = soon || tok.state == stateDelayed && p.spec.Kind == version.PoolRate
			if !timed || now < tok.until {
				continue
			}
			if p.spec.Kind == version.PoolSlots && t.AwaitResponse != nil {
				tok.state = stateAwaitingResponse
				pending = append(pending, &pendingToken{table: t, pool: p, token: tok, lease: tok.lease})
				continue
			}
			tok.state = stateFree
			tok.holder = ""
		}
		after := p.usable(now)
		freed = freed || after > before || t.publishedFree(p) < after
		t.publish(p, now)
	}
	t.mu.Unlock()
	for _, w := range pending {
		t.AwaitResponse(w.pool.spec.Backend(), now, w.responded)
	}
	if freed {
		t.OnFree(version.None)
	}
	return soon
}

// pendingToken is a token in stateAwaitingResponse.
type pendingToken struct {
	table *Table
	pool  *pool
	token *token
	lease uint64
}

// responded frees the token, unless it has been returned and lent again since.
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

// Decay halves the recorded peak demand and resets the shortage marks. It is
// called once a second.
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

// AddWaiting changes the number of requests that wait for a service in a region
// by delta.
func (t *Table) AddWaiting(service, region string, delta int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groupOf(service, region, nil)
	g.waiting += delta
	g.updatePeak()
}

// RecordShortage records that a request could have used one more slot of a
// service in a region, and one token of each of the named pools.
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
