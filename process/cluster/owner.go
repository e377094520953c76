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
const minOwnerAge = 4 * time.Second

// startSpread is how much later than the oldest one an instance may have started to come
// of age with it: else whoever was first in a start of all owns everything until the
// others are of age. Origin: instances that were started together, beside three busy
// threads a processor, came of age together in 36 of 36 runs.
const maxStartSpread = time.Second

// Owners returns who owns each of n things: the live instance with the lowest hash of
// name and number (rendezvous hashing), so that all instances that know the same
// ones name the same owner, and few things change hands when one starts or dies.
func (m *Members) Owners(n int) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	eligible := m.eligibleOwners()
	out := make([]Member, n)
	for i := range out {
		out[i] = ownerOf(eligible, uint64(i))
	}
	return out
}

// OwnerAtStore returns who owns the thing with a number if the owner has to call the
// store: one that is not cut off from it, or any if all are.
func (m *Members) OwnerAtStore(number uint64) Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	eligible := m.eligibleOwners()
	if answered := reachingStore(eligible); len(answered) > 0 {
		eligible = answered
	}
	return ownerOf(eligible, number)
}

// OwnerIn returns who owns the thing with a number among the instances of a region; ""
// stands for all regions.
func (m *Members) OwnerIn(region string, number uint64) Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	eligible := slices.DeleteFunc(m.eligibleOwners(), func(ps *peerState) bool { return region != "" && ps.Region != region })
	return ownerOf(eligible, number)
}

// NearestOwner returns who owns the thing with a number among the live instances of a region, or of
// all if none lives there, whatever their age: who asks too early or too late is told so.
func (m *Members) NearestOwner(region string, number uint64) Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var near, far *peerState
	before := func(ps, o *peerState) bool { return o == nil || rank(ps.hash, number) < rank(o.hash, number) }
	m.eachLive(func(ps *peerState) {
		if ps.Region == region && before(ps, near) {
			near = ps
		}
		if before(ps, far) {
			far = ps
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
func (m *Members) eligibleOwners() []*peerState {
	var all []*peerState
	now := time.Now()
	oldest := time.Duration(0)
	m.eachLive(func(ps *peerState) {
		all = append(all, ps)
		oldest = max(oldest, ps.age(now))
	})
	if oldest < minOwnerAge {
		return all
	}
	least := min(minOwnerAge, oldest-maxStartSpread)
	return slices.DeleteFunc(all, func(ps *peerState) bool { return ps.age(now) < least })
}

// age returns how long ago an instance started, by its and this instance's time of day.
func (ps *peerState) age(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, ps.Incarnation))
}

// notCut returns those that are not cut off from the store.
func reachingStore(list []*peerState) []*peerState {
	out := make([]*peerState, 0, len(list))
	for _, ps := range list {
		if !ps.StoreUnreachable {
			out = append(out, ps)
		}
	}
	return out
}

// ownerAmong returns which of some instances owns the thing with a number; the zero
// value if there are none, as when this one is leaving and knows no other.
func ownerOf(list []*peerState, number uint64) Member {
	var best Member
	lowest := uint64(math.MaxUint64)
	for _, ps := range list {
		if r := rank(ps.hash, number); r < lowest {
			best, lowest = ps.Member, r
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
const messagePrefix = 0xc1

// SendMessage sends a message to another instance's address for datagrams. It may be
// lost.
func (b *Gossiper) SendMessage(address string, text []byte) {
	b.sendTo(address, append([]byte{messagePrefix}, text...))
}

// SendMessageToAll sends a message to all other instances. It may be lost.
func (b *Gossiper) BroadcastMessage(text []byte) {
	for _, m := range b.members.Others() {
		b.SendMessage(m.Peer, text)
	}
}

// heardPeer notes that the instance with an address lives, and reports whether one has
// it.
func (m *Members) markSeenAddress(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, ps := range m.sorted {
		if ps.Peer == address {
			m.markSeen(ps, m.now())
			return true
		}
	}
	return false
}
