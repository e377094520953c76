// SPDX-License-Identifier: MIT

package cluster

import "time"

// In a large region each instance probes a few others per heartbeat, all of them in turn. If one
// does not respond, it requests that several others probe it as well (indirect probes), and
// declares it down only if several of them report no response and none got one: probing as in Das,
// Gupta, Motivala, "SWIM: Scalable weakly-consistent infection-style process group membership
// protocol" (2002), with the local health awareness of Dadgar, Phillips, Currey, "Lifeguard: Local
// health awareness for more accurate failure detection" (2018): an instance that was itself stalled
// discards its findings. So neither the cost nor the detection time depends on the size of the
// region.

const (
	// minProbedRegion is the number of other instances in a region from which it uses probing: a
	// datagram cannot hold liveness entries of more.
	minProbedRegion = maxLiveness + 1
	// probesPerHeartbeat is the number of instances probed per heartbeat, and probesWhileSuspect
	// that for suspectFor after one was suspected or found to be down: others may be down, too.
	probesPerHeartbeat = 2
	probesWhileSuspect = 6
	suspectFor         = 2 * time.Second
	// ProbeCheckInterval is the interval at which pending probes are checked.
	ProbeCheckInterval = 100 * time.Millisecond
	// After reprobeAfter without a response the probe is sent again, and after directProbeTimeout
	// indirect probes are requested. Those give up after indirectProbeTimeout, and at probeTimeout
	// all results are evaluated.
	reprobeAfter         = 150 * time.Millisecond
	directProbeTimeout   = 300 * time.Millisecond
	indirectProbeTimeout = 350 * time.Millisecond
	probeTimeout         = directProbeTimeout + indirectProbeTimeout + ProbeCheckInterval + ProbeCheckInterval/2
	// indirectProbers is the number of instances that are sent a request for an indirect probe, and
	// minFailedProbers how many of them must report no response for the instance to be declared
	// down.
	indirectProbers  = 6
	minFailedProbers = 3
	// stallThreshold is the delay of a tick from which all pending probes are dropped.
	stallThreshold = 2 * ProbeCheckInterval
	// callFailureFor is how long an instance does not count as live after a call to it failed,
	// unless it is found to be down.
	callFailureFor = 2 * time.Second
	// isolatedAfter is how long no message must have arrived from the whole region before an
	// instance treats all others in it as down.
	isolatedAfter = probedTimeout
	// maxIndirectChecks bounds the concurrent indirect probes on behalf of others.
	maxIndirectChecks = 64
)

// probe is a probe sent to an instance.
type probe struct {
	peer     *peerState
	sentAt   time.Duration
	retried  bool // the probe was sent again
	indirect bool // indirect probes were requested
	failures int  // number of indirect probers that reported no response
}

// indirectCheck is a probe on behalf of another instance.
type indirectCheck struct {
	peer      *peerState
	requester string // its address
	startedAt time.Duration
	retried   bool // the probe was sent again
}

// outgoing is a datagram and the address to send it to.
type outgoing struct {
	to       string
	datagram datagram
}

// usesProbing reports whether the own region uses probing. The caller holds the lock.
func (m *Members) usesProbing() bool { return m.regionPeers >= minProbedRegion }

// UsesProbing reports whether the own region uses probing.
func (m *Members) UsesProbing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.countRegionPeers()
	return m.usesProbing()
}

// countRegionPeers updates the number of other instances in the own region. The caller holds the lock.
func (m *Members) countRegionPeers() {
	m.regionPeers = 0
	for _, ps := range m.sorted {
		if ps.Region == m.self.Region && !ps.Leaving {
			m.regionPeers++
		}
	}
}

// probeDatagrams returns probes of the next few instances of the region, those with failed calls first,
// and of one that is down, since it may have recovered.
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

// randomDown returns a random instance of the region that is down, or nil. The caller holds the lock.
func (m *Members) randomDown() *peerState {
	var down []*peerState
	for _, ps := range m.sorted {
		if ps.Region == m.self.Region && ps.down() && !ps.Leaving {
			down = append(down, ps)
		}
	}
	if len(down) == 0 {
		return nil
	}
	return sample(m.shuffle, down, 1)[0]
}

// nextToProbe returns the next instance to probe, or nil. The caller holds the lock.
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

// respond returns the datagrams to send in response to one: a response to a probe, and the indirect
// probe that the sender requested.
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

// statusDatagram returns a response to a probe, with the pending status entries. The caller holds the
// lock.
func (m *Members) statusDatagram(now time.Duration) datagram {
	return datagram{Self: m.selfNow(), Statuses: m.statusEntries(now, false)}
}

// probeDatagram returns a probe of an instance. The caller holds the lock.
func (m *Members) probeDatagram(ps *peerState, now time.Duration) outgoing {
	d := datagram{Self: m.selfNow(), Probe: true}
	if ps.down() {
		e := ps.statusEntry(now)
		d.Statuses = e[:]
	}
	return outgoing{ps.Peer, d}
}

// findByAddress returns the instance with a peer address, or nil. The caller holds the lock.
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

// noteProbeFailed counts an indirect probe that got no response. The caller holds the lock.
func (m *Members) noteProbeFailed(address string) {
	for _, p := range m.probes {
		if p.peer.Peer == address && p.indirect {
			p.failures++
		}
	}
}

// hasPendingWork reports whether advance is to be called after a ProbeCheckInterval.
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

// advance evaluates pending probes and checks, and returns the datagrams to send. Late says that the
// call was so late that responses may have arrived and not been read yet.
func (m *Members) advance(late bool) []outgoing {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	if late {
		m.probes, m.checks = nil, nil
	}
	out := m.advanceProbes(now)
	out = append(out, m.advanceChecks(now)...)
	if data := m.statusEntries(now, true); len(data) > 0 {
		d := datagram{Self: m.selfNow(), Statuses: data}
		for _, ps := range m.sampleLive(forwardFanout, nil, now) {
			out = append(out, outgoing{ps.Peer, d})
		}
	}
	return out
}

func (m *Members) advanceProbes(now time.Duration) (out []outgoing) {
	pending := m.probes[:0]
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
			for _, helper := range m.sampleLive(indirectProbers, p.peer, now) {
				out = append(out, outgoing{helper.Peer, datagram{Self: m.selfNow(), IndirectProbe: p.peer.Peer}})
			}
		case now-p.sentAt >= probeTimeout:
			if p.failures >= minFailedProbers && !p.peer.down() {
				// Datagrams sent before the direct probe timed out may still have arrived after the first probe.
				m.applyStatus(p.peer, statusDown, p.sentAt+directProbeTimeout, now)
			}
			continue
		}
		pending = append(pending, p)
	}
	m.probes = pending
	return out
}

func (m *Members) advanceChecks(now time.Duration) (out []outgoing) {
	pending := m.checks[:0]
	for _, c := range m.checks {
		switch {
		case c.peer.lastSeen >= c.startedAt:
			live := *c.peer
			live.report = statusReport{status: statusLive, observedAt: c.peer.lastSeen}
			e := live.statusEntry(now)
			out = append(out, outgoing{c.requester, datagram{Self: m.selfNow(), Statuses: e[:]}})
			continue
		case now-c.startedAt >= indirectProbeTimeout:
			out = append(out, outgoing{c.requester, datagram{Self: m.selfNow(), ProbeFailed: c.peer.Peer}})
			continue
		case !c.retried && now-c.startedAt >= reprobeAfter:
			c.retried = true
			out = append(out, m.probeDatagram(c.peer, now))
		}
		pending = append(pending, c)
	}
	m.checks = pending
	return out
}

// sampleLive returns up to n random live instances of the own region, except one. The caller holds
// the lock.
func (m *Members) sampleLive(n int, except *peerState, now time.Duration) []*peerState {
	var live []*peerState
	for _, ps := range m.sorted {
		if ps != except && ps.Region == m.self.Region && m.live(ps, now) {
			live = append(live, ps)
		}
	}
	return sample(m.shuffle, live, n)
}

// isolated reports whether the whole region has been unresponsive for so long that this instance must be
// the one that is partitioned. The caller holds the lock.
func (m *Members) isolated(now time.Duration) bool {
	return m.regionLastSeen != 0 && now-m.regionLastSeen > isolatedAfter
}
