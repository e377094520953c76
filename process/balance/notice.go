// SPDX-License-Identifier: MIT

package balance

import (
	"time"

	"shalewick/request"
	"shalewick/version"
)

// startOf identifies one start of a backend server. One that has another address, other
// software, or says that it was born at another time, was started anew, and knows nothing of
// before.
type startOf struct {
	name, address, software string
	incarnation             int64
}

func startOfBackend(v *version.RoutedBackend) startOf {
	return startOf{v.Name, v.Address, v.Software, v.Incarnation}
}

// noticeState is what is known of the notices (request.Notice) of one start of a backend
// server, as it told them to this instance or another one. It holds whatever the row of the backend server says: while
// the store is away a row goes on saying "ready", and the server itself knows better. See
// docs/design/notices.md.
type noticeState struct {
	leaving departure
	backoff backoff
	listed  time.Duration // when a routing had the backend server last
}

// noticeKept is how long notices are remembered of a backend server whose row is gone: rows lapse
// while the store is away and come back as they were.
const noticeKept = time.Minute

// eligibility is whether a backend server may get new requests by its own notices.
type eligibility uint8

const (
	// eligible: there are none that count.
	eligible eligibility = iota
	// lastResort: it gets what no other can take.
	lastResort
	// ineligible: it gets nothing.
	ineligible
)

// eligibility returns that for new requests. Within is how long after its word one that leaves
// may still get what no other can take.
func (u *backend) eligibility(now, within time.Duration) eligibility {
	if u.notices == nil {
		return eligible
	}
	return max(u.notices.leaving.eligibility(now, within), u.notices.backoff.eligibility(now))
}

// takes reports whether the backend server of an index is one to choose among all others. The
// caller holds the lock.
func (t *Table) takes(index int32, now time.Duration) bool {
	u := t.states[index]
	return u == nil || u.usable(now) && u.eligibility(now, t.LeaveWithin) == eligible
}

// Heed takes up what the head of an answer says its server wants from now on. It is called
// before the answer is passed on, and before Done.
func (p *Pick) Heed(n request.Notice) {
	if n == (request.Notice{}) {
		return
	}
	t := p.table
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	known := t.noticesOf(p.u, now)
	began := n.Leaving && known.leaving.told(now)
	if n.RetryAfter > 0 {
		p.turnedAway = true
		began = known.backoff.ask(n.RetryAfter, now) || began
	}
	if began {
		t.noticed(p.Name, n, true)
	}
}

// Allowed reports whether the backend server may still get the request, which is asked right
// before its first byte leaves: the process may have stood still since the choice, or a
// connection taken long, and another answer told more meanwhile.
func (p *Pick) Allowed() bool {
	t := p.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return p.u.eligibility(t.Now(), t.LeaveWithin) != ineligible
}

// noticesOf returns what is known of the notices of a backend server, to be added to. The caller
// holds the lock.
func (t *Table) noticesOf(u *backend, now time.Duration) *noticeState {
	if u.notices != nil {
		return u.notices
	}
	if t.notices == nil {
		t.notices = make(map[startOf]*noticeState)
	}
	n := t.notices[u.start]
	if n == nil {
		n = &noticeState{listed: now}
		t.notices[u.start] = n
	}
	u.notices = n
	return n
}

// seeRows compares notices with the rows of a new routing. The caller holds the lock.
func (t *Table) seeRows(now time.Duration) {
	for start, n := range t.notices {
		i := t.routing.FindBackend(start.name)
		if i == version.None || startOfBackend(&t.routing.Backends[i]) != start {
			continue
		}
		t.state(i).notices = n
		n.listed = now
		n.leaving.seeRow(t.routing.Backends[i].Leaving)
	}
}

// forgetNotices drops those of backend servers that no routing has had for long, so that memory
// is bounded however many follow each other. The caller holds the lock.
func (t *Table) forgetNotices(now time.Duration) {
	for start, n := range t.notices {
		if now-n.listed > noticeKept {
			delete(t.notices, start)
		}
	}
}

// noticed tells of a notice that is new.
func (t *Table) noticed(backend string, n request.Notice, own bool) {
	if t.OnNotice != nil {
		t.OnNotice(backend, n, own)
	}
}

// Notices returns the number of backend servers that say that they leave, while their rows do
// not close them, and of those to which requests are held back.
func (t *Table) Notices() (leaving, resting int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	for i, u := range t.states {
		if u == nil || u.notices == nil || t.routing.Backends[i].Closed {
			continue
		}
		if u.notices.leaving.eligibility(now, t.LeaveWithin) != eligible {
			leaving++
		}
		if u.notices.backoff.eligibility(now) != eligible {
			resting++
		}
	}
	return leaving, resting
}
