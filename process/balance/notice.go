// SPDX-License-Identifier: MIT

package balance

import (
	"time"

	"shalewick/request"
	"shalewick/version"
)

// What a backend server says in its answers of what it wants (request.Notice) holds for the
// start of it that said so, whatever its row says: while the store is away a row goes on
// saying "ready", and the server itself knows better. See docs/design/notices.md.
const (
	// rumourFor is how long the word of another instance that a backend server leaves counts
	// after it was last told. Origin: those who were told by the server itself repeat it at
	// each beat, to some of a region of 100; 20 beats reach any one with 0.99. One request
	// then learns it anew.
	rumourFor = 10 * time.Second
	// departureKept is how long it is remembered that a backend server leaves whose row is
	// gone: rows lapse while the store is away and come back as they were.
	departureKept = time.Minute
)

// startOf identifies one start of a backend server.
type startOf struct {
	name, address, software string
	incarnation             int64
}

func startOfBackend(v *version.RoutedBackend) startOf {
	return startOf{v.Name, v.Address, v.Software, v.Incarnation}
}

// departure is what is known of a start of a backend server that leaves by its own word.
type departure struct {
	since     time.Duration // when it said so first, as far as is known
	own       bool          // it said so to this instance
	heard     time.Duration // when another instance told it last; zero: never
	rowLeaves bool          // its row has said so as well
	listed    time.Duration // when a routing had it last
}

// standing is how a backend server stands to new requests by its own word.
type standing uint8

const (
	// wanted: it said nothing.
	wanted standing = iota
	// lastResort: it gets what no other can take.
	lastResort
	// unwanted: it gets nothing.
	unwanted
)

// standing returns how the backend server stands to new requests. Within is how long after its
// word one that leaves may still get what no other can take.
func (u *backend) standing(now, within time.Duration) standing {
	return u.departure.standing(now, within)
}

// standing returns that of a departure, which may be nil. What was said to this instance binds
// it; the word of others only makes the backend server the last choice, so that no
// rumour can refuse a request.
func (d *departure) standing(now, within time.Duration) standing {
	switch {
	case d == nil || !d.own && now-d.heard > rumourFor:
		return wanted
	case d.own && now-d.since >= within:
		return unwanted
	}
	return lastResort
}

// takes reports whether the backend server is one to choose among all others.
func (t *Table) takes(u *backend, now time.Duration) bool {
	return u.usable(now) && u.standing(now, t.LeaveWithin) == wanted
}

// Heed takes up what the head of an answer says its server wants from now on. It is called
// before the answer is passed on.
func (p *Pick) Heed(n request.Notice) {
	if !n.Leaving {
		return
	}
	t := p.table
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	d := t.departs(p.u, now)
	if d.own {
		return
	}
	d.own = true
	t.noticed(p.Name, n, true)
}

// Allowed reports whether the backend server still wants the request, which is asked right
// before its first byte leaves: the process may have stood still since the choice, or a
// connection taken long, and another answer told more meanwhile.
func (p *Pick) Allowed() bool {
	t := p.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return p.u.standing(t.Now(), t.LeaveWithin) != unwanted
}

// departs returns the departure of a backend server, which begins now unless it is known. The
// caller holds the lock.
func (t *Table) departs(u *backend, now time.Duration) *departure {
	if u.departure != nil {
		return u.departure
	}
	if t.departures == nil {
		t.departures = make(map[startOf]*departure)
	}
	d := t.departures[u.start]
	if d == nil {
		d = &departure{since: now, listed: now}
		t.departures[u.start] = d
	}
	u.departure = d
	return d
}

// hearLeaving takes up the word of another instance that a backend server said that it leaves,
// some time ago. The caller holds the lock.
func (t *Table) hearLeaving(index int32, age, now time.Duration) {
	u := t.states[index]
	known := u.departure != nil
	d := t.departs(u, now)
	d.since = min(d.since, now-age)
	d.heard = now
	if !known {
		t.noticed(t.routing.Backends[index].Name, request.Notice{Leaving: true}, false)
	}
}

// noticed tells of a wish that is new.
func (t *Table) noticed(backend string, n request.Notice, own bool) {
	if t.OnNotice != nil {
		t.OnNotice(backend, n, own)
	}
}

// listDeparture compares what a backend server said with its row in a new routing. A row that
// said that it leaves, too, and now does not, is the newer word: it stays. One that did not
// say so yet is older than the answer, however new its other fields are. The caller holds
// the lock.
func (t *Table) listDeparture(u *backend, v *version.RoutedBackend, now time.Duration) {
	d := t.departures[u.start]
	switch {
	case d == nil:
	case v.Leaving:
		d.rowLeaves = true
	case d.rowLeaves:
		delete(t.departures, u.start)
		d = nil
	}
	if d != nil {
		d.listed = now
	}
	u.departure = d
}

// forgetDepartures drops what is known of backend servers that no routing has had for long, so
// that memory is bounded however many follow each other. The caller holds the lock.
func (t *Table) forgetDepartures(now time.Duration) {
	for start, d := range t.departures {
		if now-d.listed > departureKept {
			delete(t.departures, start)
		}
	}
}

// Leaving returns the number of backend servers that say that they leave, but for those whose
// rows say so as well.
func (t *Table) Leaving() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	for i, u := range t.states {
		if !t.routing.Backends[i].Closed && u.departure.standing(now, t.LeaveWithin) != wanted {
			n++
		}
	}
	return n
}
