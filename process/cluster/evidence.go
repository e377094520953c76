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
type verdict byte

const (
	verdictAlive   verdict = iota // it was heard
	verdictLost                   // nobody who asked got an answer
	verdictLeaving                // it said that it leaves
)

const (
	// toldFor is how long evidence is told on: in that time it reaches all, though datagrams are
	// lost.
	toldFor = 3 * time.Second
	// mostEvidence bounds the entries of a datagram.
	mostEvidence = 48
	// forwardTo is the number of instances that new evidence is told at once: an epidemic in
	// which each tells four reaches a region of 1,000 in some six steps.
	forwardTo = 4
	// forwardTicks is in how many ticks it is told so: where a third has just died, all four may
	// be among them.
	forwardTicks = 2
)

// entry is one entry of a datagram's Evidence: three bytes of the hash of the name, one of the
// incarnation, the verdict, and the age in newsUnit.
type entry [6]byte

// evidence is the newest that is known of an instance.
type evidence struct {
	verdict verdict
	at      time.Duration // when it was so
	learned time.Duration // when it was heard here; zero: there is none
	told    int           // ticks in which it was told on at once
}

// entry returns the evidence as it is told.
func (k *known) entry(now time.Duration) entry {
	age := min(max(0, (now-k.evidence.at+newsUnit-1)/newsUnit), 0xff)
	return entry{byte(k.hash), byte(k.hash >> 8), byte(k.hash >> 16), incarnationByte(k.Incarnation), byte(k.evidence.verdict), byte(age)}
}

// takeUp takes evidence up unless something newer is known, and reports whether it says
// anything new. The caller holds the lock.
func (m *Members) takeUp(k *known, v verdict, at, now time.Duration) bool {
	switch v {
	case verdictAlive:
		if at <= k.heard {
			return false
		}
		wasLost := k.lost()
		k.heard = at
		if !wasLost || k.lost() {
			return false
		}
	case verdictLost:
		if at <= k.heard || at <= k.lostAt {
			m.refute(k, now)
			return false
		}
		again := k.lost()
		k.lostAt = at
		m.doubtAt = now
		if again {
			return false
		}
	case verdictLeaving:
		if k.Leaving {
			return false
		}
		k.Leaving = true
	default:
		return false // of a newer release
	}
	m.note(k, v, at, now)
	return true
}

// refute lets others know that an instance lives that they take for lost. The caller holds the
// lock.
func (m *Members) refute(k *known, now time.Duration) {
	if !k.lost() && now-k.evidence.learned > toldFor {
		m.note(k, verdictAlive, k.heard, now)
	}
}

// note lets evidence be told. The caller holds the lock.
func (m *Members) note(k *known, v verdict, at, now time.Duration) {
	k.evidence = evidence{verdict: v, at: at, learned: now}
	if m.doubted == nil {
		m.doubted = make(map[*known]struct{})
	}
	m.doubted[k] = struct{}{}
}

// noteHeard notes that an instance spoke; one that was taken for lost is told of. The caller
// holds the lock.
func (m *Members) noteHeard(k *known, now time.Duration) {
	if k.lost() && m.probes() {
		m.takeUp(k, verdictAlive, now, now)
	}
	k.heard = now
}

// lost reports whether others found that an instance does not answer, and nothing was heard of
// it since.
func (k *known) lost() bool { return k.lostAt > k.heard }

// tellEvidence returns what to tell now, any of it if there is more than a datagram holds; fresh
// lets only what was not told on yet be told. The caller holds the lock.
func (m *Members) tellEvidence(now time.Duration, fresh bool) []byte {
	var tell []*known
	for k := range m.doubted {
		switch {
		case now-k.evidence.learned > toldFor:
			delete(m.doubted, k)
		case !fresh || k.evidence.told < forwardTicks:
			tell = append(tell, k)
		}
	}
	slices.SortFunc(tell, func(a, b *known) int { return cmp.Compare(a.Name, b.Name) }) // so that a model repeats
	tell = some(m.shuffle, tell, mostEvidence)
	out := make([]byte, 0, len(entry{})*len(tell))
	for _, k := range tell {
		if fresh {
			k.evidence.told++
		}
		e := k.entry(now)
		out = append(out, e[:]...)
	}
	return out
}

// hearEvidence takes up what another instance told. The caller holds the lock.
func (m *Members) hearEvidence(text []byte, now time.Duration) {
	if len(text) == 0 {
		return
	}
	entries := make(map[[4]byte]entry, len(text)/len(entry{}))
	for e := range slices.Chunk(text, len(entry{})) {
		entries[[4]byte(e[:4])] = entry(e)
	}
	for _, k := range m.order {
		id := [4]byte{byte(k.hash), byte(k.hash >> 8), byte(k.hash >> 16), incarnationByte(k.Incarnation)}
		if e, ok := entries[id]; ok {
			m.takeUp(k, verdict(e[4]), now-time.Duration(e[5])*newsUnit, now)
		}
	}
}
