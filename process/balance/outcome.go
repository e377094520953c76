// SPDX-License-Identifier: MIT

package balance

import "time"

// Outcome is the result of sending a request to a backend server.
type Outcome uint8

// The outcomes.
const (
	// Answered: the backend server returned a complete response.
	Answered Outcome = iota
	// Refused: the backend server did not run the request.
	Refused
	// Unreachable: no connection could be opened, or the existing one is broken.
	Unreachable
	// Lost: the request was sent, and no complete or valid response arrived.
	Lost
	// Abandoned: the request ended for a reason unrelated to the backend server.
	Abandoned
)

// Hold makes the request count as in flight after Done, until Release, while the backend server is
// still transferring a response. It occupies a connection, but no slot.
func (p *Pick) Hold() {
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	p.held = true
	p.backend.sending++
}

// Release ends the effect of Hold. It must be called once.
func (p *Pick) Release() {
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	p.backend.inFlight--
	p.backend.sending--
	*p.backend.softwareInFlight--
}

// Done reports the result of the request. report is the backend server's load report, or nil.
func (p *Pick) Done(o Outcome, report *Report) {
	t := p.table
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	u := p.backend
	if o == Answered || o == Refused {
		t.recordContact(now)
	}
	if !p.held {
		u.inFlight--
		*u.softwareInFlight--
	}
	if p.backoffRequested {
		t.recordBackoffResponse(p, now)
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
		u.observeResponse(report, now)
		u.updateWork(now-p.started, report.slowdownOr(u.slowdown.expected(now, t.Policy.SlowdownDecay)))
		t.seen.record(p.object, p.incarnationHash, now)
	case Refused:
		u.answeredAt = now
		p.recordRecovery()
		if report == nil {
			report = &Report{Running: 1 << 6}
			u.recordReport(*report, now)
		}
		u.observeResponse(report, now)
	case Unreachable:
		t.suspectLinks(p.started, now)
		t.suspend(p, now)
	case Lost:
		t.suspectLinks(p.started, now)
		u.lostInARow++
		if u.lostInARow >= t.Policy.LostThreshold {
			t.suspend(p, now)
		}
	case Abandoned:
	}
}

// recordIdleRefusal records a refusal by a backend server that reports free slots. The report is
// ignored, since it would attract more requests to a server that refuses them. After
// RefusedThreshold consecutive refusals the server is the last resort, for periods that double. A
// single one may be caused by the request, or by a deadline that passed in transit. The server is
// live, so it is not suspended and still gets requests that no other can accept.
func (t *Table) recordIdleRefusal(p *Pick, now time.Duration) {
	u := p.backend
	u.answeredAt = now
	refusals := u.refusedInARow + 1
	p.recordRecovery()
	u.refusedInARow = refusals
	excess := u.refusedInARow - t.Policy.RefusedThreshold
	if excess < 0 {
		return
	}
	pause := min(t.Policy.MinSuspension<<min(excess, 5), t.Policy.MaxSuspension)
	if t.noticesOf(u, now).backoff.avoid(pause, now) && t.OnAvoid != nil {
		t.OnAvoid(p.Name, u.refusedInARow, pause)
	}
}

// recordBackoffResponse records a response that requested a backoff. Neither its load report nor
// its duration is used: a backend server that rejects everything is idle and quick, and would
// attract more requests than any other (0.47 of all instead of 0.27 when six of twenty did so).
func (t *Table) recordBackoffResponse(p *Pick, now time.Duration) {
	p.backend.answeredAt = now
	p.recordRecovery()
}

// suspend records a failure, unless the backend server has answered since the request was sent.
func (t *Table) suspend(p *Pick, now time.Duration) {
	if p.backend.answeredAt >= p.started {
		return
	}
	pause := p.backend.recordFailure(now)
	t.reportSuspension(p.Name, p.backend.failures, pause)
}

// recordRecovery records that the backend server responds again.
func (p *Pick) recordRecovery() {
	if p.backend.failures > 0 {
		p.table.reportSuspension(p.Name, 0, 0)
	}
	p.backend.failures = 0
	p.backend.lostInARow = 0
	p.backend.refusedInARow = 0
}

// reportSuspension reports a suspension, or with zero failures a recovery, to OnSuspend.
func (t *Table) reportSuspension(backend string, failures int, pause time.Duration) {
	if t.OnSuspend != nil {
		t.OnSuspend(backend, failures, pause)
	}
}

// RecordMisdirected records that the backend server is no longer at its address.
func (p *Pick) RecordMisdirected() {
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	p.backend.failures = max(p.backend.failures, 3)
	p.backend.suspendedUntil = p.table.Now() + p.table.Policy.MaxSuspension
	if p.table.OnMisdirected != nil {
		p.table.OnMisdirected(p.Name)
	}
}
