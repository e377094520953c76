// SPDX-License-Identifier: MIT

package cluster

import (
	"fmt"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newFullMesh returns the members of n instances that all know each other and are of the same age.
func newFullMesh(n int, age time.Duration) []*Members {
	started := time.Now().Add(-age).UnixNano()
	var out []*Members
	for i := range n {
		m := NewMembers(member(fmt.Sprintf("edge-%d", i), "north", started), func() time.Duration { return time.Hour })
		for j := range n {
			m.Merge(true, member(fmt.Sprintf("edge-%d", j), "north", started))
		}
		out = append(out, m)
	}
	return out
}

// TestOwnersAgreeAndBalance checks that all instances compute the same owners and that each owns a
// similar number of items.
func TestOwnersAgreeAndBalance(t *testing.T) {
	const items = 200
	fleet := newFullMesh(10, time.Minute)
	want := names(fleet[0].Owners(items))
	count := make(map[string]int)
	for _, name := range want {
		count[name]++
	}
	for _, m := range fleet {
		assert.DeepEqual(t, names(m.Owners(items)), want)
		assert.Assert(t, count[m.Self().Name] >= 8 && count[m.Self().Name] <= 40, "%v", count)
	}
}

// TestOwnersChangeMinimally checks that only the items of an instance that leaves change owner, and that
// one that has just started owns nothing yet.
func TestOwnersChangeMinimally(t *testing.T) {
	const items = 200
	m := newFullMesh(10, time.Minute)[0]
	before := names(m.Owners(items))
	m.Merge(true, member("new", "north", time.Now().UnixNano()))
	assert.DeepEqual(t, names(m.Owners(items)), before)
	left := member("edge-3", "north", time.Now().UnixNano())
	left.Leaving = true
	m.Merge(true, left)
	for i, name := range names(m.Owners(items)) {
		assert.Assert(t, name != "edge-3")
		assert.Assert(t, name == before[i] || before[i] == "edge-3")
	}
	started := newFullMesh(3, 0)[0]
	assert.Assert(t, started.Owners(1)[0].Name != "", "all have just started")
}

// TestMessagesFromUnknownSendersAreDropped sends messages to an instance from a known and from an
// unknown address.
func TestMessagesFromUnknownSendersAreDropped(t *testing.T) {
	newGossiper := func() *Gossiper {
		s, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		assert.NilError(t, err)
		self := member("edge-"+fmt.Sprint(time.Now().UnixNano()), "north", 1)
		self.Peer = s.LocalAddr().String()
		b, err := NewGossiper(NewMembers(self, func() time.Duration { return time.Hour }), s)
		assert.NilError(t, err)
		t.Cleanup(func() { b.socket.Close() })
		return b
	}
	a, b, unknown := newGossiper(), newGossiper(), newGossiper()
	got := make(chan string, 4)
	b.OnMessage = func(from string, text []byte) { got <- from + " " + string(text) }
	b.members.Merge(true, a.members.Self())
	go b.receive()
	unknown.SendMessage(b.members.Self().Peer, []byte("no"))
	a.SendMessage(b.members.Self().Peer, []byte("yes"))
	assert.Equal(t, <-got, a.members.Self().Peer+" yes")
	select {
	case text := <-got:
		t.Fatal(text)
	case <-time.After(50 * time.Millisecond):
	}
}

// TestOwnersStableWhileFleetReachesOwnerAge covers a fleet start in which one instance starts some
// milliseconds before the others: when it reaches minOwnerAge the others become eligible together with
// it. Otherwise all items would change owner twice within those milliseconds, and each new owner would
// query the store for its items.
func TestOwnersStableWhileFleetReachesOwnerAge(t *testing.T) {
	const items = 200
	owners := func(ages ...time.Duration) []string {
		m := NewMembers(member("edge-0", "north", time.Now().Add(-ages[0]).UnixNano()), func() time.Duration { return time.Hour })
		for i, age := range ages {
			m.Merge(true, member(fmt.Sprintf("edge-%d", i), "north", time.Now().Add(-age).UnixNano()))
		}
		return names(m.Owners(items))
	}
	const first, last = 40 * time.Millisecond, 900 * time.Millisecond
	atStart := owners(time.Second, time.Second-first, time.Second-last)
	assert.DeepEqual(t, owners(minOwnerAge+first, minOwnerAge-first, minOwnerAge+first-last), atStart)
	assert.DeepEqual(t, owners(time.Minute, time.Minute-first, time.Minute-last), atStart)
	for _, name := range owners(minOwnerAge+first, minOwnerAge-first, minOwnerAge-2*time.Second) {
		assert.Assert(t, name != "edge-2", "others may not know it yet")
	}
}

func BenchmarkOwners(b *testing.B) {
	for _, n := range []int{75, 620} {
		m := newFullMesh(1, time.Minute)[0]
		for i := range n {
			m.Merge(true, member(fmt.Sprintf("edge-%d", i), "north", 1))
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				m.Owners(16)
			}
		})
	}
}

// TestOwnerAtStoreReachesStore checks that an instance that does not reach the store owns no items that
// need it, unless none reaches it, and that all instances compute the same owners.
func TestOwnerAtStoreReachesStore(t *testing.T) {
	const items = 50
	fleet := newFullMesh(5, time.Minute)
	started := fleet[0].Self().Incarnation
	cut := func(which ...int) {
		for _, i := range which {
			x := member(fmt.Sprintf("edge-%d", i), "north", started)
			x.StoreUnreachable = true
			fleet[i].RecordStoreCall(false)
			for _, m := range fleet {
				m.Merge(true, x)
			}
		}
	}
	before := names(fleet[0].Owners(items))
	for n := range items {
		assert.Equal(t, fleet[1].OwnerAtStore(uint64(n)).Name, before[n])
	}
	cut(3)
	for _, m := range fleet {
		for n := range items {
			owner := m.OwnerAtStore(uint64(n)).Name
			assert.Assert(t, owner != "edge-3")
			assert.Assert(t, owner == before[n] || before[n] == "edge-3")
		}
	}
	assert.DeepEqual(t, names(fleet[0].Owners(items)), before)
	cut(0, 1, 2, 4)
	for n := range items {
		assert.Equal(t, fleet[2].OwnerAtStore(uint64(n)).Name, before[n])
	}
}
