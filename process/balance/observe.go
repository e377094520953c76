// SPDX-License-Identifier: MIT

package balance

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"shalewick/version"
)

// What instances tell each other of backend servers. In a large fleet an instance sends
// to one backend server once in a minute: what it learns there is of use to the others,
// and what they learn is all that it knows.
const (
	// observedFor is how long an observation is told on. Origin: it reaches a
	// region of 100 in some 1.5 s.
	observedFor = 3 * time.Second
	// observationUnit is the unit of the age of an observation.
	observationUnit = 25 * time.Millisecond
	// observationBytes is the size of one: four that identify the backend server and its
	// start, one of the age, one of the load.
	observationBytes = 6
	// unreachable stands in the place of the load for a backend server that could not
	// be reached, or lost answers in a row; leavingTold for one that said that it leaves, and
	// backoffTold for one that asked for a backoff: the time is then what is left of it; and
	// limitTold for one that names a rate limit. Loads stay below them.
	unreachable = 0xff
	leavingTold = 0xfe
	backoffTold = 0xfd
	limitTold   = 0xfc
	mostLoad    = limitTold - 1
	// mostDoubted is the share of the backend servers of a service that are doubted on
	// the word of others at most: if more seem to fail, it may be their links.
	mostDoubted = 1.0 / 3
	// mostReached bounds the suspended backend servers that connections are being opened
	// to at a time, besides those that a request would go to.
	mostReached = 4
)

// observation is what some instance saw of a backend server.
type observation struct {
	at   time.Duration // when it was seen; zero: never
	load byte          // requests that ran or waited, or unreachable
}

// observe notes an answer that this instance got, with the backend server's word on its
// load, if it gave one.
func (u *backend) observe(r *Report, now time.Duration) {
	u.observed = observation{at: now}
	if r != nil {
		u.observed.load = byte(min(r.Running+r.Waiting, mostLoad))
	}
}

// worthTelling reports whether others should know: the backend server can't be reached,
// or has no slot free.
func (o observation) worthTelling(slots int, now time.Duration) bool {
	return o.at != 0 && now-o.at < observedFor && (o.load == unreachable || int(o.load) >= slots)
}

// Observations returns what others should know of backend servers, the newest first, in
// at most size bytes.
func (t *Table) Observations(size int) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.routing == nil {
		return nil
	}
	now := t.Now()
	var tell []int32
	for i, u := range t.states {
		v := &t.routing.Backends[i]
		if u == nil || !u.observed.worthTelling(v.Slots, now) {
			continue
		}
		if u.observed.load == unreachable && t.failing(v.Service) > mostDoubted {
			continue // it may be the links of this instance
		}
		tell = append(tell, int32(i))
	}
	slices.SortFunc(tell, func(a, b int32) int { return cmp.Compare(t.states[b].observed.at, t.states[a].observed.at) })
	out := t.tellNotices(size/2, now)
	for _, i := range tell[:min(len(tell), (size-len(out))/observationBytes)] {
		o := t.states[i].observed
		out = t.appendEntry(out, i, byte((now-o.at)/observationUnit), o.load)
	}
	return out
}

// appendEntry adds one entry on a backend server: a time, whose meaning the load tells, and
// the load.
func (t *Table) appendEntry(out []byte, index int32, units, load byte) []byte {
	out = binary.LittleEndian.AppendUint32(out, uint32(t.routing.Backends[index].IncarnationHash))
	return append(out, units, load)
}

// tellNotices returns the entries on what backend servers said that they want, in at most
// size bytes; if there are more, any of them. The caller holds the lock.
func (t *Table) tellNotices(size int, now time.Duration) (out []byte) {
	var tell []int32
	for i, u := range t.states {
		if u == nil {
			continue
		}
		_, limited := t.limitUnits(int32(i), now)
		if limited || u.notices != nil && u.notices.worthTelling(t.routing.Backends[i].Leaving, now) {
			tell = append(tell, int32(i))
		}
	}
	if len(tell)*observationBytes > size {
		rand.Shuffle(len(tell), func(i, j int) { tell[i], tell[j] = tell[j], tell[i] })
	}
	room := func() bool { return len(out)+observationBytes <= size }
	for _, i := range tell {
		if units, limited := t.limitUnits(i, now); limited && room() {
			out = t.appendEntry(out, i, units, limitTold)
		}
		n := t.states[i].notices
		rowLeaves := t.routing.Backends[i].Leaving
		if n == nil || !n.worthTelling(rowLeaves, now) || !room() {
			continue
		}
		if n.leaving.worthTelling(rowLeaves, now) {
			out = t.appendEntry(out, i, n.leaving.units(now), leavingTold)
		} else {
			out = t.appendEntry(out, i, n.backoff.units(now), backoffTold)
		}
	}
	return out
}

// worthTelling reports whether others should know of notices. Of one that leaves and asked
// for a backoff they are told that it leaves.
func (n *noticeState) worthTelling(rowLeaves bool, now time.Duration) bool {
	return n.leaving.worthTelling(rowLeaves, now) || n.backoff.units(now) > 0
}

// Hear takes up the observations of another instance.
func (t *Table) Hear(text []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.routing == nil {
		return
	}
	now := t.Now()
	if t.byHash == nil {
		t.byHash = indexByHash(t.routing)
	}
	whole := len(text) - len(text)%observationBytes
	for e := range slices.Chunk(text[:whole], observationBytes) {
		i, known := t.byHash[binary.LittleEndian.Uint32(e)]
		if !known {
			continue
		}
		age := time.Duration(e[4]) * observationUnit
		switch e[5] {
		case leavingTold:
			t.hearLeaving(i, age, now)
		case limitTold:
			t.hearLimited(i, age, now)
		case backoffTold:
			t.hearBackoff(i, time.Duration(e[4])*backoffUnit, now)
		default:
			t.hear(i, observation{at: now - age, load: e[5]}, now)
		}
	}
}

// hear takes up one observation that is newer than what is known. The caller holds
// the lock.
func (t *Table) hear(index int32, o observation, now time.Duration) {
	u := t.state(index)
	v := &t.routing.Backends[index]
	if o.at <= u.observed.at || now-o.at >= observedFor {
		return
	}
	if o.load != unreachable {
		u.observed = o
		u.reportHeard(o, v.Slots)
		return
	}
	if u.failures == 0 && o.at > u.answeredAt && t.mayDoubt(v.Service) {
		u.observed = o
		u.doubt(now)
		t.tell(v.Name, u.failures, 0)
	}
}

// reportHeard takes up the load that another instance was told.
func (u *backend) reportHeard(o observation, slots int) {
	if o.at > u.reportedAt {
		u.reported = float64(o.load)
		u.reportedAt = o.at
		u.ownAtReport = u.working()
	}
}

// doubt lets the backend server get nothing until a connection to it was opened.
func (u *backend) doubt(now time.Duration) {
	u.failures = 1
	u.suspended = now
	u.reached = false
	u.pool.CloseIdle() // they may lead to a backend server that is gone
}

// mayDoubt reports whether one more backend server of a service may be doubted on the
// word of others. The caller holds the lock.
func (t *Table) mayDoubt(service int32) bool {
	one := 1 / float64(len(t.routing.Services[service].Backends))
	return t.failing(service)+one <= mostDoubted
}

// failing returns the share of the backend servers of a service that fail. The caller
// holds the lock.
func (t *Table) failing(service int32) float64 {
	s := &t.routing.Services[service]
	n := 0
	for _, i := range s.Backends {
		if u := t.states[i]; u != nil && u.failures > 0 {
			n++
		}
	}
	return float64(n) / float64(max(1, len(s.Backends)))
}

// indexByHash returns the backend servers of a routing by the bytes of the hash that
// observations carry.
func indexByHash(r *version.Routing) map[uint32]int32 {
	out := make(map[uint32]int32, len(r.Backends))
	for i := range r.Backends {
		out[uint32(r.Backends[i].IncarnationHash)] = int32(i)
	}
	return out
}
