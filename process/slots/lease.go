// SPDX-License-Identifier: MIT

package slots

import (
	"math"
	"slices"
	"time"

	"shalewick/version"
)

// Lease identifies a lent token.
type Lease struct {
	Pool  string
	Index int
	// Number is the lease number, assigned by the lessor.
	Number uint64
}

// Want is a number of tokens that a member would like to borrow: tokens of one
// pool, or, if Pool is empty, slot tokens of a service in a region.
type Want struct {
	Pool    string
	Service string
	Region  string
	Tokens  int
}

// Lend lends free tokens to a holder. It keeps as many as this member's own
// requests have recently needed.
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

// spare returns how many free tokens of a group this member's own requests do not
// need.
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

// groupPools returns the pools of the backend servers of a service in a region that
// are open to requests, those with the most free tokens first.
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
	for _, tok := range p.tokens {
		if len(out) >= limit {
			break
		}
		if tok.lessor != "" || !tok.usable(now, p.size()) {
			continue
		}
		t.lastLease++
		tok.state = stateLent
		tok.holder = holder
		tok.lease = t.lastLease
		tok.until = now + ReclaimTime(&p.spec)
		out = append(out, Lease{Pool: p.spec.Name, Index: tok.index, Number: tok.lease})
	}
	t.publish(p, now)
	return out
}

// Renew extends a holder's leases and returns those that it extended. It omits
// tokens that this member no longer owns or needs itself.
func (t *Table) Renew(holder string, leases []Lease, now time.Duration) []Lease {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Lease
	for _, l := range leases {
		p, tok := t.findLent(holder, l)
		if tok == nil || tok.state != stateLent || tok.index >= p.size() || t.neededHere(p) {
			continue
		}
		tok.until = now + ReclaimTime(&p.spec)
		out = append(out, l)
	}
	return out
}

// neededHere reports whether this member wants the lent tokens of a pool back.
func (t *Table) neededHere(p *pool) bool {
	return t.draining || p.short || p.group != nil && p.group.waiting > 0
}

// findLent returns the lent token that a lease identifies and its pool.
func (t *Table) findLent(holder string, l Lease) (*pool, *token) {
	p := t.pools[l.Pool]
	if p == nil {
		return nil, nil
	}
	tok := p.find(func(tok *token) bool {
		out := tok.state == stateLent || tok.state == stateAwaitingResponse
		return tok.lessor == "" && out && tok.index == l.Index && tok.lease == l.Number && tok.holder == holder
	})
	return p, tok
}

// AcceptReturns frees tokens that a holder has returned.
func (t *Table) AcceptReturns(holder string, leases []Lease, now time.Duration) {
	t.mu.Lock()
	for _, l := range leases {
		p, tok := t.findLent(holder, l)
		if tok == nil {
			continue
		}
		tok.state = stateFree
		tok.holder = ""
		t.publish(p, now)
	}
	t.mu.Unlock()
	t.OnFree(version.None)
}

// AddBorrowed adds tokens that a lessor has lent. The leases run from requestedAt,
// when the request for them was sent.
func (t *Table) AddBorrowed(lessor string, leases []Lease, requestedAt, now time.Duration) {
	t.mu.Lock()
	for _, l := range leases {
		p := t.pools[l.Pool]
		if p == nil {
			continue // the lessor reclaims it in time
		}
		p.tokens = append(p.tokens, &token{
			index: l.Index, lessor: lessor, lease: l.Number, end: requestedAt + LeaseTime, lastUsed: now,
		})
		t.publish(p, now)
	}
	t.mu.Unlock()
	t.OnFree(version.None)
}

// ApplyRenewals extends the leases that a lessor has renewed. They run from
// requestedAt, when the request was sent.
func (t *Table) ApplyRenewals(lessor string, leases []Lease, requestedAt, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range leases {
		p := t.pools[l.Pool]
		if p == nil {
			continue
		}
		tok := p.find(func(tok *token) bool { return tok.lessor == lessor && tok.lease == l.Number && tok.index == l.Index })
		if tok == nil || tok.expired(now) {
			continue
		}
		tok.end = max(tok.end, requestedAt+LeaseTime)
	}
}

// LeaseUpdates lists the leases to renew with one lessor and those to return to it.
type LeaseUpdates struct {
	Renew  []Lease
	Return []Lease
}

// Thresholds for a holder's lease maintenance.
const (
	// renewWithin is the remaining lease time below which a lease is renewed.
	renewWithin = LeaseTime * 2 / 3
	// idleTimeout is how long a borrowed token may be unused before it is returned.
	idleTimeout = time.Second
)

// MaintainLeases drops borrowed tokens that have expired or are no longer needed,
// and returns the updates to send, by lessor.
func (t *Table) MaintainLeases(now time.Duration) map[string]*LeaseUpdates {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]*LeaseUpdates)
	for name, p := range t.pools {
		for i := len(p.tokens) - 1; i >= 0; i-- {
			tok := p.tokens[i]
			if tok.lessor == "" {
				continue
			}
			u := out[tok.lessor]
			if u == nil {
				u = &LeaseUpdates{}
				out[tok.lessor] = u
			}
			l := Lease{Pool: name, Index: tok.index, Number: tok.lease}
			idle := tok.state == stateFree || tok.state == stateDelayed && now >= tok.until
			switch {
			case idle && (tok.expired(now) || t.unneeded(p, tok, now)):
				p.remove(tok)
				t.publish(p, now)
				u.Return = append(u.Return, l)
			case !tok.expired(now) && tok.end-now < renewWithin:
				u.Renew = append(u.Renew, l)
			}
		}
	}
	return out
}

// demandHeadroom is the factor by which the number of tokens that a member keeps
// exceeds its recent demand.
const demandHeadroom = 1.25

// borrowFraction is the divisor of a link's or shift's size that gives how many of
// its tokens are requested at once.
const borrowFraction = 16

// StartTransfer withholds up to limit free tokens that other members should own,
// and returns them. They stay unusable until CancelTransfer, or until a split
// assigns them to another owner.
func (t *Table) StartTransfer(live []Candidate, limit int, now time.Duration) []TokenID {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.split == nil || t.view == nil {
		return nil
	}
	var out []TokenID
	for _, p := range t.byIndex {
		surplus := t.split.Surplus(t.Self, Eligible(live, t.view, &p.spec), &p.spec)
		for _, tok := range p.tokens {
			if surplus == 0 || len(out) >= limit {
				break
			}
			if tok.lessor != "" || tok.state != stateFree || tok.revoked {
				continue
			}
			tok.state = stateTransferring
			surplus--
			out = append(out, TokenID{Pool: p.spec.Name, Index: tok.index})
		}
		t.publish(p, now)
	}
	return out
}

// CancelTransfer makes tokens usable again whose transfer was not written.
func (t *Table) CancelTransfer(ids []TokenID, now time.Duration) {
	t.mu.Lock()
	for _, id := range ids {
		p := t.pools[id.Pool]
		if tok := p.owned(id.Index); tok != nil && tok.state == stateTransferring {
			tok.state = stateFree
			t.publish(p, now)
		}
	}
	t.mu.Unlock()
	t.OnFree(version.None)
}

// StartDraining makes the member lend and return as many tokens as possible, and
// borrow no more.
func (t *Table) StartDraining() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
}

// StopLending makes the member lend no more tokens, so that all tokens that it has
// lent are back after one lease.
func (t *Table) StopLending() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lendingStopped = true
}

// Outstanding reports whether tokens are lent, borrowed or in use.
func (t *Table) Outstanding() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.pools {
		for _, tok := range p.tokens {
			if tok.lessor != "" || tok.state == stateLent || tok.state == stateBusy {
				return true
			}
		}
	}
	return false
}
