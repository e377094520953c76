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

// Instances gossip what they observe of backend servers. In a large fleet an instance sends about
// one request a minute to each backend server, so that most of what it knows of them comes from
// other instances.
const (
	// observationTTL is how long an observation is gossiped. It reaches a region of 100 in about
	// 1.5 s.
	observationTTL = 3 * time.Second
	// observationUnit is the unit of the age of an observation.
	observationUnit = 25 * time.Millisecond
	// observationBytes is the size of an entry: four bytes that identify the incarnation of the
	// backend server, one for the age, one for the load.
	observationBytes = 6
	// Values of the load byte with a special meaning. loadUnreachable: the backend server could
	// not be reached or lost consecutive responses. loadLeaving: it announced that it is leaving.
	// loadBackoff: it requested a backoff, and the age byte holds the remaining time. loadLimited:
	// it names a rate limit. Loads are at most maxLoad.
	loadUnreachable = 0xff
	loadLeaving     = 0xfe
	loadBackoff     = 0xfd
	loadLimited     = 0xfc
	maxLoad         = loadLimited - 1
	// maxSuspectShare is the largest share of a service's backend servers that may be suspended
	// because of gossip. If more seem to fail, the links of the reporting instances may be at
	// fault.
	maxSuspectShare = 1.0 / 3
	// maxProbes bounds the suspended backend servers that are probed at a time, besides those that
	// a request would go to.
	maxProbes = 4
)

// observation is what an instance observed of a backend server.
type observation struct {
	at   time.Duration // when it was made; zero: never
	load byte          // requests running or queued, or loadUnreachable
}

// observeResponse records a response to this instance, with its load report if it has one.
func (u *backend) observeResponse(r *Report, now time.Duration) {
	u.observed = observation{at: now}
	if r != nil {
		u.observed.load = byte(min(r.Running+r.Waiting, maxLoad))
	}
}

// shouldAnnounce reports whether to gossip the observation: the backend server could not be
// reached, or has no free slot.
func (o observation) shouldAnnounce(slots int, now time.Duration) bool {
	return o.at != 0 && now-o.at < observationTTL && (o.load == loadUnreachable || int(o.load) >= slots)
}

// Observations returns the gossip about backend servers, the newest first, in at most size bytes.
func (t *Table) Observations(size int) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.routing == nil {
		return nil
	}
	now := t.Now()
	var announced []int32
	for i, u := range t.states {
		v := &t.routing.Backends[i]
		if u == nil || !u.observed.shouldAnnounce(v.Slots, now) {
			continue
		}
		if u.observed.load == loadUnreachable && (t.reach.contactAt <= u.observed.at || t.failingShare(v.Service) > maxSuspectShare) {
			continue // the links of this instance may be at fault
		}
		announced = append(announced, int32(i))
	}
	slices.SortFunc(announced, func(a, b int32) int { return cmp.Compare(t.states[b].observed.at, t.states[a].observed.at) })
	out := t.encodeNotices(size/2, now)
	for _, i := range announced[:min(len(announced), (size-len(out))/observationBytes)] {
		o := t.states[i].observed
		out = t.appendEntry(out, i, byte((now-o.at)/observationUnit), o.load)
	}
	return out
}

// appendEntry appends an entry for a backend server: a time, whose meaning depends on the load
// byte, and the load byte.
func (t *Table) appendEntry(out []byte, index int32, units, load byte) []byte {
	out = binary.LittleEndian.AppendUint32(out, uint32(t.routing.Backends[index].IncarnationHash))
	return append(out, units, load)
}

// encodeNotices returns the entries for notices and rate limits in at most size bytes, a random
// selection if there are more. The caller holds the lock.
func (t *Table) encodeNotices(size int, now time.Duration) (out []byte) {
	var announced []int32
	for i, u := range t.states {
		if u == nil {
			continue
		}
		_, limited := t.limitAgeUnits(int32(i), now)
		if limited || u.notices != nil && u.notices.shouldAnnounce(t.routing.Backends[i].Leaving, now) {
			announced = append(announced, int32(i))
		}
	}
	if len(announced)*observationBytes > size {
		rand.Shuffle(len(announced), func(i, j int) { announced[i], announced[j] = announced[j], announced[i] })
	}
	fits := func() bool { return len(out)+observationBytes <= size }
	for _, i := range announced {
		if units, limited := t.limitAgeUnits(i, now); limited && fits() {
			out = t.appendEntry(out, i, units, loadLimited)
		}
		n := t.states[i].notices
		rowLeaving := t.routing.Backends[i].Leaving
		if n == nil || !n.shouldAnnounce(rowLeaving, now) || !fits() {
			continue
		}
		if n.leaving.shouldAnnounce(rowLeaving, now) {
			out = t.appendEntry(out, i, n.leaving.ageUnits(now), loadLeaving)
		} else {
			out = t.appendEntry(out, i, n.backoff.remainingUnits(now), loadBackoff)
		}
	}
	return out
}

// shouldAnnounce reports whether to gossip the notices. Of a backend server that is leaving and
// requested a backoff only the former is announced.
func (n *noticeState) shouldAnnounce(rowLeaving bool, now time.Duration) bool {
	return n.leaving.shouldAnnounce(rowLeaving, now) || n.backoff.remainingUnits(now) > 0
}

// ApplyObservations applies the gossip of another instance.
func (t *Table) ApplyObservations(text []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.routing == nil {
		return
	}
	now := t.Now()
	if t.byHash == nil {
		t.byHash = indexByHash(t.routing)
	}
	complete := len(text) - len(text)%observationBytes
	for e := range slices.Chunk(text[:complete], observationBytes) {
		i, known := t.byHash[binary.LittleEndian.Uint32(e)]
		if !known {
			continue
		}
		age := time.Duration(e[4]) * observationUnit
		switch e[5] {
		case loadLeaving:
			t.applyLeaving(i, age, now)
		case loadLimited:
			t.applyLimited(i, age, now)
		case loadBackoff:
			t.applyBackoff(i, time.Duration(e[4])*backoffUnit, now)
		default:
			t.applyObservation(i, observation{at: now - age, load: e[5]}, now)
		}
	}
}

// applyObservation applies an observation if it is newer than what is known. The caller holds the
// lock.
func (t *Table) applyObservation(index int32, o observation, now time.Duration) {
	u := t.state(index)
	v := &t.routing.Backends[index]
	if o.at <= u.observed.at || now-o.at >= observationTTL {
		return
	}
	if o.load != loadUnreachable {
		u.observed = o
		u.recordGossipLoad(o, v.Slots)
		return
	}
	if u.failures == 0 && o.at > u.answeredAt && t.maySuspect(v.Service) {
		u.observed = o
		u.suspect(now)
		t.reportSuspension(v.Name, u.failures, 0)
	}
}

// recordGossipLoad records the load that another instance observed.
func (u *backend) recordGossipLoad(o observation, slots int) {
	if o.at > u.reportedAt {
		u.reported = float64(o.load)
		u.reportedAt = o.at
		u.ownAtReport = u.ownLoad()
	}
}

// suspect stops requests to the backend server until a connection to it was opened.
func (u *backend) suspect(now time.Duration) {
	u.failures = 1
	u.suspendedUntil = now
	u.probed = false
	u.pool.CloseIdle() // they may lead to a process that is gone
}

// maySuspect reports whether one more backend server of a service may be suspended because of
// gossip. The caller holds the lock.
func (t *Table) maySuspect(service int32) bool {
	share := 1 / float64(len(t.routing.Services[service].Backends))
	return t.failingShare(service)+share <= maxSuspectShare
}

// failingShare returns the share of a service's backend servers that are failing. The caller holds
// the lock.
func (t *Table) failingShare(service int32) float64 {
	s := &t.routing.Services[service]
	failing := 0
	for _, i := range s.Backends {
		if u := t.states[i]; u != nil && u.failures > 0 {
			failing++
		}
	}
	return float64(failing) / float64(max(1, len(s.Backends)))
}

// indexByHash maps the part of the hash that gossip carries to the index of the backend server.
func indexByHash(r *version.Routing) map[uint32]int32 {
	out := make(map[uint32]int32, len(r.Backends))
	for i := range r.Backends {
		out[uint32(r.Backends[i].IncarnationHash)] = int32(i)
	}
	return out
}
