// SPDX-License-Identifier: MIT

package slots

import (
	"math"
	"time"
)

// Wants returns the tokens that this member would like to borrow now.
func (t *Table) Wants(now time.Duration) []Want {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.view == nil || t.draining {
		return nil
	}
	var out []Want
	for key, g := range t.groups {
		if g.peak < 0.5 {
			continue
		}
		need := int(math.Ceil(g.peak*demandHeadroom)) + 1
		have := 0
		for _, p := range t.groupPools(key.service, key.region) {
			have += p.usable(now) + p.busy()
		}
		if need > have {
			out = append(out, Want{Service: key.service, Region: key.region, Tokens: need - have})
		}
	}
	for _, p := range t.byIndex {
		if p.short && p.usable(now) == 0 {
			out = append(out, Want{Pool: p.spec.Name, Tokens: 1 + p.spec.Size/borrowFraction})
		}
	}
	return out
}

// Lessors returns the other members that own tokens of the kind wanted.
func (t *Table) Lessors(w Want) map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]bool)
	if t.view == nil || t.split == nil {
		return out
	}
	pools := t.groupPools(w.Service, w.Region)
	if p := t.pools[w.Pool]; p != nil {
		pools = []*pool{p}
	}
	for _, p := range pools {
		for i := range t.split.Pools[p.spec.Name].Owners {
			if owner := t.split.Owner(p.spec.Name, i); owner != "" && owner != t.Self {
				out[owner] = true
			}
		}
	}
	return out
}

// unneeded reports whether a borrowed token can be returned to its lessor.
func (t *Table) unneeded(p *pool, tok *token, now time.Duration) bool {
	if p.index < 0 || tok.index >= p.size() || t.draining {
		return true
	}
	if now-tok.lastUsed < idleTimeout {
		return false
	}
	if p.group == nil {
		return !p.short
	}
	return p.group.waiting == 0
}
