// SPDX-License-Identifier: MIT

package balance

import "time"

// Outcome is what came of a request at a backend server.
type Outcome uint8

// The outcomes.
const (
	// Answered: a whole answer of the backend server.
	Answered Outcome = iota
	// Refused: the backend server did not run the request.
	Refused
	// Unreachable: no connection could be opened, or the one in use is dead.
	Unreachable
	// Lost: it was sent, and no whole answer came, or one that is none.
	Lost
	// Abandoned: the request ended for a reason that is not the backend server's.
	Abandoned
)

// Hold makes the request count as in flight after Done, until Release: the backend
// server is still sending the rest of an answer. It takes a connection, and no slot.
func (p *Pick) Hold() {
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	p.held = true
	p.backend.sending++
}

// Release ends what Hold began. It is called once.
func (p *Pick) Release() {
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	p.backend.inFlight--
	p.backend.sending--
	*p.backend.softwareInFlight--
}

// Done tells what came of the request. Report is the backend server's word on its
// load, if it gave one.
func (p *Pick) Done(o Outcome, report *Report) {
	t := p.table
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	u := p.backend
	if !p.held {
		u.inFlight--
		*u.softwareInFlight--
	}
	if p.backoffRequested {
		t.recordBackoffAnswer(p, now)
		return
	}
	if u.notices != nil && (o == Answered || o == Refused) {
		u.notices.backoff.recordAccepted(p.started)
	}
	if o == Refused && report.hasFreeSlots() {
		t.recordIdleRefusal(p, now)
		return
	}
	if report != nil {
		u.recordReport(*report, now)
		u.share.record(&t.Policy, *report, now)
	}
	switch o {
	case Answered:
		p.recordRecovery()
		u.answeredAt = now
		u.observeAnswer(report, now)
		u.updateWork(now-p.started, report.slowdownOr(u.slowdown.expected(now, t.Policy.SlowdownDecay)))
		t.seen.record(p.object, p.startHash, now)
	case Refused:
		u.answeredAt = now
		p.recordRecovery()
		if report == nil {
			report = &Report{Running: 1 << 6}
			u.recordReport(*report, now)
		}
		u.observeAnswer(report, now)
	case Unreachable:
		t.suspend(p, now)
	case Lost:
		u.lostInARow++
		if u.lostInARow >= t.Policy.LostThreshold {
			t.suspend(p, now)
		}
	case Abandoned:
	}
}

// refusedIdle notes a refusal of a backend server whose report says that it has slots free.
// The report is left out, since it would draw more requests to a server that refuses them.
// From some refusals in a row on it is the last choice, for times that double; one alone may
// be the request's fault, or that of a deadline that passed on the way. It lives, so that
// it is not suspended: what no other can take it still gets.
func (t *Table) recordIdleRefusal(p *Pick, now time.Duration) {
	u := p.backend
	u.answeredAt = now
	refused := u.refusedInARow + 1
	p.recordRecovery()
	u.refusedInARow = refused
	over := u.refusedInARow - t.Policy.RefusedThreshold
	if over < 0 {
		return
	}
	pause := min(t.Policy.MinSuspension<<min(over, 5), t.Policy.MaxSuspension)
	if t.noticesOf(u, now).backoff.avoid(pause, now) && t.OnAvoid != nil {
		t.OnAvoid(p.Name, u.refusedInARow, pause)
	}
}

// turnedAway notes an answer that asked for a backoff. Nothing else is learnt of it: a backend
// server that turns everything away is idle and quick, so its load report and the time that
// it took would send it more than any other gets (0.47 of all requests in place of 0.27, as
// six of twenty did it).
func (t *Table) recordBackoffAnswer(p *Pick, now time.Duration) {
	p.backend.answeredAt = now
	p.recordRecovery()
}

// suspend notes a failure, unless the backend server has answered since.
func (t *Table) suspend(p *Pick, now time.Duration) {
	if p.backend.answeredAt >= p.started {
		return
	}
	pause := p.backend.recordFailure(now)
	t.reportSuspension(p.Name, p.backend.failures, pause)
}

// recovered notes that the backend server answers.
func (p *Pick) recordRecovery() {
	if p.backend.failures > 0 {
		p.table.reportSuspension(p.Name, 0, 0)
	}
	p.backend.failures = 0
	p.backend.lostInARow = 0
	p.backend.refusedInARow = 0
}

func (t *Table) reportSuspension(backend string, failures int, pause time.Duration) {
	if t.OnSuspend != nil {
		t.OnSuspend(backend, failures, pause)
	}
}

// Gone notes that a backend server is no longer at its address.
func (p *Pick) Gone() {
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	p.backend.failures = max(p.backend.failures, 3)
	p.backend.suspendedUntil = p.table.Now() + p.table.Policy.MaxSuspension
}
