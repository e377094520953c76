// SPDX-License-Identifier: MIT

package slots

import (
	"time"
)

// Held returns how many slots of a service this member can use at once now.
func (t *Table) SlotCapacity(service string, now time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for k := range t.groups {
		if k.service != service {
			continue
		}
		for _, p := range t.groupPools(k.service, k.region) {
			n += p.usable(now) + p.busy()
		}
	}
	return n
}

// PoolStatus counts the tokens of one pool as this member sees them.
type PoolStatus struct {
	Name     string
	Size     int
	Owned    int // at home here
	Free     int // usable now, own or borrowed
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
		for _, k := range p.tokens {
			switch {
			case k.lessor != "":
				s.Borrowed++
			case k.state == stateLent || k.state == stateAwaitingResponse:
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

func (t *Table) publishedFree(p *pool) int {
	if p.index < 0 {
		return 0
	}
	return int(t.counters.Free[p.index].Load())
}

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
