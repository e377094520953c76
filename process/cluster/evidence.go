// SPDX-License-Identifier: MIT

package cluster

import (
	"cmp"
	"slices"
	"time"
)

// In a large region instances exchange status reports only about instances that were suspected or
// are leaving, so that the traffic does not grow with the region.

// status is the state of an instance in a status report.
type status byte

const (
	statusLive    status = iota // it sent a datagram or responded
	statusDown                  // it responded to none of the probers
	statusLeaving               // it announced that it leaves
)

const (
	// reportFor is how long a status report is gossiped: long enough to reach all instances
	// despite lost datagrams.
	reportFor = 3 * time.Second
	// maxStatuses bounds the status entries in a datagram.
	maxStatuses = 48
	// forwardFanout is the number of instances that a new report is forwarded to at once: an
	// epidemic with a fanout of four reaches a region of 1,000 in some six steps.
	forwardFanout = 4
	// forwardTicks is the number of ticks in which it is forwarded: when a third of the region has
	// just gone down, all four recipients of one tick may be among them.
	forwardTicks = 2
)

// statusEntry is one entry of a datagram's Statuses: three bytes of the hash of the name, one of the
// incarnation, the status, and the age in ageUnit.
type statusEntry [6]byte

// statusReport is the newest status report about an instance.
type statusReport struct {
	status         status
	observedAt     time.Duration // when the status was observed
	receivedAt     time.Duration // when the report reached this instance; zero: there is none
	forwardedTicks int           // number of ticks in which it was forwarded at once
}

// statusEntry returns the report in its encoded form.
func (ps *peerState) statusEntry(now time.Duration) statusEntry {
	age := min(max(0, (now-ps.report.observedAt+ageUnit-1)/ageUnit), 0xff)
	return statusEntry{byte(ps.hash), byte(ps.hash >> 8), byte(ps.hash >> 16), incarnationByte(ps.Incarnation), byte(ps.report.status), byte(age)}
}

// applyStatus applies a status report unless something newer is known, and reports whether it
// changed anything. The caller holds the lock.
func (m *Members) applyStatus(ps *peerState, s status, at, now time.Duration) bool {
	switch s {
	case statusLive:
		if at <= ps.lastSeen {
			return false
		}
		wasDown := ps.down()
		ps.lastSeen = at
		if !wasDown || ps.down() {
			return false
		}
	case statusDown:
		if at <= ps.lastSeen || at <= ps.downAt {
			m.refuteDown(ps, now)
			return false
		}
		wasDown := ps.down()
		ps.downAt = at
		m.suspectedAt = now
		if wasDown {
			return false
		}
	case statusLeaving:
		if ps.Leaving {
			return false
		}
		ps.Leaving = true
	default:
		return false // a status added by a newer release
	}
	m.queueReport(ps, s, at, now)
	return true
}

// refuteDown queues a live report about an instance that others still report as down. The caller
// holds the lock.
func (m *Members) refuteDown(ps *peerState, now time.Duration) {
	if !ps.down() && now-ps.report.receivedAt > reportFor {
		m.queueReport(ps, statusLive, ps.lastSeen, now)
	}
}

// queueReport queues a report to be gossiped. The caller holds the lock.
func (m *Members) queueReport(ps *peerState, s status, at, now time.Duration) {
	ps.report = statusReport{status: s, observedAt: at, receivedAt: now}
	if m.pendingReports == nil {
		m.pendingReports = make(map[*peerState]struct{})
	}
	m.pendingReports[ps] = struct{}{}
}

// markSeen records that an instance has just been found live, and queues a report if it was down.
// The caller holds the lock.
func (m *Members) markSeen(ps *peerState, now time.Duration) {
	if ps.down() && m.usesProbing() {
		m.applyStatus(ps, statusLive, now, now)
	}
	ps.lastSeen = now
}

// down reports whether the instance was found to be down and has not been seen since.
func (ps *peerState) down() bool { return ps.downAt > ps.lastSeen }

// statusEntries returns the encoded reports to send, a random sample if a datagram cannot hold all.
// With onlyNew it returns only reports that still have to be forwarded at once. The caller holds the
// lock.
func (m *Members) statusEntries(now time.Duration, onlyNew bool) []byte {
	var reported []*peerState
	for ps := range m.pendingReports {
		switch {
		case now-ps.report.receivedAt > reportFor:
			delete(m.pendingReports, ps)
		case !onlyNew || ps.report.forwardedTicks < forwardTicks:
			reported = append(reported, ps)
		}
	}
	slices.SortFunc(reported, func(a, b *peerState) int { return cmp.Compare(a.Name, b.Name) }) // keeps simulations reproducible
	reported = sample(m.shuffle, reported, maxStatuses)
	out := make([]byte, 0, len(statusEntry{})*len(reported))
	for _, ps := range reported {
		if onlyNew {
			ps.report.forwardedTicks++
		}
		e := ps.statusEntry(now)
		out = append(out, e[:]...)
	}
	return out
}

// mergeStatuses applies the status entries of another instance. The caller holds the lock.
func (m *Members) mergeStatuses(data []byte, now time.Duration) {
	if len(data) == 0 {
		return
	}
	entries := make(map[[4]byte]statusEntry, len(data)/len(statusEntry{}))
	for e := range slices.Chunk(data, len(statusEntry{})) {
		entries[[4]byte(e[:4])] = statusEntry(e)
	}
	for _, ps := range m.sorted {
		id := [4]byte{byte(ps.hash), byte(ps.hash >> 8), byte(ps.hash >> 16), incarnationByte(ps.Incarnation)}
		if e, ok := entries[id]; ok {
			m.applyStatus(ps, status(e[4]), now-time.Duration(e[5])*ageUnit, now)
		}
	}
}
