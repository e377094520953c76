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
	probedFrom = mostNews + 1
	// probesABeat is the number of instances that are asked at each beat, and probesInDoubt that
	// for doubtFor after one did not answer twice, or was found to be lost: others may be, too.
	probesABeat   = 2
	probesInDoubt = 6
	doubtFor      = 2 * time.Second
	// Tick is the pause between two looks at the answers.
	Tick = 100 * time.Millisecond
	// askAgain is how long an answer is waited for until the question is asked again, and
	// directWait until others are asked to ask; these give up after checkWait, and probeWait is
	// when the answers of all are counted.
	askAgain   = 150 * time.Millisecond
	directWait = 300 * time.Millisecond
	checkWait  = 350 * time.Millisecond
	probeWait  = directWait + checkWait + Tick + Tick/2
	// helpers is the number of others that are asked to ask, and mustMiss how many of them must
	// have got no answer.
	helpers  = 6
	mustMiss = 3
	// stoodStill is how late a tick must be for all that is under way to be dropped.
	stoodStill = 2 * Tick
	// failedFor is how long an instance counts as not alive after a call to it failed, unless it
	// is found to be lost.
	failedFor = 2 * time.Second
	// aloneAfter is the silence of all others after which an instance takes them for lost.
	aloneAfter = aliveFar
	// mostChecks bounds what an instance asks for others at a time.
	mostChecks = 64
)

// probe is an instance that was asked whether it lives.
type probe struct {
	k      *known
	at     time.Duration
	again  bool // it was asked again
	helped bool // others were asked to ask
	missed int  // of them that got no answer
}

// check is an instance that is asked for another one.
type check struct {
	k     *known
	from  string // address of who wants to know
	at    time.Duration
	again bool // it was asked again
}

// outgoing is a datagram to send to an address.
type outgoing struct {
	to string
	d  datagram
}

// probes reports whether the instances of the own region are probed. The caller holds the lock.
func (m *Members) probes() bool { return m.near >= probedFrom }

// Probes reports whether the instances of the own region are probed, so that Tick is to be called.
func (m *Members) Probes() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.countNear()
	return m.probes()
}

// countNear counts the other instances of the own region. The caller holds the lock.
func (m *Members) countNear() {
	m.near = 0
	for _, k := range m.order {
		if k.Region == m.self.Region && !k.Leaving {
			m.near++
		}
	}
}

// probeSome returns the datagrams that ask the next few instances of the region whether they
// live, and one of those that are lost: it may have come back. Those to which a call failed come
// first.
func (m *Members) probeSome(d datagram) []outgoing {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	d.Ask = true
	var out []outgoing
	n := probesABeat
	if m.doubtAt != 0 && now-m.doubtAt < doubtFor {
		n = probesInDoubt
	}
	for range n {
		k := m.nextProbed()
		if k == nil {
			break
		}
		m.probing = append(m.probing, &probe{k: k, at: now})
		out = append(out, outgoing{k.Peer, d})
	}
	if k := m.anyLost(); k != nil {
		out = append(out, m.ask(k, now))
	}
	return out
}

// anyLost returns one of the lost instances of the region; nil: there is none. The caller holds
// the lock.
func (m *Members) anyLost() *known {
	var lost []*known
	for _, k := range m.order {
		if k.Region == m.self.Region && k.lost() && !k.Leaving {
			lost = append(lost, k)
		}
	}
	if len(lost) == 0 {
		return nil
	}
	return some(m.shuffle, lost, 1)[0]
}

// nextProbed returns the instance whose turn it is; nil: there is none. The caller holds the lock.
func (m *Members) nextProbed() *known {
	for range 2 {
		for len(m.turns) > 0 {
			k := m.turns[len(m.turns)-1]
			m.turns = m.turns[:len(m.turns)-1]
			if m.others[k.Name] == k && !k.Leaving {
				return k
			}
		}
		for _, k := range m.order {
			if k.Region == m.self.Region && !k.Leaving {
				m.turns = append(m.turns, k)
			}
		}
		m.shuffle(len(m.turns), func(i, j int) { m.turns[i], m.turns[j] = m.turns[j], m.turns[i] })
	}
	return nil
}

// respond returns the answers to a datagram: that this instance lives, a question to one that
// the sender can't reach.
func (m *Members) respond(d *datagram) (out []outgoing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	if d.Ask {
		out = append(out, outgoing{d.Self.Peer, m.introduce(now)})
	}
	if d.Missed != "" {
		m.noteMissed(d.Missed)
	}
	if k := m.byPeer(d.Check); k != nil && len(m.checks) < mostChecks {
		m.checks = append(m.checks, &check{k: k, from: d.Self.Peer, at: now})
		out = append(out, m.ask(k, now))
	}
	return out
}

// introduce returns a datagram that says that this instance lives, and what it has to tell. The
// caller holds the lock.
func (m *Members) introduce(now time.Duration) datagram {
	return datagram{Self: m.selfNow(), Evidence: m.tellEvidence(now, false)}
}

// ask returns a question whether an instance lives. The caller holds the lock.
func (m *Members) ask(k *known, now time.Duration) outgoing {
	d := datagram{Self: m.selfNow(), Ask: true}
	if k.lost() {
		e := k.entry(now)
		d.Evidence = e[:]
	}
	return outgoing{k.Peer, d}
}

// byPeer returns the instance with an address for others; nil: none is known. The caller holds
// the lock.
func (m *Members) byPeer(address string) *known {
	if address == "" {
		return nil
	}
	for _, k := range m.order {
		if k.Peer == address {
			return k
		}
	}
	return nil
}

// noteMissed notes that a helper got no answer. The caller holds the lock.
func (m *Members) noteMissed(address string) {
	for _, p := range m.probing {
		if p.k.Peer == address && p.helped {
			p.missed++
		}
	}
}

// pending reports whether there is something to look at: tick is then to be called after a Tick.
func (m *Members) pending() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.probing) > 0 || len(m.checks) > 0 {
		return true
	}
	for k := range m.doubted {
		if k.evidence.told < forwardTicks {
			return true
		}
	}
	return false
}

// tick looks at the answers that have come, and returns what to send. Late says that it was called
// so late that answers may wait unread.
func (m *Members) tick(late bool) []outgoing {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	if late {
		m.probing, m.checks = nil, nil
	}
	out := m.lookAtProbes(now)
	out = append(out, m.lookAtChecks(now)...)
	if text := m.tellEvidence(now, true); len(text) > 0 {
		d := datagram{Self: m.selfNow(), Evidence: text}
		for _, k := range m.anyLive(forwardTo, nil, now) {
			out = append(out, outgoing{k.Peer, d})
		}
	}
	return out
}

func (m *Members) lookAtProbes(now time.Duration) (out []outgoing) {
	open := m.probing[:0]
	for _, p := range m.probing {
		switch {
		case p.k.heard >= p.at:
			continue
		case !p.again && now-p.at >= askAgain:
			p.again = true
			out = append(out, m.ask(p.k, now))
		case !p.helped && now-p.at >= directWait:
			p.helped = true
			m.doubtAt = now
			out = append(out, m.ask(p.k, now))
			for _, h := range m.anyLive(helpers, p.k, now) {
				out = append(out, outgoing{h.Peer, datagram{Self: m.selfNow(), Check: p.k.Peer}})
			}
		case now-p.at >= probeWait:
			if p.missed >= mustMiss && !p.k.lost() {
				// What it sent before it was last asked may still have come after the first question.
				m.takeUp(p.k, verdictLost, p.at+directWait, now)
			}
			continue
		}
		open = append(open, p)
	}
	m.probing = open
	return out
}

func (m *Members) lookAtChecks(now time.Duration) (out []outgoing) {
	open := m.checks[:0]
	for _, c := range m.checks {
		switch {
		case c.k.heard >= c.at:
			alive := *c.k
			alive.evidence = evidence{verdict: verdictAlive, at: c.k.heard}
			e := alive.entry(now)
			out = append(out, outgoing{c.from, datagram{Self: m.selfNow(), Evidence: e[:]}})
			continue
		case now-c.at >= checkWait:
			out = append(out, outgoing{c.from, datagram{Self: m.selfNow(), Missed: c.k.Peer}})
			continue
		case !c.again && now-c.at >= askAgain:
			c.again = true
			out = append(out, m.ask(c.k, now))
		}
		open = append(open, c)
	}
	m.checks = open
	return out
}

// anyLive returns up to n live instances of the own region, any of them but one. The caller holds
// the lock.
func (m *Members) anyLive(n int, but *known, now time.Duration) []*known {
	var live []*known
	for _, k := range m.order {
		if k != but && k.Region == m.self.Region && m.alive(k, now) {
			live = append(live, k)
		}
	}
	return some(m.shuffle, live, n)
}

// alone reports whether nobody was heard for so long that this instance must be the one that is
// cut off. The caller holds the lock.
func (m *Members) alone(now time.Duration) bool {
	return m.anyHeard != 0 && now-m.anyHeard > aloneAfter
}
