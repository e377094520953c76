// SPDX-License-Identifier: MIT

package cluster

import (
	"cmp"
	"slices"
	"time"
)

// Evidence is what instances of a large region tell each other of those whose life was in
// doubt, or that leave. Of all others nothing is told, so that it does not grow with the
// region.

// verdict is what an entry says of an instance.
type status byte

const (
	statusLive    status = iota // it was heard
	statusDown                  // nobody who asked got an answer
	statusLeaving               // it said that it leaves
)

const (
	// toldFor is how long evidence is told on: in that time it reaches all, though datagrams are
	// lost.
	reportFor = 3 * time.Second
	// mostEvidence bounds the entries of a datagram.
	maxStatuses = 48
	// forwardTo is the number of instances that new evidence is told at once: an epidemic in
	// which each tells four reaches a region of 1,000 in some six steps.
	forwardFanout = 4
	// forwardTicks is in how many ticks it is told so: where a third has just died, all four may
	// be among them.
	forwardTicks = 2
)

// entry is one entry of a datagram's Evidence: three bytes of the hash of the name, one of the
// incarnation, the verdict, and the age in newsUnit.
type statusEntry [6]byte

// evidence is the newest that is known of an instance.
type statusReport struct {
	status         status
	observedAt     time.Duration // when it was so
	receivedAt     time.Duration // when it was heard here; zero: there is none
	forwardedTicks int           // ticks in which it was told on at once
}

// entry returns the evidence as it is told.
func (ps *peerState) statusEntry(now time.Duration) statusEntry {
	age := min(max(0, (now-ps.report.observedAt+ageUnit-1)/ageUnit), 0xff)
	return statusEntry{byte(ps.hash), byte(ps.hash >> 8), byte(ps.hash >> 16), incarnationByte(ps.Incarnation), byte(ps.report.status), byte(age)}
}

// takeUp takes evidence up unless something newer is known, and reports whether it says
// anything new. The caller holds the lock.
func (m *Members) applyStatus(ps *peerState, v status, at, now time.Duration) bool {
	switch v {
	case statusLive:
		if at <= ps.lastSeen {
			return false
		}
		wasLost := ps.down()
		ps.lastSeen = at
		if !wasLost || ps.down() {
			return false
		}
	case statusDown:
		if at <= ps.lastSeen || at <= ps.downAt {
			m.refuteDown(ps, now)
			return false
		}
		again := ps.down()
		ps.downAt = at
		m.suspectedAt = now
		if again {
			return false
		}
	case statusLeaving:
		if ps.Leaving {
			return false
		}
		ps.Leaving = true
	default:
		return false // of a newer release
	}
	m.queueReport(ps, v, at, now)
	return true
}

// refute lets others know that an instance lives that they take for lost. The caller holds the
// lock.
func (m *Members) refuteDown(ps *peerState, now time.Duration) {
	if !ps.down() && now-ps.report.receivedAt > reportFor {
		m.queueReport(ps, statusLive, ps.lastSeen, now)
	}
}

// note lets evidence be told. The caller holds the lock.
func (m *Members) queueReport(ps *peerState, v status, at, now time.Duration) {
	ps.report = statusReport{status: v, observedAt: at, receivedAt: now}
	if m.pendingReports == nil {
		m.pendingReports = make(map[*peerState]struct{})
	}
	m.pendingReports[ps] = struct{}{}
}

// noteHeard notes that an instance spoke; one that was taken for lost is told of. The caller
// holds the lock.
func (m *Members) markSeen(ps *peerState, now time.Duration) {
	if ps.down() && m.usesProbing() {
		m.applyStatus(ps, statusLive, now, now)
	}
	ps.lastSeen = now
}

// lost reports whether others found that an instance does not answer, and nothing was heard of
// it since.
func (ps *peerState) down() bool { return ps.downAt > ps.lastSeen }

// tellEvidence returns what to tell now, any of it if there is more than a datagram holds; fresh
// lets only what was not told on yet be told. The caller holds the lock.
func (m *Members) statusEntries(now time.Duration, fresh bool) []byte {
	var tell []*peerState
	for ps := range m.pendingReports {
		switch {
		case now-ps.report.receivedAt > reportFor:
			delete(m.pendingReports, ps)
		case !fresh || ps.report.forwardedTicks < forwardTicks:
			tell = append(tell, ps)
		}
	}
	slices.SortFunc(tell, func(a, b *peerState) int { return cmp.Compare(a.Name, b.Name) }) // so that a model repeats
	tell = sample(m.shuffle, tell, maxStatuses)
	out := make([]byte, 0, len(statusEntry{})*len(tell))
	for _, ps := range tell {
		if fresh {
			ps.report.forwardedTicks++
		}
		e := ps.statusEntry(now)
		out = append(out, e[:]...)
	}
	return out
}

// hearEvidence takes up what another instance told. The caller holds the lock.
func (m *Members) mergeStatuses(text []byte, now time.Duration) {
	if len(text) == 0 {
		return
	}
	entries := make(map[[4]byte]statusEntry, len(text)/len(statusEntry{}))
	for e := range slices.Chunk(text, len(statusEntry{})) {
		entries[[4]byte(e[:4])] = statusEntry(e)
	}
	for _, ps := range m.sorted {
		id := [4]byte{byte(ps.hash), byte(ps.hash >> 8), byte(ps.hash >> 16), incarnationByte(ps.Incarnation)}
		if e, ok := entries[id]; ok {
			m.applyStatus(ps, status(e[4]), now-time.Duration(e[5])*ageUnit, now)
		}
	}
}
