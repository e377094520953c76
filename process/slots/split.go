// SPDX-License-Identifier: MIT

package slots

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"github.com/juju/errors"

	"shalewick/version"
)

// Split says which member is the home of each token. It is not changed once made.
type Split struct {
	// Epoch rises with each change.
	Epoch   int64                `json:"epoch"`
	Members []string             `json:"members"`
	Pools   map[string]PoolSplit `json:"pools"`
}

// PoolSplit is the split of one pool.
type PoolSplit struct {
	// Homes are indexes into Split.Members, by token.
	Owners []int32 `json:"homes"`
	// Fenced are the tokens that came from a dead member. Their home uses
	// them only after a fence.
	Fenced []int32 `json:"fenced,omitempty"`
}

// Check returns an error for a split that names members that it does not have.
func (s *Split) Check() error {
	for name, ps := range s.Pools {
		for _, h := range ps.Owners {
			if int(h) >= len(s.Members) {
				return errors.Errorf("split %d: %s has a home that is not listed", s.Epoch, name)
			}
		}
	}
	return nil
}

// ParseSplit reads the JSON form.
func ParseSplit(b []byte) (*Split, error) {
	var s Split
	if err := json.Unmarshal(b, &s); err != nil {
		return nil, errors.Annotate(err, "read split")
	}
	return &s, s.Check()
}

// Home returns the member that is the home of a token, or "".
func (s *Split) Owner(pool string, index int) string {
	hs := s.Pools[pool].Owners
	if index >= len(hs) || hs[index] < 0 {
		return ""
	}
	return s.Members[hs[index]]
}

// Candidate is a member that can be the home of tokens.
type Candidate struct {
	ID     string
	Region string
}

// TokenID names one token.
type TokenID struct {
	Pool  string
	Index int
}

// PlanInput is what the next split is made from.
type PlanInput struct {
	Live []Candidate     // members that may get tokens
	Down map[string]bool // members whose tokens are split anew
	// Ceder is the member that plans; Ceded are tokens that it has taken off
	// itself. One whose home is another by now is left alone.
	Planner     string
	Transferred []TokenID
	View        *version.View
}

// Plan returns the split that follows old, and whether it differs. A token
// keeps its home unless the home is dead or has ceded it. Free tokens go to
// the live members of the pool's region that have the fewest tokens of the
// pool, then the fewest in all.
func Plan(old *Split, in PlanInput) (*Split, bool) {
	p := newPlanner(old, in)
	for i := range in.View.Pools {
		p.assignPool(&in.View.Pools[i])
	}
	if !p.changed {
		return old, false
	}
	p.next.Epoch = old.Epoch + 1
	p.dropUnusedMembers()
	return p.next, true
}

type planner struct {
	old         *Split
	in          PlanInput
	next        *Split
	transferred map[TokenID]bool
	totals      map[string]int // tokens by member
	member      map[string]int32
	changed     bool
}

func newPlanner(old *Split, in PlanInput) *planner {
	p := &planner{
		old:         old,
		in:          in,
		next:        &Split{Members: slices.Clone(old.Members), Pools: maps.Clone(old.Pools)},
		transferred: make(map[TokenID]bool),
		totals:      make(map[string]int),
		member:      make(map[string]int32),
	}
	if p.next.Pools == nil {
		p.next.Pools = make(map[string]PoolSplit)
	}
	for _, id := range in.Transferred {
		p.transferred[id] = true
	}
	for i, id := range old.Members {
		p.member[id] = int32(i)
	}
	for name, ps := range old.Pools {
		for i := range ps.Owners {
			if home := old.Owner(name, i); p.keepsOwner(name, i, home) {
				p.totals[home]++
			}
		}
	}
	return p
}

// keeps reports whether a token stays with its home.
func (p *planner) keepsOwner(pool string, index int, home string) bool {
	ceded := home == p.in.Planner && p.transferred[TokenID{pool, index}]
	return home != "" && !p.in.Down[home] && !ceded
}

// pool splits what has no home in one pool. Tokens beyond a lowered size keep
// their homes, so that they are still accounted for when the size rises again.
func (p *planner) assignPool(assignPool *version.Pool) {
	ps := p.old.Pools[assignPool.Name]
	homes := slices.Clone(ps.Owners)
	fenced := slices.Clone(ps.Fenced)
	eligible := Eligible(p.in.Live, p.in.View, assignPool)
	counts := p.tokenCounts(assignPool.Name, homes)
	touched := false
	for i := range max(assignPool.Size, len(homes)) {
		home := p.old.Owner(assignPool.Name, i)
		if p.keepsOwner(assignPool.Name, i, home) {
			continue
		}
		to := p.leastLoaded(eligible, counts)
		if to == "" || to == home {
			continue
		}
		for len(homes) <= i {
			homes = append(homes, -1)
		}
		homes[i] = p.memberIndex(to)
		counts[to]++
		p.totals[to]++
		fenced = slices.DeleteFunc(fenced, func(f int32) bool { return f == int32(i) })
		if p.in.Down[home] {
			fenced = append(fenced, int32(i))
		}
		touched = true
	}
	if touched {
		p.changed = true
		p.next.Pools[assignPool.Name] = PoolSplit{Owners: homes, Fenced: fenced}
	}
}

func (p *planner) tokenCounts(pool string, homes []int32) map[string]int {
	counts := make(map[string]int)
	for i := range homes {
		if home := p.old.Owner(pool, i); p.keepsOwner(pool, i, home) {
			counts[home]++
		}
	}
	return counts
}

func (p *planner) leastLoaded(eligible []string, counts map[string]int) string {
	if len(eligible) == 0 {
		return ""
	}
	return slices.MinFunc(eligible, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(counts[a], counts[b]),
			cmp.Compare(p.totals[a], p.totals[b]),
			cmp.Compare(a, b),
		)
	})
}

func (p *planner) memberIndex(id string) int32 {
	if i, ok := p.member[id]; ok {
		return i
	}
	p.next.Members = append(p.next.Members, id)
	p.member[id] = int32(len(p.next.Members) - 1)
	return p.member[id]
}

// dropUnusedMembers removes members that are the home of nothing.
func (p *planner) dropUnusedMembers() {
	used := make([]int32, len(p.next.Members))
	for i := range used {
		used[i] = -1
	}
	var members []string
	for name, ps := range p.next.Pools {
		homes := make([]int32, len(ps.Owners))
		for i, h := range ps.Owners {
			if h < 0 {
				homes[i] = -1
				continue
			}
			if used[h] < 0 {
				used[h] = int32(len(members))
				members = append(members, p.next.Members[h])
			}
			homes[i] = used[h]
		}
		p.next.Pools[name] = PoolSplit{Owners: homes, Fenced: ps.Fenced}
	}
	p.next.Members = members
}

// Eligible returns the ids of the live members that should be the homes of a
// pool's tokens: those of its region, or all where the region has none.
func Eligible(live []Candidate, v *version.View, pool *version.Pool) []string {
	var near, all []string
	for _, c := range live {
		all = append(all, c.ID)
		if c.Region == v.Regions[pool.Region] {
			near = append(near, c.ID)
		}
	}
	if len(near) > 0 {
		return near
	}
	return all
}

// Surplus returns how many tokens of a pool a member should cede: what it has
// above an even share, rounded up, or all when it is not eligible.
func (s *Split) Surplus(id string, eligible []string, pool *version.Pool) int {
	own := 0
	for i := range s.Pools[pool.Name].Owners {
		if s.Owner(pool.Name, i) == id {
			own++
		}
	}
	if len(eligible) == 0 {
		return 0
	}
	if !slices.Contains(eligible, id) {
		return own
	}
	share := (pool.Size + len(eligible) - 1) / len(eligible)
	return max(0, own-share)
}
