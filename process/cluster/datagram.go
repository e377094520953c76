// SPDX-License-Identifier: MIT

package cluster

import (
	"cmp"
	"slices"
	"time"

	"github.com/juju/errors"
)

const (
	// maxDatagram bounds a datagram in bytes.
	maxDatagram = 2048
	// mostRumours bounds the new instances that a datagram tells of.
	maxNewInstances = 2
	// rumourTime is how long a new start of an instance is told on: log(620) to
	// the base of 4, in beats, twice over.
	newInstanceFor = 5 * time.Second
	// mostNews bounds the instances of whose life a datagram tells.
	maxLiveness = 64
	// freshNews of them are the newest; the others make up for what was lost.
	recentLiveness = 24
	// newsUnit is the unit of the age of news.
	ageUnit = 50 * time.Millisecond
)

// datagram is what an instance tells another one unasked.
type datagram struct {
	Self Member `json:"s"`
	// Rumours are instances that have started a short while ago.
	NewInstances []Member `json:"r,omitempty"`
	// News says of instances of the sender's region how long ago they lived, as
	// far as it knows. A receiver that knows less takes it up; so the word of one
	// instance reaches all in a few beats though it speaks to few.
	Liveness []byte `json:"w,omitempty"`
	// Observations are what the sender knows of backend servers, see balance.Table.
	Observations []byte `json:"o,omitempty"`
	// Ask asks for an answer, and Check asks to ask the instance with an address and to tell what
	// became of it; Missed is the address of one that did not answer.
	Probe         bool   `json:"a,omitempty"`
	IndirectProbe string `json:"c,omitempty"`
	ProbeFailed   string `json:"x,omitempty"`
	// Evidence is what is known of instances whose life was in doubt.
	Statuses []byte `json:"e,omitempty"`
	// Digest is that of the quarantine of the sender; zero: it is empty.
	Digest uint64 `json:"q,omitempty"`
}

// news is one entry of a datagram's News: three bytes of the hash of the name,
// one of the incarnation, and the age in newsUnit.
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

// about reports whether the entry is about an instance.
func (n livenessEntry) matches(ps *peerState) bool {
	return n[0] == byte(ps.hash) && n[1] == byte(ps.hash>>8) && n[2] == byte(ps.hash>>16) && n[3] == incarnationByte(ps.Incarnation)
}

func (n livenessEntry) age() time.Duration { return time.Duration(n[4]) * ageUnit }

// incarnationByte tells two starts of an instance apart, most of the time: they
// lie a second apart or more, and the byte changes every 67 ms.
func incarnationByte(incarnation int64) byte { return byte(incarnation >> 26) }

func decodeDatagram(b []byte) (datagram, error) {
	var d datagram
	if err := unmarshal(b, &d); err != nil {
		return d, errors.Annotate(err, "datagram")
	}
	if len(d.Liveness)%len(livenessEntry{}) != 0 || len(d.NewInstances) > maxNewInstances || len(d.Statuses)%len(statusEntry{}) != 0 {
		return d, errors.New("datagram out of range")
	}
	return d, nil
}

// introduction returns what to tell those who may not know this instance.
func (m *Members) announcement() datagram {
	m.mu.Lock()
	defer m.mu.Unlock()
	return datagram{Self: m.selfNow()}
}

// tell returns what to tell others now: to the own region with news, to another
// region without.
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

// tellNews returns the news of at most mostNews instances of the region: those that
// were alive last, and any others. The caller holds the lock.
func (m *Members) livenessEntries(now time.Duration) []byte {
	var out []byte
	var near []*peerState
	for _, ps := range m.sorted {
		if ps.Region == m.self.Region && !ps.Leaving {
			near = append(near, ps)
		}
	}
	if len(near) > maxLiveness {
		slices.SortFunc(near, func(a, b *peerState) int { return cmp.Compare(b.lastSeen, a.lastSeen) })
		near = append(near[:recentLiveness], sample(m.shuffle, near[recentLiveness:], maxLiveness-recentLiveness)...)
	}
	for _, ps := range near {
		if n, ok := ps.livenessEntry(now); ok {
			out = append(out, n[:]...)
		}
	}
	return out
}

// lackedFor is how long news must be of an instance, or a start of one, that is not
// known before another instance is asked which there are: usually rumours tell it
// sooner.
const unknownDelay = time.Second

// hear takes up a datagram. It reports whether its sender should be asked which
// instances there are: its news was of one that is not known here for a while.
func (m *Members) receive(d *datagram) (ask bool) {
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
		ask = m.noteUnknown(m.mergeLiveness(d.Liveness, now), now)
	}
	m.mergeStatuses(d.Statuses, now)
	m.forget(now)
	return ask
}

// lacks notes how many instances in some news were not known, and reports whether
// that has been so for lackedFor. The caller holds the lock.
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

// hearNews takes up when others were alive, and returns how many of them are not
// known. The caller holds the lock.
func (m *Members) mergeLiveness(text []byte, now time.Duration) (unknown int) {
	entries := make(map[[3]byte]livenessEntry, len(text)/len(livenessEntry{}))
	for e := range slices.Chunk(text, len(livenessEntry{})) {
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

// some returns at most n of a list, any of them. It reorders the list.
func sample[T any](shuffle func(n int, swap func(i, j int)), list []T, n int) []T {
	if len(list) <= n {
		return list
	}
	shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:n]
}
