// SPDX-License-Identifier: MIT

package balance

import (
	"time"

	"shalewick/request"
	"shalewick/version"
)

// startKey identifies one incarnation of a backend server. A change of the address, the software
// or the declared start time means that it was restarted and has lost its former state.
type startKey struct {
	name, address, software string
	incarnation             int64
}

func startKeyOf(v *version.RoutedBackend) startKey {
	return startKey{v.Name, v.Address, v.Software, v.Incarnation}
}

// noticeState is what is known of the notices (request.Notice) of one incarnation of a backend
// server, as it sent them to this instance or another one. It takes precedence over the row: while
// the store is unavailable a row still says "ready" although the server is leaving. See
// docs/design/notices.md.
type noticeState struct {
	leaving    departure
	backoff    backoff
	lastListed time.Duration // when a routing last contained the backend server
}

// noticeRetention is how long notices are kept of a backend server whose row is gone: rows expire
// while the store is unavailable and reappear unchanged.
const noticeRetention = time.Minute

// eligibility says whether a backend server may get new requests, according to its own notices.
type eligibility uint8

const (
	// eligible: no notice is in force.
	eligible eligibility = iota
	// lastResort: it gets only requests that no other can accept.
	lastResort
	// ineligible: it gets no requests.
	ineligible
)

// eligibility returns the eligibility for new requests. grace is how long after its notice a
// leaving backend server may still get requests that no other can accept.
func (u *backend) eligibility(now, grace time.Duration) eligibility {
	if u.notices == nil {
		return eligible
	}
	return max(u.notices.leaving.eligibility(now, grace), u.notices.backoff.eligibility(now))
}

// isEligible reports whether a backend server is usable and no notice restricts it. The caller
// holds the lock.
func (t *Table) isEligible(index int32, now time.Duration) bool {
	u := t.states[index]
	return u == nil || u.usable(now) && u.eligibility(now, t.LeavingGrace) == eligible
}

// ApplyNotice applies the notice in the header of a response. It must be called before the response
// is passed on, and before Done.
func (p *Pick) ApplyNotice(n request.Notice) {
	if n == (request.Notice{}) {
		return
	}
	t := p.table
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	known := t.noticesOf(p.backend, now)
	isNew := n.Leaving && known.leaving.recordResponse(now)
	if n.RetryAfter > 0 {
		p.backoffRequested = true
		isNew = known.backoff.extend(n.RetryAfter, now) || isNew
	}
	if isNew {
		t.reportNotice(p.Name, n, true)
	}
}

// Allowed reports whether the backend server may still get the request. It is checked right before
// the first byte is sent: since the choice the process may have been stalled, or opening a
// connection may have taken long, and another response may have contained a notice.
func (p *Pick) Allowed() bool {
	t := p.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return p.backend.eligibility(t.Now(), t.LeavingGrace) != ineligible
}

// noticesOf returns the notices of a backend server for modification. The caller holds the lock.
func (t *Table) noticesOf(u *backend, now time.Duration) *noticeState {
	if u.notices != nil {
		return u.notices
	}
	if t.notices == nil {
		t.notices = make(map[startKey]*noticeState)
	}
	n := t.notices[u.start]
	if n == nil {
		n = &noticeState{lastListed: now}
		t.notices[u.start] = n
	}
	u.notices = n
	return n
}

// reconcileRows compares notices with the rows of a new routing. The caller holds the lock.
func (t *Table) reconcileRows(now time.Duration) {
	for start, n := range t.notices {
		i := t.routing.FindBackend(start.name)
		if i == version.None || startKeyOf(&t.routing.Backends[i]) != start {
			continue
		}
		t.state(i).notices = n
		n.lastListed = now
		n.leaving.reconcileRow(t.routing.Backends[i].Leaving)
	}
}

// pruneNotices drops the notices of backend servers that no routing has contained for long, so
// that memory is bounded when backend servers are replaced frequently. The caller holds the lock.
func (t *Table) pruneNotices(now time.Duration) {
	for start, n := range t.notices {
		if now-n.lastListed > noticeRetention {
			delete(t.notices, start)
		}
	}
}

// reportNotice reports a new notice to OnNotice.
func (t *Table) reportNotice(backend string, n request.Notice, own bool) {
	if t.OnNotice != nil {
		t.OnNotice(backend, n, own)
	}
}

// Notices returns the number of backend servers that announced that they are leaving while their
// rows do not close them, and the number of those that are backing off.
func (t *Table) Notices() (leaving, backingOff int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	for i, u := range t.states {
		if u == nil || u.notices == nil || t.routing.Backends[i].Closed {
			continue
		}
		if u.notices.leaving.eligibility(now, t.LeavingGrace) != eligible {
			leaving++
		}
		if u.notices.backoff.eligibility(now) != eligible {
			backingOff++
		}
	}
	return leaving, backingOff
}
