// SPDX-License-Identifier: MIT

package cluster

import (
	"math"
	"slices"
	"time"

	"shalewick/version"
)

// minOwnerAge is the age, by wall-clock time, at which an instance may own something: by then all
// others know it, so that all switch to it at the same moment. Gossip of a start takes 3.7 s to
// reach a region of 103 (gossip_test.go).
const minOwnerAge = 4 * time.Second

// maxStartSpread is how much later than the oldest instance another one may have started to become
// eligible together with it: otherwise the first instance of a fleet start would own everything
// until the others reach minOwnerAge. With this value instances that were started together, beside
// three busy threads per processor, became eligible together in 36 of 36 runs.
const maxStartSpread = time.Second

// Owners returns the owner of each of n numbered items: the live instance with the lowest hash of
// name and number (rendezvous hashing). All instances that know the same members compute the same
// owners, and few items change owner when an instance starts or goes down.
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

// OwnerAtStore returns the owner of an item whose owner has to call the store: an instance that
// reaches the store, or any if none does.
func (m *Members) OwnerAtStore(number uint64) Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	eligible := m.eligibleOwners()
	if reaching := reachingStore(eligible); len(reaching) > 0 {
		eligible = reaching
	}
	return ownerOf(eligible, number)
}

// OwnerIn returns the owner of an item among the instances of a region; "" means all regions.
func (m *Members) OwnerIn(region string, number uint64) Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	eligible := slices.DeleteFunc(m.eligibleOwners(), func(ps *peerState) bool { return region != "" && ps.Region != region })
	return ownerOf(eligible, number)
}

// NearestOwner returns the owner of an item among the live instances of a region, or of all regions
// if that one has none, regardless of their age: a requester that comes too early or too late gets
// a response that says so.
func (m *Members) NearestOwner(region string, number uint64) Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var inRegion, anywhere *peerState
	before := func(ps, o *peerState) bool {
		return o == nil || version.RendezvousRank(ps.hash, number) < version.RendezvousRank(o.hash, number)
	}
	m.eachLive(func(ps *peerState) {
		if ps.Region == region && before(ps, inRegion) {
			inRegion = ps
		}
		if before(ps, anywhere) {
			anywhere = ps
		}
	})
	switch {
	case inRegion != nil:
		return inRegion.Member
	case anywhere != nil:
		return anywhere.Member
	}
	return Member{}
}

// eligibleOwners returns the live instances that may own items: those that are old enough or started
// together with the oldest one, or all if all have just started. The caller holds the lock.
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
	minAge := min(minOwnerAge, oldest-maxStartSpread)
	return slices.DeleteFunc(all, func(ps *peerState) bool { return ps.age(now) < minAge })
}

// age returns the time since an instance started, which compares its wall clock with the local one.
func (ps *peerState) age(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, ps.Incarnation))
}

// reachingStore returns the instances that reach the store.
func reachingStore(list []*peerState) []*peerState {
	out := make([]*peerState, 0, len(list))
	for _, ps := range list {
		if !ps.StoreUnreachable {
			out = append(out, ps)
		}
	}
	return out
}

// ownerOf returns the owner of an item among some instances; the zero value if there are none, as
// when this instance is leaving and knows no other.
func ownerOf(list []*peerState, number uint64) Member {
	var best Member
	lowest := uint64(math.MaxUint64)
	for _, ps := range list {
		if r := version.RendezvousRank(ps.hash, number); r < lowest {
			best, lowest = ps.Member, r
		}
	}
	return best
}

// messagePrefix is the first byte of a datagram that carries a message of another package. It is
// unused in MessagePack, so no other datagram starts with it.
const messagePrefix = 0xc1

// SendMessage sends a message to the datagram address of another instance. It may be lost.
func (g *Gossiper) SendMessage(address string, data []byte) {
	g.sendTo(address, append([]byte{messagePrefix}, data...))
}

// BroadcastMessage sends a message to all other instances. It may be lost.
func (g *Gossiper) BroadcastMessage(data []byte) {
	for _, m := range g.members.Others() {
		g.SendMessage(m.Peer, data)
	}
}

// markSeenAddress records that a message arrived from the instance with an address, and reports
// whether there is one.
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
