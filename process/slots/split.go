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

// Split assigns an owner to each token. It is immutable.
type Split struct {
	// Epoch increases with each change.
	Epoch   int64                `json:"epoch"`
	Members []string             `json:"members"`
	Pools   map[string]PoolSplit `json:"pools"`
}

// PoolSplit is the split of one pool.
type PoolSplit struct {
	// Owners are indexes into Split.Members, by token; -1 means no owner.
	Owners []int32 `json:"homes"`
	// Fenced are the tokens taken over from a member that is down. Their owner
	// uses them only after a fence.
	Fenced []int32 `json:"fenced,omitempty"`
}

// Check returns an error if a token's owner is not listed in Members.
func (s *Split) Check() error {
	for name, poolSplit := range s.Pools {
		for _, owner := range poolSplit.Owners {
			if int(owner) >= len(s.Members) {
				return errors.Errorf("split %d: %s has an owner that is not listed in members", s.Epoch, name)
			}
		}
	}
	return nil
}

// ParseSplit decodes and checks the JSON form.
func ParseSplit(b []byte) (*Split, error) {
	var s Split
	if err := json.Unmarshal(b, &s); err != nil {
		return nil, errors.Annotate(err, "read split")
	}
	return &s, s.Check()
}

// Owner returns the id of the member that owns a token, or "" if it has no owner.
func (s *Split) Owner(pool string, index int) string {
	owners := s.Pools[pool].Owners
	if index >= len(owners) || owners[index] < 0 {
		return ""
	}
	return s.Members[owners[index]]
}

// Candidate is a member that can own tokens.
type Candidate struct {
	ID     string
	Region string
}

// TokenID identifies a token.
type TokenID struct {
	Pool  string
	Index int
}

// PlanInput is the input from which Plan computes the next split.
type PlanInput struct {
	Live []Candidate     // members that may get tokens
	Down map[string]bool // members whose tokens are assigned to others
	// Planner is the member that computes the plan; Transferred are tokens that it
	// has withheld in order to transfer them. Those that have another owner by now
	// are not changed.
	Planner     string
	Transferred []TokenID
	View        *version.View
}

// Plan returns the split that follows old, and whether it differs from old. A
// token keeps its owner unless the owner is down or transfers it. Tokens without
// an owner go to the eligible live members with the fewest tokens of the pool,
// and among these to those with the fewest tokens overall.
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
	totals      map[string]int // number of tokens by member
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
	for name, poolSplit := range old.Pools {
		for i := range poolSplit.Owners {
			if owner := old.Owner(name, i); p.keepsOwner(name, i, owner) {
				p.totals[owner]++
			}
		}
	}
	return p
}

// keepsOwner reports whether a token stays with its owner.
func (p *planner) keepsOwner(pool string, index int, owner string) bool {
	transferred := owner == p.in.Planner && p.transferred[TokenID{pool, index}]
	return owner != "" && !p.in.Down[owner] && !transferred
}

// assignPool assigns owners to the tokens of a pool that have none. Tokens above a
// reduced size keep their owners, so that they are still accounted for when the
// size is increased again.
func (p *planner) assignPool(pool *version.Pool) {
	poolSplit := p.old.Pools[pool.Name]
	owners := slices.Clone(poolSplit.Owners)
	fenced := slices.Clone(poolSplit.Fenced)
	eligible := Eligible(p.in.Live, p.in.View, pool)
	counts := p.tokenCounts(pool.Name, owners)
	modified := false
	for i := range max(pool.Size, len(owners)) {
		owner := p.old.Owner(pool.Name, i)
		if p.keepsOwner(pool.Name, i, owner) {
			continue
		}
		target := p.leastLoaded(eligible, counts)
		if target == "" || target == owner {
			continue
		}
		for len(owners) <= i {
			owners = append(owners, -1)
		}
		owners[i] = p.memberIndex(target)
		counts[target]++
		p.totals[target]++
		fenced = slices.DeleteFunc(fenced, func(f int32) bool { return f == int32(i) })
		if p.in.Down[owner] {
			fenced = append(fenced, int32(i))
		}
		modified = true
	}
	if modified {
		p.changed = true
		p.next.Pools[pool.Name] = PoolSplit{Owners: owners, Fenced: fenced}
	}
}

func (p *planner) tokenCounts(pool string, owners []int32) map[string]int {
	counts := make(map[string]int)
	for i := range owners {
		if owner := p.old.Owner(pool, i); p.keepsOwner(pool, i, owner) {
			counts[owner]++
		}
	}
	return counts
}

// leastLoaded returns the eligible member with the fewest tokens, or "".
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

// memberIndex returns the index of a member in the next split, adding it if needed.
func (p *planner) memberIndex(id string) int32 {
	if i, ok := p.member[id]; ok {
		return i
	}
	p.next.Members = append(p.next.Members, id)
	p.member[id] = int32(len(p.next.Members) - 1)
	return p.member[id]
}

// dropUnusedMembers removes members that own no tokens.
func (p *planner) dropUnusedMembers() {
	used := make([]int32, len(p.next.Members))
	for i := range used {
		used[i] = -1
	}
	var members []string
	for name, poolSplit := range p.next.Pools {
		owners := make([]int32, len(poolSplit.Owners))
		for i, owner := range poolSplit.Owners {
			if owner < 0 {
				owners[i] = -1
				continue
			}
			if used[owner] < 0 {
				used[owner] = int32(len(members))
				members = append(members, p.next.Members[owner])
			}
			owners[i] = used[owner]
		}
		p.next.Pools[name] = PoolSplit{Owners: owners, Fenced: poolSplit.Fenced}
	}
	p.next.Members = members
}

// Eligible returns the ids of the live members that should own a pool's tokens:
// those in its region, or all of them if its region has none.
func Eligible(live []Candidate, v *version.View, pool *version.Pool) []string {
	var inRegion, all []string
	for _, c := range live {
		all = append(all, c.ID)
		if c.Region == v.Regions[pool.Region] {
			inRegion = append(inRegion, c.ID)
		}
	}
	if len(inRegion) > 0 {
		return inRegion
	}
	return all
}

// Surplus returns how many tokens of a pool a member should transfer: those above
// an even share rounded up, or all if the member is not eligible.
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
