// SPDX-License-Identifier: MIT

package slots

import (
	"time"

	"shalewick/version"
)

// Grant holds the tokens of a request: one from each pool that it needs.
type Grant struct {
	count  int
	pools  [version.MaxPools]*pool
	tokens [version.MaxPools]*token
}

// Acquire takes one token from each pool that the choice needs, or none at all.
// It fails if seq, the sequence number of the view that the choice was made on,
// is no longer in force.
func (t *Table) Acquire(seq int64, c *version.Choice, now time.Duration) (Grant, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var g Grant
	if t.view == nil || t.view.Seq != seq {
		return g, false
	}
	for _, index := range c.Pools[:c.NumPools] {
		p := t.byIndex[index]
		tok := p.pick(now)
		if tok == nil {
			t.rollback(&g, now)
			t.publish(p, now)
			return Grant{}, false
		}
		tok.state = stateBusy
		tok.lastUsed = now
		g.pools[g.count], g.tokens[g.count] = p, tok
		g.count++
		if p.group != nil {
			p.group.busy++
			p.group.updatePeak()
		}
		t.publish(p, now)
	}
	return g, true
}

// rollback frees tokens that no request has used.
func (t *Table) rollback(g *Grant, now time.Duration) {
	for i := range g.count {
		p, tok := g.pools[i], g.tokens[i]
		tok.state = stateFree
		if p.group != nil {
			p.group.busy--
		}
		t.publish(p, now)
	}
	g.count = 0
}

// Valid reports whether the tokens may still be used for a request that has not
// been sent yet.
func (t *Table) Valid(g *Grant, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range g.count {
		tok := g.tokens[i]
		if tok.revoked || tok.expired(now) || tok.index >= g.pools[i].size() {
			return false
		}
	}
	return true
}

// Release returns the tokens of a grant once the backend server has finished with
// the request.
func (t *Table) Release(g *Grant, now time.Duration) {
	t.mu.Lock()
	for i := range g.count {
		t.release(g.pools[i], g.tokens[i], now)
	}
	g.count = 0
	t.mu.Unlock()
	t.OnFree(version.None)
}

// ReleaseLinkAndRate returns only the link and rate tokens of a grant, which cover the
// transfer to the backend server and not the request's processing there.
func (t *Table) ReleaseLinkAndRate(g *Grant, now time.Duration) {
	t.mu.Lock()
	kept := 0
	for i := range g.count {
		p, tok := g.pools[i], g.tokens[i]
		if p.spec.Kind == version.PoolLink || p.spec.Kind == version.PoolRate {
			t.release(p, tok, now)
			continue
		}
		g.pools[kept], g.tokens[kept] = p, tok
		kept++
	}
	g.count = kept
	t.mu.Unlock()
	t.OnFree(version.None)
}

func (t *Table) release(p *pool, tok *token, now time.Duration) {
	tok.state = stateFree
	tok.lastUsed = now
	if p.spec.Kind == version.PoolRate {
		tok.state = stateDelayed
		tok.until = now + RateCooldown
	}
	if tok.revoked {
		p.remove(tok)
	}
	if p.group != nil {
		p.group.busy--
	}
	t.publish(p, now)
}
