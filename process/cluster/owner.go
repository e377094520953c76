// SPDX-License-Identifier: MIT

package cluster

import (
	"math"
	"slices"
	"time"
)

// ownerAge is how old a start of an instance must be, by the time of day, for it to
// own something: by then all know it, so that all turn to it at the same moment.
// Origin: the news of a start reaches a region of 103 in 3.7 s (gossip_test.go).
const ownerAge = 4 * time.Second

// startSpread is how much later than the oldest one an instance may have started to come
// of age with it: else whoever was first in a start of all owns everything until the
// others are of age. Origin: instances that were started together, beside three busy
// threads a processor, came of age together in 36 of 36 runs.
const startSpread = time.Second

// Owners returns who owns each of n things: the live instance with the lowest hash of
// name and number (rendezvous hashing), so that all instances that know the same
// ones name the same owner, and few things change hands when one starts or dies.
func (m *Members) Owners(n int) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	grown := m.grown()
	out := make([]Member, n)
	for i := range out {
		out[i] = ownerAmong(grown, uint64(i))
	}
	return out
}

// OwnerAtStore returns who owns the thing with a number if the owner has to call the
// store: one that is not cut off from it, or any if all are.
func (m *Members) OwnerAtStore(number uint64) Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	grown := m.grown()
	if answered := notCut(grown); len(answered) > 0 {
		grown = answered
	}
	return ownerAmong(grown, number)
}

// OwnerIn returns who owns the thing with a number among the instances of a region; ""
// stands for all regions.
func (m *Members) OwnerIn(region string, number uint64) Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	grown := slices.DeleteFunc(m.grown(), func(k *known) bool { return region != "" && k.Region != region })
	return ownerAmong(grown, number)
}

// NearestOwner returns who owns the thing with a number among the live instances of a region, or of
// all if none lives there, whatever their age: who asks too early or too late is told so.
func (m *Members) NearestOwner(region string, number uint64) Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var near, far *known
	before := func(k, o *known) bool { return o == nil || rank(k.hash, number) < rank(o.hash, number) }
	m.eachLive(func(k *known) {
		if k.Region == region && before(k, near) {
			near = k
		}
		if before(k, far) {
			far = k
		}
	})
	switch {
	case near != nil:
		return near.Member
	case far != nil:
		return far.Member
	}
	return Member{}
}

// grown returns the live instances that may own something: those of age, and those that
// started with the oldest one; all that live if all have just started. The caller holds
// the lock.
func (m *Members) grown() []*known {
	var all []*known
	now := time.Now()
	oldest := time.Duration(0)
	m.eachLive(func(k *known) {
		all = append(all, k)
		oldest = max(oldest, k.age(now))
	})
	if oldest < ownerAge {
		return all
	}
	least := min(ownerAge, oldest-startSpread)
	return slices.DeleteFunc(all, func(k *known) bool { return k.age(now) < least })
}

// age returns how long ago an instance started, by its and this instance's time of day.
func (k *known) age(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, k.Incarnation))
}

// notCut returns those that are not cut off from the store.
func notCut(list []*known) []*known {
	out := make([]*known, 0, len(list))
	for _, k := range list {
		if !k.Cut {
			out = append(out, k)
		}
	}
	return out
}

// ownerAmong returns which of some instances owns the thing with a number; the zero
// value if there are none, as when this one is leaving and knows no other.
func ownerAmong(list []*known, number uint64) Member {
	var best Member
	lowest := uint64(math.MaxUint64)
	for _, k := range list {
		if r := rank(k.hash, number); r < lowest {
			best, lowest = k.Member, r
		}
	}
	return best
}

// rank mixes the hash of a name with a number (the finalizer of MurmurHash3).
func rank(hash, number uint64) uint64 {
	x := hash ^ (number+1)*0x9e3779b97f4a7c15
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// messageMark begins a datagram that holds a message of another part of the process.
// No other datagram begins with it: MessagePack does not use it.
const messageMark = 0xc1

// SendMessage sends a message to another instance's address for datagrams. It may be
// lost.
func (b *Beats) SendMessage(address string, text []byte) {
	b.sendTo(address, append([]byte{messageMark}, text...))
}

// SendMessageToAll sends a message to all other instances. It may be lost.
func (b *Beats) SendMessageToAll(text []byte) {
	for _, m := range b.members.All() {
		b.SendMessage(m.Peer, text)
	}
}

// heardPeer notes that the instance with an address lives, and reports whether one has
// it.
func (m *Members) heardPeer(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range m.order {
		if k.Peer == address {
			m.noteHeard(k, m.now())
			return true
		}
	}
	return false
}
