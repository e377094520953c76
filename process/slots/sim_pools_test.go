// SPDX-License-Identifier: MIT

package slots

import (
	"maps"
	"slices"
)

// borrow asks a home for tokens; request and answer can be late or lost.
func (s *sim) borrow(m *simMember) {
	from := s.randomRunning()
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
		s.shortenReclaim(from)
		s.send(m, func() {
			if s.variant.leaseFromArrival {
				asked = s.now
			}
			m.table.AddBorrowed(from.id, granted, asked, s.now)
		})
	})
}

// shorten is the variant that takes back at the end of the lease.
func (s *sim) shortenReclaim(m *simMember) {
	if !s.variant.reclaimAtLeaseEnd {
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

func (s *sim) maintainLeases(m *simMember) {
	if m == nil {
		return
	}
	upkeep := m.table.MaintainLeases(s.now)
	for _, id := range slices.Sorted(maps.Keys(upkeep)) { // the same order in each run
		u := upkeep[id]
		lessor := s.find(id)
		asked := s.now
		s.send(lessor, func() { lessor.table.AcceptReturns(m.id, u.Return, s.now) })
		s.send(lessor, func() {
			renewed := lessor.table.Renew(m.id, u.Renew, s.now)
			s.shortenReclaim(lessor)
			s.send(m, func() { m.table.ApplyRenewals(id, renewed, asked, s.now) })
		})
	}
}

// split does a member's round of splitting: settle what it was ceding, then
// plan and write, with an answer that can be lost or a write that lands late.
func (s *sim) updateSplit(m *simMember) {
	if m == nil || !s.finishTransfer(m) {
		return
	}
	in := PlanInput{Down: make(map[string]bool), View: m.view, Planner: m.id}
	for _, o := range s.members {
		if (o.down || o.frozen) && s.now-o.since > s.downAfter {
			in.Down[o.id] = true // its beat has lapsed and the list has dropped it
			continue
		}
		if !o.down {
			in.Live = append(in.Live, Candidate{ID: o.id, Region: "a"})
		}
	}
	if m.table.Split().Epoch < s.storedSplit.Epoch {
		m.table.SetSplit(s.storedSplit, s.now)
		return
	}
	m.transferring = m.table.StartTransfer(in.Live, 2, s.now)
	in.Transferred = m.transferring
	next, changed := Plan(s.storedSplit, in)
	m.writtenAt = -1
	if !changed {
		return
	}
	switch s.rnd.IntN(6) {
	case 0: // the write lands, its answer is lost
		m.writtenAt = s.storedRevision
		s.write(next)
	case 1, 2: // the write may land later
		m.writtenAt = s.storedRevision
		s.lateWrites = append(s.lateWrites, lateWrite{next, s.storedRevision})
	default:
		s.write(next)
		m.table.SetSplit(next, s.now)
	}
}

func (s *sim) write(next *Split) {
	s.storedSplit = next
	s.storedRevision++
}

func (s *sim) finishTransfer(m *simMember) bool {
	if len(m.transferring) == 0 {
		return true
	}
	m.table.SetSplit(s.storedSplit, s.now)
	if m.writtenAt >= 0 && s.storedRevision == m.writtenAt && !s.variant.cancelTransferEarly {
		same := *s.storedSplit
		same.Epoch++
		s.write(&same)
		m.table.SetSplit(&same, s.now)
		return false
	}
	m.table.CancelTransfer(m.transferring, s.now)
	m.transferring = nil
	return s.rnd.IntN(4) == 0 // the next look for surplus comes later
}

// deliverLate lets some of what is on its way arrive.
func (s *sim) deliverDelayed() {
	if len(s.lateWrites) > 0 && s.rnd.IntN(8) == 0 {
		w := s.lateWrites[0]
		s.lateWrites = s.lateWrites[1:]
		if w.rev == s.storedRevision {
			s.write(w.next)
		}
	}
	all := s.messages
	s.messages = nil
	for _, m := range all {
		if s.rnd.IntN(4) == 0 {
			s.deliver(m)
			continue
		}
		s.messages = append(s.messages, m)
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
