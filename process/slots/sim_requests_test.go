// SPDX-License-Identifier: MIT

package slots

import (
	"fmt"
	"time"

	"shalewick/version"
)

// dispatch sends a request to the backend server if the member may do so.
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
	if s.rnd.IntN(6) == 0 { // the member freezes between acquiring the tokens and sending
		s.now += time.Duration(s.rnd.IntN(12)) * time.Second
		s.endExpiredRequests()
		s.updateSplit(s.randomRunning())
	}
	if !s.fresh(m) || !m.table.Valid(&g, s.now) {
		m.table.Release(&g, s.now)
		return
	}
	req := &simRequest{by: m, grant: g, names: []TokenID{{name, g.tokens[0].index}}, end: s.now + s.deadline}
	s.check(req)
	s.inFlight = append(s.inFlight, req)
}

// check records a violation if another request uses the same token, or if more requests
// start within a second than the rate allows.
func (s *sim) check(req *simRequest) {
	for _, other := range s.inFlight {
		if other.names[0] == req.names[0] && s.err == nil {
			s.err = fmt.Errorf("at %v: %v used by %s and %s", s.now, req.names[0], other.by.id, req.by.id)
		}
	}
	if req.names[0].Pool != "shift/x/rate" {
		return
	}
	starts := append(s.starts[req.names[0].Pool], s.now)
	s.starts[req.names[0].Pool] = starts
	recent := 0
	for _, at := range starts {
		if s.now-at < time.Second {
			recent++
		}
	}
	if recent > simRate && s.err == nil {
		s.err = fmt.Errorf("at %v: %d starts in a second", s.now, recent)
	}
}

// endExpiredRequests ends requests at their deadline, as the backend server does.
func (s *sim) endExpiredRequests() {
	var remaining []*simRequest
	for _, req := range s.inFlight {
		if s.now < req.end {
			remaining = append(remaining, req)
			continue
		}
		s.release(req)
	}
	s.inFlight = remaining
}

// release returns a request's tokens. A frozen member processes this once it runs again,
// a member that is down never.
func (s *sim) release(req *simRequest) {
	if req.by.down {
		return
	}
	g := req.grant
	member := req.by
	release := func() {
		member.table.Release(&g, s.now)
		if s.variant.noCooldown {
			for _, p := range member.table.pools {
				for _, tok := range p.tokens {
					if tok.state == stateDelayed && p.spec.Kind == version.PoolRate {
						tok.state = stateFree
					}
				}
			}
		}
	}
	if member.frozen {
		s.messages = append(s.messages, message{member, release})
		return
	}
	release()
}

// finish ends a random request.
func (s *sim) finish() {
	if len(s.inFlight) == 0 {
		return
	}
	i := s.rnd.IntN(len(s.inFlight))
	req := s.inFlight[i]
	s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
	s.release(req)
}
