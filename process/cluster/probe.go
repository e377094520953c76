// SPDX-License-Identifier: MIT

package cluster

import "time"

// In a large region an instance asks few others at each beat whether they live, all of them in
// turn. If one does not answer, it asks some more to ask as well, and only if several got no
// answer either, and none got one, does it count as lost: probing as in Das, Gupta,
// Motivala, "SWIM: Scalable weakly-consistent infection-style process group membership protocol"
// (2002), with the caution of Dadgar, Phillips, Currey, "Lifeguard: Local health awareness for
// more accurate failure detection" (2018): who stood still himself has no say. So neither
// the cost nor how old news is depends on the size of the region.

const (
	// probedFrom is the number of other instances in a region from which they are probed: a
	// datagram does not hold the news of more.
	minProbedRegion = maxLiveness + 1
	// probesABeat is the number of instances that are asked at each beat, and probesInDoubt that
	// for doubtFor after one did not answer twice, or was found to be lost: others may be, too.
	probesPerHeartbeat = 2
	probesWhileSuspect = 6
	suspectFor         = 2 * time.Second
	// Tick is the pause between two looks at the answers.
	ProbeCheckInterval = 100 * time.Millisecond
	// askAgain is how long an answer is waited for until the question is asked again, and
	// directWait until others are asked to ask; these give up after checkWait, and probeWait is
	// when the answers of all are counted.
	reprobeAfter         = 150 * time.Millisecond
	directProbeTimeout   = 300 * time.Millisecond
	indirectProbeTimeout = 350 * time.Millisecond
	probeTimeout         = directProbeTimeout + indirectProbeTimeout + ProbeCheckInterval + ProbeCheckInterval/2
	// helpers is the number of others that are asked to ask, and mustMiss how many of them must
	// have got no answer.
	indirectProbers  = 6
	minFailedProbers = 3
	// stoodStill is how late a tick must be for all that is under way to be dropped.
	stallThreshold = 2 * ProbeCheckInterval
	// failedFor is how long an instance counts as not alive after a call to it failed, unless it
	// is found to be lost.
	callFailureFor = 2 * time.Second
	// aloneAfter is the silence of all others after which an instance takes them for lost.
	isolatedAfter = probedTimeout
	// mostChecks bounds what an instance asks for others at a time.
	maxIndirectChecks = 64
)

// probe is an instance that was asked whether it lives.
type probe struct {
	peer     *peerState
	sentAt   time.Duration
	retried  bool // it was asked again
	indirect bool // others were asked to ask
	failures int  // of them that got no answer
}

// check is an instance that is asked for another one.
type indirectCheck struct {
	peer      *peerState
	requester string // address of who wants to know
	startedAt time.Duration
	retried   bool // it was asked again
}

// outgoing is a datagram to send to an address.
type outgoing struct {
	to       string
	datagram datagram
}

// probes reports whether the instances of the own region are probed. The caller holds the lock.
func (m *Members) usesProbing() bool { return m.regionPeers >= minProbedRegion }

// Probes reports whether the instances of the own region are probed, so that Tick is to be called.
func (m *Members) UsesProbing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.countNear()
	return m.usesProbing()
}

// countNear counts the other instances of the own region. The caller holds the lock.
func (m *Members) countNear() {
	m.regionPeers = 0
	for _, ps := range m.sorted {
		if ps.Region == m.self.Region && !ps.Leaving {
			m.regionPeers++
		}
	}
}

// probeSome returns the datagrams that ask the next few instances of the region whether they
// live, and one of those that are lost: it may have come back. Those to which a call failed come
// first.
func (m *Members) probeDatagrams(d datagram) []outgoing {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	d.Probe = true
	var out []outgoing
	n := probesPerHeartbeat
	if m.suspectedAt != 0 && now-m.suspectedAt < suspectFor {
		n = probesWhileSuspect
	}
	for range n {
		ps := m.nextToProbe()
		if ps == nil {
			break
		}
		m.probes = append(m.probes, &probe{peer: ps, sentAt: now})
		out = append(out, outgoing{ps.Peer, d})
	}
	if ps := m.randomDown(); ps != nil {
		out = append(out, m.probeDatagram(ps, now))
	}
	return out
}

// anyLost returns one of the lost instances of the region; nil: there is none. The caller holds
// the lock.
func (m *Members) randomDown() *peerState {
	var lost []*peerState
	for _, ps := range m.sorted {
		if ps.Region == m.self.Region && ps.down() && !ps.Leaving {
			lost = append(lost, ps)
		}
	}
	if len(lost) == 0 {
		return nil
	}
	return sample(m.shuffle, lost, 1)[0]
}

// nextProbed returns the instance whose turn it is; nil: there is none. The caller holds the lock.
func (m *Members) nextToProbe() *peerState {
	for range 2 {
		for len(m.probeQueue) > 0 {
			ps := m.probeQueue[len(m.probeQueue)-1]
			m.probeQueue = m.probeQueue[:len(m.probeQueue)-1]
			if m.others[ps.Name] == ps && !ps.Leaving {
				return ps
			}
		}
		for _, ps := range m.sorted {
			if ps.Region == m.self.Region && !ps.Leaving {
				m.probeQueue = append(m.probeQueue, ps)
			}
		}
		m.shuffle(len(m.probeQueue), func(i, j int) { m.probeQueue[i], m.probeQueue[j] = m.probeQueue[j], m.probeQueue[i] })
	}
	return nil
}

// respond returns the answers to a datagram: that this instance lives, a question to one that
// the sender can't reach.
func (m *Members) respond(d *datagram) (out []outgoing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	if d.Probe {
		out = append(out, outgoing{d.Self.Peer, m.statusDatagram(now)})
	}
	if d.ProbeFailed != "" {
		m.noteProbeFailed(d.ProbeFailed)
	}
	if ps := m.findByAddress(d.IndirectProbe); ps != nil && len(m.checks) < maxIndirectChecks {
		m.checks = append(m.checks, &indirectCheck{peer: ps, requester: d.Self.Peer, startedAt: now})
		out = append(out, m.probeDatagram(ps, now))
	}
	return out
}

// introduce returns a datagram that says that this instance lives, and what it has to tell. The
// caller holds the lock.
func (m *Members) statusDatagram(now time.Duration) datagram {
	return datagram{Self: m.selfNow(), Statuses: m.statusEntries(now, false)}
}

// ask returns a question whether an instance lives. The caller holds the lock.
func (m *Members) probeDatagram(ps *peerState, now time.Duration) outgoing {
	d := datagram{Self: m.selfNow(), Probe: true}
	if ps.down() {
		e := ps.statusEntry(now)
		d.Statuses = e[:]
	}
	return outgoing{ps.Peer, d}
}

// byPeer returns the instance with an address for others; nil: none is known. The caller holds
// the lock.
func (m *Members) findByAddress(address string) *peerState {
	if address == "" {
		return nil
	}
	for _, ps := range m.sorted {
		if ps.Peer == address {
			return ps
		}
	}
	return nil
}

// noteMissed notes that a helper got no answer. The caller holds the lock.
func (m *Members) noteProbeFailed(address string) {
	for _, p := range m.probes {
		if p.peer.Peer == address && p.indirect {
			p.failures++
		}
	}
}

// pending reports whether there is something to look at: tick is then to be called after a Tick.
func (m *Members) hasPendingWork() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.probes) > 0 || len(m.checks) > 0 {
		return true
	}
	for ps := range m.pendingReports {
		if ps.report.forwardedTicks < forwardTicks {
			return true
		}
	}
	return false
}

// tick looks at the answers that have come, and returns what to send. Late says that it was called
// so late that answers may wait unread.
func (m *Members) advance(late bool) []outgoing {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	if late {
		m.probes, m.checks = nil, nil
	}
	out := m.advanceProbes(now)
	out = append(out, m.advanceChecks(now)...)
	if text := m.statusEntries(now, true); len(text) > 0 {
		d := datagram{Self: m.selfNow(), Statuses: text}
		for _, ps := range m.sampleLive(forwardFanout, nil, now) {
			out = append(out, outgoing{ps.Peer, d})
		}
	}
	return out
}

func (m *Members) advanceProbes(now time.Duration) (out []outgoing) {
	open := m.probes[:0]
	for _, p := range m.probes {
		switch {
		case p.peer.lastSeen >= p.sentAt:
			continue
		case !p.retried && now-p.sentAt >= reprobeAfter:
			p.retried = true
			out = append(out, m.probeDatagram(p.peer, now))
		case !p.indirect && now-p.sentAt >= directProbeTimeout:
			p.indirect = true
			m.suspectedAt = now
			out = append(out, m.probeDatagram(p.peer, now))
			for _, h := range m.sampleLive(indirectProbers, p.peer, now) {
				out = append(out, outgoing{h.Peer, datagram{Self: m.selfNow(), IndirectProbe: p.peer.Peer}})
			}
		case now-p.sentAt >= probeTimeout:
			if p.failures >= minFailedProbers && !p.peer.down() {
				// What it sent before it was last asked may still have come after the first question.
				m.applyStatus(p.peer, statusDown, p.sentAt+directProbeTimeout, now)
			}
			continue
		}
		open = append(open, p)
	}
	m.probes = open
	return out
}

func (m *Members) advanceChecks(now time.Duration) (out []outgoing) {
	open := m.checks[:0]
	for _, c := range m.checks {
		switch {
		case c.peer.lastSeen >= c.startedAt:
			alive := *c.peer
			alive.report = statusReport{status: statusLive, observedAt: c.peer.lastSeen}
			e := alive.statusEntry(now)
			out = append(out, outgoing{c.requester, datagram{Self: m.selfNow(), Statuses: e[:]}})
			continue
		case now-c.startedAt >= indirectProbeTimeout:
			out = append(out, outgoing{c.requester, datagram{Self: m.selfNow(), ProbeFailed: c.peer.Peer}})
			continue
		case !c.retried && now-c.startedAt >= reprobeAfter:
			c.retried = true
			out = append(out, m.probeDatagram(c.peer, now))
		}
		open = append(open, c)
	}
	m.checks = open
	return out
}

// anyLive returns up to n live instances of the own region, any of them but one. The caller holds
// the lock.
func (m *Members) sampleLive(n int, but *peerState, now time.Duration) []*peerState {
	var live []*peerState
	for _, ps := range m.sorted {
		if ps != but && ps.Region == m.self.Region && m.live(ps, now) {
			live = append(live, ps)
		}
	}
	return sample(m.shuffle, live, n)
}

// alone reports whether nobody was heard for so long that this instance must be the one that is
// cut off. The caller holds the lock.
func (m *Members) isolated(now time.Duration) bool {
	return m.regionLastSeen != 0 && now-m.regionLastSeen > isolatedAfter
}
