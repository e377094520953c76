// SPDX-License-Identifier: MIT

package slots

import (
	"math"
	"slices"
	"time"

	"shalewick/version"
)

// Lease names a token that was lent.
type Lease struct {
	Pool  string
	Index int
	// Number is the lessor's own number for the lease.
	Number uint64
}

// Want is a number of tokens that a member would like to borrow: of one pool,
// or, with Pool empty, slot tokens of a service in a region.
type Want struct {
	Pool    string
	Service string
	Region  string
	Tokens  int
}

// Lend takes free tokens off this member for a holder. It keeps back what its
// own requests lately needed.
func (t *Table) Lend(holder string, w Want, now time.Duration) []Lease {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.view == nil || t.lendingStopped || holder == t.Self {
		return nil
	}
	if w.Pool != "" {
		p := t.pools[w.Pool]
		if p == nil || p.index < 0 || p.short {
			return nil
		}
		return t.lendFrom(p, holder, w.Tokens, now)
	}
	var out []Lease
	pools := t.groupPools(w.Service, w.Region)
	limit := min(w.Tokens, t.spare(w.Service, w.Region, pools, now))
	for _, p := range pools {
		if len(out) >= limit {
			break
		}
		out = append(out, t.lendFrom(p, holder, limit-len(out), now)...)
	}
	return out
}

// spare returns how many tokens of a group its own requests do not need.
func (t *Table) spare(service, region string, pools []*pool, now time.Duration) int {
	g := t.groups[groupKey{service, region}]
	if g == nil {
		return 0
	}
	if g.waiting > 0 && !t.draining {
		return 0
	}
	free := 0
	for _, p := range pools {
		free += p.usable(now)
	}
	needed := int(math.Ceil(g.peak)) - g.busy
	if t.draining {
		needed = 0
	}
	return free - max(0, needed)
}

// groupPools returns the pools of the open backend servers of a service in a region,
// those with the most free tokens first.
func (t *Table) groupPools(service, region string) []*pool {
	s, r := t.view.Service(service), t.view.Region(region)
	if s == version.None || r == version.None {
		return nil
	}
	var ps []*pool
	for _, u := range t.view.Services[s].ByRegion[r] {
		if t.view.Backends[u].Drained || t.counters.Closed[u].Load() {
			continue
		}
		ps = append(ps, t.byIndex[t.view.Backends[u].Pool])
	}
	slices.SortStableFunc(ps, func(a, b *pool) int { return t.publishedFree(b) - t.publishedFree(a) })
	return ps
}

func (t *Table) lendFrom(p *pool, holder string, limit int, now time.Duration) []Lease {
	var out []Lease
	for _, k := range p.tokens {
		if len(out) >= limit {
			break
		}
		if k.lessor != "" || !k.usable(now, p.size()) {
			continue
		}
		t.lastLease++
		k.state = stateLent
		k.holder = holder
		k.lease = t.lastLease
		k.until = now + ReclaimTime(&p.spec)
		out = append(out, Lease{Pool: p.spec.Name, Index: k.index, Number: k.lease})
	}
	t.publish(p, now)
	return out
}

// Renew lengthens leases of a holder. It leaves out tokens that are no longer
// here, or that this member wants back.
func (t *Table) Renew(holder string, leases []Lease, now time.Duration) []Lease {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Lease
	for _, l := range leases {
		p, k := t.findLent(holder, l)
		if k == nil || k.state != stateLent || k.index >= p.size() || t.neededHere(p) {
			continue
		}
		k.until = now + ReclaimTime(&p.spec)
		out = append(out, l)
	}
	return out
}

func (t *Table) neededHere(p *pool) bool {
	return t.draining || p.short || p.group != nil && p.group.waiting > 0
}

func (t *Table) findLent(holder string, l Lease) (*pool, *token) {
	p := t.pools[l.Pool]
	if p == nil {
		return nil, nil
	}
	k := p.find(func(k *token) bool {
		out := k.state == stateLent || k.state == stateAwaitingResponse
		return k.lessor == "" && out && k.index == l.Index && k.lease == l.Number && k.holder == holder
	})
	return p, k
}

// TakeBack frees tokens that a holder returned.
func (t *Table) AcceptReturns(holder string, leases []Lease, now time.Duration) {
	t.mu.Lock()
	for _, l := range leases {
		p, k := t.findLent(holder, l)
		if k == nil {
			continue
		}
		k.state = stateFree
		k.holder = ""
		t.publish(p, now)
	}
	t.mu.Unlock()
	t.OnFree(version.None)
}

// Borrow adds tokens that a lessor lent. Asked is when the request for them
// was sent; the lease is counted from there.
func (t *Table) AddBorrowed(lessor string, leases []Lease, asked, now time.Duration) {
	t.mu.Lock()
	for _, l := range leases {
		p := t.pools[l.Pool]
		if p == nil {
			continue // the lessor takes it back in time
		}
		p.tokens = append(p.tokens, &token{
			index: l.Index, lessor: lessor, lease: l.Number, end: asked + LeaseTime, lastUsed: now,
		})
		t.publish(p, now)
	}
	t.mu.Unlock()
	t.OnFree(version.None)
}

// Renewed notes the leases that a lessor lengthened.
func (t *Table) ApplyRenewals(lessor string, leases []Lease, asked, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range leases {
		p := t.pools[l.Pool]
		if p == nil {
			continue
		}
		k := p.find(func(k *token) bool { return k.lessor == lessor && k.lease == l.Number && k.index == l.Index })
		if k == nil || k.expired(now) {
			continue
		}
		k.end = max(k.end, asked+LeaseTime)
	}
}

// Upkeep is what is to be said to one lessor.
type LeaseUpdates struct {
	Renew  []Lease
	Return []Lease
}

// Times of a holder's upkeep.
const (
	renewWithin = LeaseTime * 2 / 3
	idleTimeout = time.Second
)

// Upkeep goes through the borrowed tokens, drops those that are over or no
// longer needed, and returns what to say to each lessor.
func (t *Table) MaintainLeases(now time.Duration) map[string]*LeaseUpdates {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]*LeaseUpdates)
	for name, p := range t.pools {
		for i := len(p.tokens) - 1; i >= 0; i-- {
			k := p.tokens[i]
			if k.lessor == "" {
				continue
			}
			u := out[k.lessor]
			if u == nil {
				u = &LeaseUpdates{}
				out[k.lessor] = u
			}
			l := Lease{Pool: name, Index: k.index, Number: k.lease}
			idle := k.state == stateFree || k.state == stateDelayed && now >= k.until
			switch {
			case idle && (k.expired(now) || t.unneeded(p, k, now)):
				p.remove(k)
				t.publish(p, now)
				u.Return = append(u.Return, l)
			case !k.expired(now) && k.end-now < renewWithin:
				u.Renew = append(u.Renew, l)
			}
		}
	}
	return out
}

// spareFactor is how far above the recent demand a member keeps tokens.
const demandHeadroom = 1.25

// wantParts is the part of a link's or shift's tokens that is asked for at once.
const borrowFraction = 16

// Cede takes free tokens off this member that others should have, at most
// limit, and returns them. They stay unusable until Uncede or a split that
// gives them away.
func (t *Table) StartTransfer(live []Candidate, limit int, now time.Duration) []TokenID {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.split == nil || t.view == nil {
		return nil
	}
	var out []TokenID
	for _, p := range t.byIndex {
		surplus := t.split.Surplus(t.Self, Eligible(live, t.view, &p.spec), &p.spec)
		for _, k := range p.tokens {
			if surplus == 0 || len(out) >= limit {
				break
			}
			if k.lessor != "" || k.state != stateFree || k.revoked {
				continue
			}
			k.state = stateTransferring
			surplus--
			out = append(out, TokenID{Pool: p.spec.Name, Index: k.index})
		}
		t.publish(p, now)
	}
	return out
}

// Uncede makes tokens usable again that were ceded but not given away.
func (t *Table) CancelTransfer(ids []TokenID, now time.Duration) {
	t.mu.Lock()
	for _, id := range ids {
		p := t.pools[id.Pool]
		if k := p.owned(id.Index); k != nil && k.state == stateTransferring {
			k.state = stateFree
			t.publish(p, now)
		}
	}
	t.mu.Unlock()
	t.OnFree(version.None)
}

// Leave makes the member lend and return all it can, and borrow nothing more.
func (t *Table) StartDraining() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
}

// Keep makes the member lend nothing more, so that all that it lent is back
// after a lease.
func (t *Table) StopLending() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lendingStopped = true
}

// Outstanding reports whether tokens are lent out, borrowed or in use.
func (t *Table) Outstanding() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.pools {
		for _, k := range p.tokens {
			if k.lessor != "" || k.state == stateLent || k.state == stateBusy {
				return true
			}
		}
	}
	return false
}
