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
	p.u.sending++
}

// Release ends what Hold began. It is called once.
func (p *Pick) Release() {
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	p.u.inFlight--
	p.u.sending--
	*p.u.flights--
}

// Done tells what came of the request. Report is the backend server's word on its
// load, if it gave one.
func (p *Pick) Done(o Outcome, report *Report) {
	t := p.table
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	u := p.u
	if !p.held {
		u.inFlight--
		*u.flights--
	}
	if p.turnedAway {
		t.turnedAway(p, now)
		return
	}
	if u.notices != nil && (o == Answered || o == Refused) {
		u.notices.backoff.took(p.started)
	}
	if o == Refused && report.idle() {
		t.refusedIdle(p, now)
		return
	}
	if report != nil {
		u.report(*report, now)
		u.share.note(&t.Policy, *report, now)
	}
	switch o {
	case Answered:
		p.recovered()
		u.answeredAt = now
		u.observe(report, now)
		u.learn(now-p.started, report.paceOr(u.pace.expected(now, t.Policy.PaceLife)))
		t.seen.note(p.object, p.life, now)
	case Refused:
		u.answeredAt = now
		p.recovered()
		if report == nil {
			report = &Report{Running: 1 << 6}
			u.report(*report, now)
		}
		u.observe(report, now)
	case Unreachable:
		t.suspend(p, now)
	case Lost:
		u.lost++
		if u.lost >= t.Policy.LostInARow {
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
func (t *Table) refusedIdle(p *Pick, now time.Duration) {
	u := p.u
	u.answeredAt = now
	refused := u.refused + 1
	p.recovered()
	u.refused = refused
	over := u.refused - t.Policy.RefusedInARow
	if over < 0 {
		return
	}
	pause := min(t.Policy.SuspendLeast<<min(over, 5), t.Policy.SuspendMost)
	if t.noticesOf(u, now).backoff.avoid(pause, now) && t.OnAvoid != nil {
		t.OnAvoid(p.Name, u.refused, pause)
	}
}

// turnedAway notes an answer that asked for a backoff. Nothing else is learnt of it: a backend
// server that turns everything away is idle and quick, so its load report and the time that
// it took would send it more than any other gets (0.47 of all requests in place of 0.27, as
// six of twenty did it).
func (t *Table) turnedAway(p *Pick, now time.Duration) {
	p.u.answeredAt = now
	p.recovered()
}

// suspend notes a failure, unless the backend server has answered since.
func (t *Table) suspend(p *Pick, now time.Duration) {
	if p.u.answeredAt >= p.started {
		return
	}
	pause := p.u.failed(now)
	t.tell(p.Name, p.u.failures, pause)
}

// recovered notes that the backend server answers.
func (p *Pick) recovered() {
	if p.u.failures > 0 {
		p.table.tell(p.Name, 0, 0)
	}
	p.u.failures = 0
	p.u.lost = 0
	p.u.refused = 0
}

func (t *Table) tell(backend string, failures int, pause time.Duration) {
	if t.OnSuspend != nil {
		t.OnSuspend(backend, failures, pause)
	}
}

// Gone notes that a backend server is no longer at its address.
func (p *Pick) Gone() {
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	p.u.failures = max(p.u.failures, 3)
	p.u.suspended = p.table.Now() + p.table.Policy.SuspendMost
}
