// SPDX-License-Identifier: MIT

package slots

import (
	"maps"
	"slices"
)

// borrow asks a home for tokens; request and answer can be late or lost.
func (s *sim) borrow(m *simMember) {
	from := s.awake()
	if m == nil || from == nil || from == m {
		return
	}
	w := Want{Service: "s", Region: "a", Tokens: 2}
	if s.rnd.IntN(3) == 0 {
		w = Want{Pool: "shift/x/rate", Tokens: 1}
	}
	asked := s.now
	s.send(from, func() {
		if !s.fresh(from) {
			return
		}
		granted := from.table.Lend(m.id, w, s.now)
		s.shorten(from)
		s.send(m, func() {
			if s.variant.lateLease {
				asked = s.now
			}
			m.table.Borrow(from.id, granted, asked, s.now)
		})
	})
}

// shorten is the variant that takes back at the end of the lease.
func (s *sim) shorten(m *simMember) {
	if !s.variant.noDeadline {
		return
	}
	for _, p := range m.table.pools {
		for _, k := range p.tokens {
			if k.state == stateLent {
				k.until = min(k.until, s.now+LeaseTime)
			}
		}
	}
}

func (s *sim) upkeep(m *simMember) {
	if m == nil {
		return
	}
	upkeep := m.table.Upkeep(s.now)
	for _, id := range slices.Sorted(maps.Keys(upkeep)) { // the same order in each run
		u := upkeep[id]
		lessor := s.find(id)
		asked := s.now
		s.send(lessor, func() { lessor.table.TakeBack(m.id, u.Return, s.now) })
		s.send(lessor, func() {
			renewed := lessor.table.Renew(m.id, u.Renew, s.now)
			s.shorten(lessor)
			s.send(m, func() { m.table.Renewed(id, renewed, asked, s.now) })
		})
	}
}

// split does a member's round of splitting: settle what it was ceding, then
// plan and write, with an answer that can be lost or a write that lands late.
func (s *sim) split(m *simMember) {
	if m == nil || !s.settle(m) {
		return
	}
	in := PlanInput{Dead: make(map[string]bool), View: m.view, Ceder: m.id}
	for _, o := range s.members {
		if (o.dead || o.frozen) && s.now-o.since > s.lapse {
			in.Dead[o.id] = true // its beat has lapsed and the list has dropped it
			continue
		}
		if !o.dead {
			in.Live = append(in.Live, Candidate{ID: o.id, Region: "a"})
		}
	}
	if m.table.Split().Epoch < s.row.Epoch {
		m.table.SetSplit(s.row, s.now)
		return
	}
	m.ceding = m.table.Cede(in.Live, 2, s.now)
	in.Ceded = m.ceding
	next, changed := Plan(s.row, in)
	m.boundTo = -1
	if !changed {
		return
	}
	switch s.rnd.IntN(6) {
	case 0: // the write lands, its answer is lost
		m.boundTo = s.rev
		s.write(next)
	case 1, 2: // the write may land later
		m.boundTo = s.rev
		s.late = append(s.late, lateWrite{next, s.rev})
	default:
		s.write(next)
		m.table.SetSplit(next, s.now)
	}
}

func (s *sim) write(next *Split) {
	s.row = next
	s.rev++
}

func (s *sim) settle(m *simMember) bool {
	if len(m.ceding) == 0 {
		return true
	}
	m.table.SetSplit(s.row, s.now)
	if m.boundTo >= 0 && s.rev == m.boundTo && !s.variant.uncedeEarly {
		same := *s.row
		same.Epoch++
		s.write(&same)
		m.table.SetSplit(&same, s.now)
		return false
	}
	m.table.Uncede(m.ceding, s.now)
	m.ceding = nil
	return s.rnd.IntN(4) == 0 // the next look for surplus comes later
}

// deliverLate lets some of what is on its way arrive.
func (s *sim) deliverLate() {
	if len(s.late) > 0 && s.rnd.IntN(8) == 0 {
		w := s.late[0]
		s.late = s.late[1:]
		if w.rev == s.rev {
			s.write(w.next)
		}
	}
	all := s.mail
	s.mail = nil
	for _, m := range all {
		if s.rnd.IntN(4) == 0 {
			s.deliver(m)
			continue
		}
		s.mail = append(s.mail, m)
	}
}

// resize changes the number of slots; members take it up one by one.
func (s *sim) resize(m *simMember) {
	if m == nil {
		return
	}
	if s.rnd.IntN(8) == 0 {
		s.size = 1 + s.rnd.IntN(simSlots)
	}
	s.install(m, m.view.Seq+1)
}
