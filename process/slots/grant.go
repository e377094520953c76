// SPDX-License-Identifier: MIT

package slots

import (
	"time"

	"shalewick/version"
)

// Grant is what a request holds: one token of each pool that it needs.
type Grant struct {
	count  int
	pools  [version.MaxPools]*pool
	tokens [version.MaxPools]*token
}

// Take takes one token of each pool that the choice needs, or none. The seq
// is that of the view that the choice was made on.
func (t *Table) Acquire(seq int64, c *version.Choice, now time.Duration) (Grant, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var g Grant
	if t.view == nil || t.view.Seq != seq {
		return g, false
	}
	for _, place := range c.Pools[:c.NumPools] {
		p := t.byIndex[place]
		k := p.pick(now)
		if k == nil {
			t.rollback(&g, now)
			t.publish(p, now)
			return Grant{}, false
		}
		k.state = stateBusy
		k.lastUsed = now
		g.pools[g.count], g.tokens[g.count] = p, k
		g.count++
		if p.group != nil {
			p.group.busy++
			p.group.updatePeak()
		}
		t.publish(p, now)
	}
	return g, true
}

// undo puts tokens back that no request used.
func (t *Table) rollback(g *Grant, now time.Duration) {
	for i := range g.count {
		p, k := g.pools[i], g.tokens[i]
		k.state = stateFree
		if p.group != nil {
			p.group.busy--
		}
		t.publish(p, now)
	}
	g.count = 0
}

// Valid reports whether the tokens may still be used for a request that has
// not left yet.
func (t *Table) Valid(g *Grant, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range g.count {
		k := g.tokens[i]
		if k.revoked || k.expired(now) || k.index >= g.pools[i].size() {
			return false
		}
	}
	return true
}

// Release gives the tokens of a grant back, after the backend server let go.
func (t *Table) Release(g *Grant, now time.Duration) {
	t.mu.Lock()
	for i := range g.count {
		t.release(g.pools[i], g.tokens[i], now)
	}
	g.count = 0
	t.mu.Unlock()
	t.OnFree(version.None)
}

// ReleaseWay gives back the tokens for the way to the backend server only: those of
// links and rates.
func (t *Table) ReleaseLinkAndRate(g *Grant, now time.Duration) {
	t.mu.Lock()
	kept := 0
	for i := range g.count {
		p, k := g.pools[i], g.tokens[i]
		if p.spec.Kind == version.PoolLink || p.spec.Kind == version.PoolRate {
			t.release(p, k, now)
			continue
		}
		g.pools[kept], g.tokens[kept] = p, k
		kept++
	}
	g.count = kept
	t.mu.Unlock()
	t.OnFree(version.None)
}

func (t *Table) release(p *pool, k *token, now time.Duration) {
	k.state = stateFree
	k.lastUsed = now
	if p.spec.Kind == version.PoolRate {
		k.state = stateDelayed
		k.until = now + RateCooldown
	}
	if k.revoked {
		p.remove(k)
	}
	if p.group != nil {
		p.group.busy--
	}
	t.publish(p, now)
}
