// SPDX-License-Identifier: MIT

package cluster

import (
	"cmp"
	"slices"
	"time"

	"github.com/juju/errors"
)

const (
	// maxDatagram is the maximum size of a datagram in bytes.
	maxDatagram = 2048
	// maxNewInstances bounds the recently started instances in a datagram.
	maxNewInstances = 2
	// newInstanceFor is how long a new incarnation is gossiped: twice log(620) to the base of 4,
	// counted in heartbeats.
	newInstanceFor = 5 * time.Second
	// maxLiveness bounds the liveness entries in a datagram.
	maxLiveness = 64
	// recentLiveness of these are the most recently seen; the others make up for lost datagrams.
	recentLiveness = 24
	// ageUnit is the unit of the age in liveness and status entries.
	ageUnit = 50 * time.Millisecond
)

// datagram is a gossip message.
type datagram struct {
	Self Member `json:"s"`
	// NewInstances are instances that started recently.
	NewInstances []Member `json:"r,omitempty"`
	// Liveness holds livenessEntry values: how long ago instances of the sender's region were
	// live, as far as it knows. A receiver adopts entries newer than its own, so a heartbeat
	// reaches all instances within a few intervals though it is sent to few.
	Liveness []byte `json:"w,omitempty"`
	// Observations are the sender's observations of backend servers, see balance.Table.
	Observations []byte `json:"o,omitempty"`
	// Probe requests a response. IndirectProbe is the address of an instance that the receiver
	// should probe and report on, and ProbeFailed that of one that did not respond to such a probe.
	Probe         bool   `json:"a,omitempty"`
	IndirectProbe string `json:"c,omitempty"`
	ProbeFailed   string `json:"x,omitempty"`
	// Statuses holds statusEntry values of instances that are or were suspected.
	Statuses []byte `json:"e,omitempty"`
	// Digest is the digest of the sender's quarantine list; zero when it is empty.
	Digest uint64 `json:"q,omitempty"`
}

// livenessEntry is one entry of a datagram's Liveness: three bytes of the hash of the name, one of
// the incarnation, and the age in ageUnit.
type livenessEntry [5]byte

func (ps *peerState) livenessEntry(now time.Duration) (n livenessEntry, ok bool) {
	age := (now - ps.lastSeen + ageUnit - 1) / ageUnit
	if ps.lastSeen == 0 || age > 0xff {
		return n, false
	}
	n[0], n[1], n[2] = byte(ps.hash), byte(ps.hash>>8), byte(ps.hash>>16)
	n[3] = incarnationByte(ps.Incarnation)
	n[4] = byte(age)
	return n, true
}

// matches reports whether the entry is for an instance.
func (n livenessEntry) matches(ps *peerState) bool {
	return n[0] == byte(ps.hash) && n[1] == byte(ps.hash>>8) && n[2] == byte(ps.hash>>16) && n[3] == incarnationByte(ps.Incarnation)
}

func (n livenessEntry) age() time.Duration { return time.Duration(n[4]) * ageUnit }

// incarnationByte distinguishes successive incarnations of an instance most of the time: they start
// at least a second apart, and the byte changes every 67 ms.
func incarnationByte(incarnation int64) byte { return byte(incarnation >> 26) }

func decodeDatagram(b []byte) (datagram, error) {
	var d datagram
	if err := unmarshal(b, &d); err != nil {
		return d, errors.Annotate(err, "decode datagram")
	}
	if len(d.Liveness)%len(livenessEntry{}) != 0 || len(d.NewInstances) > maxNewInstances || len(d.Statuses)%len(statusEntry{}) != 0 {
		return d, errors.New("datagram exceeds its bounds")
	}
	return d, nil
}

// announcement returns the datagram for instances that may not know this one.
func (m *Members) announcement() datagram {
	m.mu.Lock()
	defer m.mu.Unlock()
	return datagram{Self: m.selfNow()}
}

// gossip returns the next heartbeat, with liveness entries if it goes to the own region.
func (m *Members) gossip(withLiveness bool) datagram {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	d := datagram{Self: m.selfNow()}
	var recent []*peerState
	for _, ps := range m.sorted {
		if now-ps.firstSeen <= newInstanceFor && ps.lastSeen != 0 && !ps.Leaving {
			recent = append(recent, ps)
		}
	}
	d.NewInstances = toMembers(sample(m.shuffle, recent, maxNewInstances))
	if withLiveness {
		d.Liveness = m.livenessEntries(now)
	}
	if m.usesProbing() {
		d.Statuses = m.statusEntries(now, false)
	}
	return d
}

// livenessEntries returns encoded entries of at most maxLiveness instances of the region: the most
// recently seen, and a random sample of the others. The caller holds the lock.
func (m *Members) livenessEntries(now time.Duration) []byte {
	var out []byte
	var local []*peerState
	for _, ps := range m.sorted {
		if ps.Region == m.self.Region && !ps.Leaving {
			local = append(local, ps)
		}
	}
	if len(local) > maxLiveness {
		slices.SortFunc(local, func(a, b *peerState) int { return cmp.Compare(b.lastSeen, a.lastSeen) })
		local = append(local[:recentLiveness], sample(m.shuffle, local[recentLiveness:], maxLiveness-recentLiveness)...)
	}
	for _, ps := range local {
		if n, ok := ps.livenessEntry(now); ok {
			out = append(out, n[:]...)
		}
	}
	return out
}

// unknownDelay is how long liveness entries must refer to unknown instances or incarnations before
// the member list of another instance is requested. Usually NewInstances names them sooner.
const unknownDelay = time.Second

// receive merges a datagram. It reports whether to request the member list of its sender, because
// its liveness entries have referred to unknown instances for a while.
func (m *Members) receive(d *datagram) (requestMembers bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.merge(true, d.Self, now)
	if d.Self.Region == m.self.Region {
		m.regionLastSeen = now
	}
	for _, r := range d.NewInstances {
		m.merge(false, r, now)
	}
	if d.Self.Region == m.self.Region {
		requestMembers = m.noteUnknown(m.mergeLiveness(d.Liveness, now), now)
	}
	m.mergeStatuses(d.Statuses, now)
	m.forget(now)
	return requestMembers
}

// noteUnknown records how many entries referred to unknown instances, and reports whether that has
// lasted for unknownDelay. The caller holds the lock.
func (m *Members) noteUnknown(unknown int, now time.Duration) bool {
	switch {
	case unknown == 0:
		return false
	case m.unknownSince == 0 || now-m.unknownSince > 2*unknownDelay:
		m.unknownSince = now
		return false
	case now-m.unknownSince < unknownDelay:
		return false
	}
	m.unknownSince = 0
	return true
}

// mergeLiveness updates when instances were last seen, and returns the number of entries that refer
// to unknown instances. The caller holds the lock.
func (m *Members) mergeLiveness(data []byte, now time.Duration) (unknown int) {
	entries := make(map[[3]byte]livenessEntry, len(data)/len(livenessEntry{}))
	for e := range slices.Chunk(data, len(livenessEntry{})) {
		n := livenessEntry(e)
		entries[[3]byte(n[:3])] = n
	}
	for _, ps := range m.sorted {
		n, ok := entries[[3]byte{byte(ps.hash), byte(ps.hash >> 8), byte(ps.hash >> 16)}]
		if ok && ps.Region == m.self.Region && n.matches(ps) {
			ps.lastSeen = max(ps.lastSeen, now-n.age())
			delete(entries, [3]byte(n[:3]))
		}
	}
	self := peerState{Member: m.self, hash: m.hash}
	for _, n := range entries {
		if !n.matches(&self) {
			unknown++
		}
	}
	return unknown
}

// sample returns up to n random elements of a list. It reorders the list.
func sample[T any](shuffle func(n int, swap func(i, j int)), list []T, n int) []T {
	if len(list) <= n {
		return list
	}
	shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:n]
}
