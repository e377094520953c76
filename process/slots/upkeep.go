// SPDX-License-Identifier: MIT

package slots

import (
	"math"
	"time"
)

// Wants returns what this member would like to borrow now.
func (t *Table) Wants(now time.Duration) []Want {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.view == nil || t.draining {
		return nil
	}
	var out []Want
	for k, g := range t.groups {
		if g.peak < 0.5 {
			continue
		}
		need := int(math.Ceil(g.peak*demandHeadroom)) + 1
		have := 0
		for _, p := range t.groupPools(k.service, k.region) {
			have += p.usable(now) + p.busy()
		}
		if need > have {
			out = append(out, Want{Service: k.service, Region: k.region, Tokens: need - have})
		}
	}
	for _, p := range t.byIndex {
		if p.short && p.usable(now) == 0 {
			out = append(out, Want{Pool: p.spec.Name, Tokens: 1 + p.spec.Size/borrowFraction})
		}
	}
	return out
}

// Lessors returns the other members that are homes of tokens that are wanted.
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
			if home := t.split.Owner(p.spec.Name, i); home != "" && home != t.Self {
				out[home] = true
			}
		}
	}
	return out
}

func (t *Table) unneeded(p *pool, k *token, now time.Duration) bool {
	if p.index < 0 || k.index >= p.size() || t.draining {
		return true
	}
	if now-k.lastUsed < idleTimeout {
		return false
	}
	if p.group == nil {
		return !p.short
	}
	return p.group.waiting == 0
}
