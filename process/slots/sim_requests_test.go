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
	g, ok := m.table.Acquire(m.view.Seq, &c, s.now)
	if !ok {
		return
	}
	if s.rnd.IntN(6) == 0 { // frozen between the taking and the sending
		s.now += time.Duration(s.rnd.IntN(12)) * time.Second
		s.endExpiredRequests()
		s.updateSplit(s.randomRunning())
	}
	if !s.fresh(m) || !m.table.Valid(&g, s.now) {
		m.table.Release(&g, s.now)
		return
	}
	f := &simRequest{by: m, grant: g, names: []TokenID{{name, g.tokens[0].index}}, end: s.now + s.deadline}
	s.check(f)
	s.inFlight = append(s.inFlight, f)
}

func (s *sim) check(f *simRequest) {
	for _, other := range s.inFlight {
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
func (s *sim) endExpiredRequests() {
	var keep []*simRequest
	for _, f := range s.inFlight {
		if s.now < f.end {
			keep = append(keep, f)
			continue
		}
		s.release(f)
	}
	s.inFlight = keep
}

func (s *sim) release(f *simRequest) {
	if f.by.down {
		return
	}
	g := f.grant
	by := f.by
	free := func() {
		by.table.Release(&g, s.now)
		if s.variant.noCooldown {
			for _, p := range by.table.pools {
				for _, k := range p.tokens {
					if k.state == stateDelayed && p.spec.Kind == version.PoolRate {
						k.state = stateFree
					}
				}
			}
		}
	}
	if by.frozen {
		s.messages = append(s.messages, message{by, free})
		return
	}
	free()
}

func (s *sim) finish() {
	if len(s.inFlight) == 0 {
		return
	}
	i := s.rnd.IntN(len(s.inFlight))
	f := s.inFlight[i]
	s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
	s.release(f)
}
