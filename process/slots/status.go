// SPDX-License-Identifier: MIT

package slots

import (
	"time"
)

// SlotCapacity returns how many requests of a service this member can run at once
// with the tokens that it has now.
func (t *Table) SlotCapacity(service string, now time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for key := range t.groups {
		if key.service != service {
			continue
		}
		for _, p := range t.groupPools(key.service, key.region) {
			n += p.usable(now) + p.busy()
		}
	}
	return n
}

// PoolStatus counts the tokens of one pool as seen by this member.
type PoolStatus struct {
	Name     string
	Size     int
	Owned    int // owned by this member, including lent ones
	Free     int // usable now, owned or borrowed
	Busy     int
	Lent     int
	Borrowed int
}

// Status returns the counts of the pools in force.
func (t *Table) Status(now time.Duration) []PoolStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]PoolStatus, 0, len(t.byIndex))
	for _, p := range t.byIndex {
		s := PoolStatus{Name: p.spec.Name, Size: p.spec.Size, Free: p.usable(now), Busy: p.busy()}
		for _, tok := range p.tokens {
			switch {
			case tok.lessor != "":
				s.Borrowed++
			case tok.state == stateLent || tok.state == stateAwaitingResponse:
				s.Lent++
				s.Owned++
			default:
				s.Owned++
			}
		}
		out = append(out, s)
	}
	return out
}

// publishedFree returns the number of free tokens last published.
func (t *Table) publishedFree(p *pool) int {
	if p.index < 0 {
		return 0
	}
	return int(t.counters.Free[p.index].Load())
}

// publish stores the number of usable tokens in the counters that decisions read.
func (t *Table) publish(p *pool, now time.Duration) {
	if p.index >= 0 {
		t.counters.Free[p.index].Store(int32(p.usable(now)))
	}
}

func (t *Table) publishAll(now time.Duration) {
	for _, p := range t.byIndex {
		t.publish(p, now)
	}
}
