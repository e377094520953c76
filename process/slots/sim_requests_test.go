// SPDX-License-Identifier: MIT

package slots

import (
	"fmt"
	"time"

	"shalewick/version"
)

// dispatch lets a request leave, if the member may.
func (s *sim) dispatch(m *simMember, rate bool) {
	if m == nil || !s.fresh(m) {
		return
	}
	name := "upstream/u"
	if rate {
		name = "shift/x/rate"
	}
	var c version.Choice
	for i := range m.view.Pools {
		if m.view.Pools[i].Name == name {
			c.Pools[0], c.NumPools = int32(i), 1
		}
	}
	g, ok := m.table.Take(m.view.Seq, &c, s.now)
	if !ok {
		return
	}
	if s.rnd.IntN(6) == 0 { // frozen between the taking and the sending
		s.now += time.Duration(s.rnd.IntN(12)) * time.Second
		s.landFlights()
		s.split(s.awake())
	}
	if !s.fresh(m) || !m.table.Valid(&g, s.now) {
		m.table.Release(&g, s.now)
		return
	}
	f := &flight{by: m, grant: g, names: []TokenID{{name, g.tokens[0].index}}, end: s.now + s.deadline}
	s.check(f)
	s.flying = append(s.flying, f)
}

func (s *sim) check(f *flight) {
	for _, other := range s.flying {
		if other.names[0] == f.names[0] && s.err == nil {
			s.err = fmt.Errorf("at %v: %v used by %s and %s", s.now, f.names[0], other.by.id, f.by.id)
		}
	}
	if f.names[0].Pool != "shift/x/rate" {
		return
	}
	starts := append(s.starts[f.names[0].Pool], s.now)
	s.starts[f.names[0].Pool] = starts
	in := 0
	for _, at := range starts {
		if s.now-at < time.Second {
			in++
		}
	}
	if in > simRate && s.err == nil {
		s.err = fmt.Errorf("at %v: %d starts in a second", s.now, in)
	}
}

// landFlights ends requests at their deadline, as the backend server does.
func (s *sim) landFlights() {
	var keep []*flight
	for _, f := range s.flying {
		if s.now < f.end {
			keep = append(keep, f)
			continue
		}
		s.release(f)
	}
	s.flying = keep
}

func (s *sim) release(f *flight) {
	if f.by.dead {
		return
	}
	g := f.grant
	by := f.by
	free := func() {
		by.table.Release(&g, s.now)
		if s.variant.noRest {
			for _, p := range by.table.pools {
				for _, k := range p.tokens {
					if k.state == stateResting && p.spec.Kind == version.PoolRate {
						k.state = stateFree
					}
				}
			}
		}
	}
	if by.frozen {
		s.mail = append(s.mail, mail{by, free})
		return
	}
	free()
}

func (s *sim) finish() {
	if len(s.flying) == 0 {
		return
	}
	i := s.rnd.IntN(len(s.flying))
	f := s.flying[i]
	s.flying = append(s.flying[:i], s.flying[i+1:]...)
	s.release(f)
}
