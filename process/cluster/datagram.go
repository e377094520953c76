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
	mostRumours = 2
	// rumourTime is how long a new start of an instance is told on: log(620) to
	// the base of 4, in beats, twice over.
	rumourTime = 5 * time.Second
	// mostNews bounds the instances of whose life a datagram tells.
	mostNews = 64
	// freshNews of them are the newest; the others make up for what was lost.
	freshNews = 24
	// newsUnit is the unit of the age of news.
	newsUnit = 50 * time.Millisecond
)

// datagram is what an instance tells another one unasked.
type datagram struct {
	Self Member `json:"s"`
	// Rumours are instances that have started a short while ago.
	Rumours []Member `json:"r,omitempty"`
	// News says of instances of the sender's region how long ago they lived, as
	// far as it knows. A receiver that knows less takes it up; so the word of one
	// instance reaches all in a few beats though it speaks to few.
	News []byte `json:"w,omitempty"`
	// Observations are what the sender knows of backend servers, see balance.Table.
	Observations []byte `json:"o,omitempty"`
	// Ask asks for an answer, and Check asks to ask the instance with an address and to tell what
	// became of it; Missed is the address of one that did not answer.
	Ask    bool   `json:"a,omitempty"`
	Check  string `json:"c,omitempty"`
	Missed string `json:"x,omitempty"`
	// Evidence is what is known of instances whose life was in doubt.
	Evidence []byte `json:"e,omitempty"`
	// Digest is that of the quarantine of the sender; zero: it is empty.
	Digest uint64 `json:"q,omitempty"`
}

// news is one entry of a datagram's News: three bytes of the hash of the name,
// one of the incarnation, and the age in newsUnit.
type news [5]byte

func (k *known) news(now time.Duration) (n news, ok bool) {
	age := (now - k.heard + newsUnit - 1) / newsUnit
	if k.heard == 0 || age > 0xff {
		return n, false
	}
	n[0], n[1], n[2] = byte(k.hash), byte(k.hash>>8), byte(k.hash>>16)
	n[3] = incarnationByte(k.Incarnation)
	n[4] = byte(age)
	return n, true
}

// about reports whether the entry is about an instance.
func (n news) about(k *known) bool {
	return n[0] == byte(k.hash) && n[1] == byte(k.hash>>8) && n[2] == byte(k.hash>>16) && n[3] == incarnationByte(k.Incarnation)
}

func (n news) age() time.Duration { return time.Duration(n[4]) * newsUnit }

// incarnationByte tells two starts of an instance apart, most of the time: they
// lie a second apart or more, and the byte changes every 67 ms.
func incarnationByte(incarnation int64) byte { return byte(incarnation >> 26) }

func decodeDatagram(b []byte) (datagram, error) {
	var d datagram
	if err := unmarshal(b, &d); err != nil {
		return d, errors.Annotate(err, "datagram")
	}
	if len(d.News)%len(news{}) != 0 || len(d.Rumours) > mostRumours || len(d.Evidence)%len(entry{}) != 0 {
		return d, errors.New("datagram out of range")
	}
	return d, nil
}

// introduction returns what to tell those who may not know this instance.
func (m *Members) introduction() datagram {
	m.mu.Lock()
	defer m.mu.Unlock()
	return datagram{Self: m.selfNow()}
}

// tell returns what to tell others now: to the own region with news, to another
// region without.
func (m *Members) tell(withNews bool) datagram {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	d := datagram{Self: m.selfNow()}
	var fresh []*known
	for _, k := range m.order {
		if now-k.learned <= rumourTime && k.heard != 0 && !k.Leaving {
			fresh = append(fresh, k)
		}
	}
	d.Rumours = plain(some(m.shuffle, fresh, mostRumours))
	if withNews {
		d.News = m.tellNews(now)
	}
	if m.probes() {
		d.Evidence = m.tellEvidence(now, false)
	}
	return d
}

// tellNews returns the news of at most mostNews instances of the region: those that
// were alive last, and any others. The caller holds the lock.
func (m *Members) tellNews(now time.Duration) []byte {
	var out []byte
	var near []*known
	for _, k := range m.order {
		if k.Region == m.self.Region && !k.Leaving {
			near = append(near, k)
		}
	}
	if len(near) > mostNews {
		slices.SortFunc(near, func(a, b *known) int { return cmp.Compare(b.heard, a.heard) })
		near = append(near[:freshNews], some(m.shuffle, near[freshNews:], mostNews-freshNews)...)
	}
	for _, k := range near {
		if n, ok := k.news(now); ok {
			out = append(out, n[:]...)
		}
	}
	return out
}

// lackedFor is how long news must be of an instance, or a start of one, that is not
// known before another instance is asked which there are: usually rumours tell it
// sooner.
const lackedFor = time.Second

// hear takes up a datagram. It reports whether its sender should be asked which
// instances there are: its news was of one that is not known here for a while.
func (m *Members) hear(d *datagram) (ask bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.learn(true, d.Self, now)
	if d.Self.Region == m.self.Region {
		m.anyHeard = now
	}
	for _, r := range d.Rumours {
		m.learn(false, r, now)
	}
	if d.Self.Region == m.self.Region {
		ask = m.lacks(m.hearNews(d.News, now), now)
	}
	m.hearEvidence(d.Evidence, now)
	m.forget(now)
	return ask
}

// lacks notes how many instances in some news were not known, and reports whether
// that has been so for lackedFor. The caller holds the lock.
func (m *Members) lacks(unknown int, now time.Duration) bool {
	switch {
	case unknown == 0:
		return false
	case m.lacking == 0 || now-m.lacking > 2*lackedFor:
		m.lacking = now
		return false
	case now-m.lacking < lackedFor:
		return false
	}
	m.lacking = 0
	return true
}

// hearNews takes up when others were alive, and returns how many of them are not
// known. The caller holds the lock.
func (m *Members) hearNews(text []byte, now time.Duration) (unknown int) {
	entries := make(map[[3]byte]news, len(text)/len(news{}))
	for e := range slices.Chunk(text, len(news{})) {
		n := news(e)
		entries[[3]byte(n[:3])] = n
	}
	for _, k := range m.order {
		n, ok := entries[[3]byte{byte(k.hash), byte(k.hash >> 8), byte(k.hash >> 16)}]
		if ok && k.Region == m.self.Region && n.about(k) {
			k.heard = max(k.heard, now-n.age())
			delete(entries, [3]byte(n[:3]))
		}
	}
	self := known{Member: m.self, hash: m.hash}
	for _, n := range entries {
		if !n.about(&self) {
			unknown++
		}
	}
	return unknown
}

// some returns at most n of a list, any of them. It reorders the list.
func some[T any](shuffle func(n int, swap func(i, j int)), list []T, n int) []T {
	if len(list) <= n {
		return list
	}
	shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:n]
}
