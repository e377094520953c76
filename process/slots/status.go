// SPDX-License-Identifier: MIT

package slots

import (
	"time"
)

// Held returns how many slots of a service this member can use at once now.
func (t *Table) Held(service string, now time.Duration) int {
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
	Home     int // at home here
	Free     int // usable now, own or borrowed
	Busy     int
	Lent     int
	Borrowed int
}

// Status returns the counts of the pools in force.
func (t *Table) Status(now time.Duration) []PoolStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]PoolStatus, 0, len(t.bound))
	for _, p := range t.bound {
		s := PoolStatus{Name: p.spec.Name, Size: p.spec.Size, Free: p.usable(now), Busy: p.busy()}
		for _, k := range p.tokens {
			switch {
			case k.lessor != "":
				s.Borrowed++
			case k.state == stateLent || k.state == stateAwaiting:
				s.Lent++
				s.Home++
			default:
				s.Home++
			}
		}
		out = append(out, s)
	}
	return out
}

func (t *Table) published(p *pool) int {
	if p.place < 0 {
		return 0
	}
	return int(t.counters.Free[p.place].Load())
}

func (t *Table) publish(p *pool, now time.Duration) {
	if p.place >= 0 {
		t.counters.Free[p.place].Store(int32(p.usable(now)))
	}
}

func (t *Table) publishAll(now time.Duration) {
	for _, p := range t.bound {
		t.publish(p, now)
	}
}
