// SPDX-License-Identifier: MIT

package balance

import (
	"time"

	"shalewick/request"
	"shalewick/version"
)

// startOf identifies one start of a backend server.
type startOf struct {
	name, address, software string
	incarnation             int64
}

func startOfBackend(v *version.RoutedBackend) startOf {
	return startOf{v.Name, v.Address, v.Software, v.Incarnation}
}

// wish is what a start of a backend server wants by its own word (request.Notice), as it told
// this instance or another one. It holds whatever the row of the backend server says: while
// the store is away a row goes on saying "ready", and the server itself knows better. See
// docs/design/notices.md.
type wish struct {
	leaving departure
	rest    rest
	listed  time.Duration // when a routing had the backend server last
}

// wishKept is how long a wish is remembered of a backend server whose row is gone: rows lapse
// while the store is away and come back as they were.
const wishKept = time.Minute

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
	if u.wish == nil {
		return wanted
	}
	return max(u.wish.leaving.standing(now, within), u.wish.rest.standing(now))
}

// takes reports whether the backend server is one to choose among all others.
func (t *Table) takes(u *backend, now time.Duration) bool {
	return u.usable(now) && u.standing(now, t.LeaveWithin) == wanted
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
	w := t.wishOf(p.u, now)
	began := n.Leaving && w.leaving.told(now)
	if n.Rest > 0 {
		p.turnedAway = true
		began = w.rest.ask(n.Rest, now) || began
	}
	if began {
		t.noticed(p.Name, n, true)
	}
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

// wishOf returns the wish of a backend server, which is empty unless it is known. The caller
// holds the lock.
func (t *Table) wishOf(u *backend, now time.Duration) *wish {
	if u.wish != nil {
		return u.wish
	}
	if t.wishes == nil {
		t.wishes = make(map[startOf]*wish)
	}
	w := t.wishes[u.start]
	if w == nil {
		w = &wish{listed: now}
		t.wishes[u.start] = w
	}
	u.wish = w
	return w
}

// listWish gives a backend server of a new routing its wish, and compares it with its row. The
// caller holds the lock.
func (t *Table) listWish(u *backend, v *version.RoutedBackend, now time.Duration) {
	u.wish = t.wishes[u.start]
	if u.wish == nil {
		return
	}
	u.wish.listed = now
	u.wish.leaving.seeRow(v.Leaving)
}

// forgetWishes drops those of backend servers that no routing has had for long, so that memory
// is bounded however many follow each other. The caller holds the lock.
func (t *Table) forgetWishes(now time.Duration) {
	for start, w := range t.wishes {
		if now-w.listed > wishKept {
			delete(t.wishes, start)
		}
	}
}

// noticed tells of a wish that is new.
func (t *Table) noticed(backend string, n request.Notice, own bool) {
	if t.OnNotice != nil {
		t.OnNotice(backend, n, own)
	}
}

// Wishes returns the number of backend servers that say that they leave, while their rows do
// not close them, and of those that want rest now.
func (t *Table) Wishes() (leaving, resting int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	for i, u := range t.states {
		if u.wish == nil || t.routing.Backends[i].Closed {
			continue
		}
		if u.wish.leaving.standing(now, t.LeaveWithin) != wanted {
			leaving++
		}
		if u.wish.rest.standing(now) != wanted {
			resting++
		}
	}
	return leaving, resting
}
