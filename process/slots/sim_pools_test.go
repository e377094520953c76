// SPDX-License-Identifier: MIT

package slots

import (
	"maps"
	"slices"
)

// borrow requests tokens from an owner. The request and the response can be delayed or
// lost.
func (s *sim) borrow(m *simMember) {
	lessor := s.randomRunning()
	if m == nil || lessor == nil || lessor == m {
		return
	}
	w := Want{Service: "s", Region: "a", Tokens: 2}
	if s.rnd.IntN(3) == 0 {
		w = Want{Pool: "shift/x/rate", Tokens: 1}
	}
	requestedAt := s.now
	s.send(lessor, func() {
		if !s.fresh(lessor) {
			return
		}
		granted := lessor.table.Lend(m.id, w, s.now)
		s.shortenReclaim(lessor)
		s.send(m, func() {
			if s.variant.leaseFromArrival {
				requestedAt = s.now
			}
			m.table.AddBorrowed(lessor.id, granted, requestedAt, s.now)
		})
	})
}

// shortenReclaim implements variant.reclaimAtLeaseEnd: the lessor reclaims lent tokens
// when their lease ends.
func (s *sim) shortenReclaim(m *simMember) {
	if !s.variant.reclaimAtLeaseEnd {
		return
	}
	for _, p := range m.table.pools {
		for _, tok := range p.tokens {
			if tok.state == stateLent {
				tok.until = min(tok.until, s.now+LeaseTime)
			}
		}
	}
}

func (s *sim) maintainLeases(m *simMember) {
	if m == nil {
		return
	}
	updates := m.table.MaintainLeases(s.now)
	for _, id := range slices.Sorted(maps.Keys(updates)) { // a fixed order makes runs reproducible
		u := updates[id]
		lessor := s.find(id)
		requestedAt := s.now
		s.send(lessor, func() { lessor.table.AcceptReturns(m.id, u.Return, s.now) })
		s.send(lessor, func() {
			renewed := lessor.table.Renew(m.id, u.Renew, s.now)
			s.shortenReclaim(lessor)
			s.send(m, func() { m.table.ApplyRenewals(id, renewed, requestedAt, s.now) })
		})
	}
}

// updateSplit performs one round of a member's split maintenance: it finishes the
// previous transfer, plans the next split and writes it. The response to the write can
// be lost, and the write can be delayed.
func (s *sim) updateSplit(m *simMember) {
	if m == nil || !s.finishTransfer(m) {
		return
	}
	in := PlanInput{Down: make(map[string]bool), View: m.view, Planner: m.id}
	for _, other := range s.members {
		if (other.down || other.frozen) && s.now-other.since > s.downAfter {
			in.Down[other.id] = true // its heartbeat has expired and the platform's list no longer has it
			continue
		}
		if !other.down {
			in.Live = append(in.Live, Candidate{ID: other.id, Region: "a"})
		}
	}
	if m.table.Split().Epoch < s.storedSplit.Epoch {
		m.table.SetSplit(s.storedSplit, s.now)
		return
	}
	m.transferring = m.table.StartTransfer(in.Live, 2, s.now)
	in.Transferred = m.transferring
	next, changed := Plan(s.storedSplit, in)
	m.conditionalRevision = -1
	if !changed {
		return
	}
	switch s.rnd.IntN(6) {
	case 0: // the write succeeds, its response is lost
		m.conditionalRevision = s.storedRevision
		s.write(next)
	case 1, 2: // the write may be carried out later
		m.conditionalRevision = s.storedRevision
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

// finishTransfer ends the member's previous transfer and reports whether it may start
// another one. While a delayed write of the transfer can still be carried out, it first
// writes a new revision, which makes the delayed write fail.
func (s *sim) finishTransfer(m *simMember) bool {
	if len(m.transferring) == 0 {
		return true
	}
	m.table.SetSplit(s.storedSplit, s.now)
	if m.conditionalRevision >= 0 && s.storedRevision == m.conditionalRevision && !s.variant.cancelTransferEarly {
		unchanged := *s.storedSplit
		unchanged.Epoch++
		s.write(&unchanged)
		m.table.SetSplit(&unchanged, s.now)
		return false
	}
	m.table.CancelTransfer(m.transferring, s.now)
	m.transferring = nil
	return s.rnd.IntN(4) == 0 // the next search for a surplus comes later
}

// deliverDelayed carries out some of the delayed writes and delivers some of the
// delayed messages.
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

// resize changes the number of slots. Each member installs the change on its own.
func (s *sim) resize(m *simMember) {
	if m == nil {
		return
	}
	if s.rnd.IntN(8) == 0 {
		s.size = 1 + s.rnd.IntN(simSlots)
	}
	s.install(m, m.view.Seq+1)
}
