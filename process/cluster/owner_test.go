// SPDX-License-Identifier: MIT

package cluster

import (
	"fmt"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fleetOf returns members as each of so many instances that all know each other has
// them, all of an age.
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

// TestAllNameTheSameOwners checks that, and that owning is dealt evenly.
func TestOwnersAgreeAndBalance(t *testing.T) {
	const things = 200
	fleet := newFullMesh(10, time.Minute)
	want := names(fleet[0].Owners(things))
	count := make(map[string]int)
	for _, name := range want {
		count[name]++
	}
	for _, m := range fleet {
		assert.DeepEqual(t, names(m.Owners(things)), want)
		assert.Assert(t, count[m.Self().Name] >= 8 && count[m.Self().Name] <= 40, "%v", count)
	}
}

// TestOwnersChangeLittle checks that what others own stays where it is when one
// leaves, and that one that has just started owns nothing yet.
func TestOwnersChangeMinimally(t *testing.T) {
	const things = 200
	m := newFullMesh(10, time.Minute)[0]
	before := names(m.Owners(things))
	m.Merge(true, member("new", "north", time.Now().UnixNano()))
	assert.DeepEqual(t, names(m.Owners(things)), before)
	left := member("edge-3", "north", time.Now().UnixNano())
	left.Leaving = true
	m.Merge(true, left)
	for i, name := range names(m.Owners(things)) {
		assert.Assert(t, name != "edge-3")
		assert.Assert(t, name == before[i] || before[i] == "edge-3")
	}
	started := newFullMesh(3, 0)[0]
	assert.Assert(t, started.Owners(1)[0].Name != "", "all have just started")
}

// TestMessagesComeFromInstancesOnly sends messages to an instance, from one that it
// knows and from a stranger.
func TestMessagesFromUnknownSendersAreDropped(t *testing.T) {
	socket := func() string {
		c, err := net.ListenPacket("udp4", "127.0.0.1:0")
		assert.NilError(t, err)
		defer c.Close()
		return c.LocalAddr().String()
	}
	beats := func() *Gossiper {
		self := member("edge-"+fmt.Sprint(time.Now().UnixNano()), "north", 1)
		self.Peer = socket()
		b, err := Listen(NewMembers(self, func() time.Duration { return time.Hour }))
		assert.NilError(t, err)
		t.Cleanup(func() { b.socket.Close() })
		return b
	}
	a, b, stranger := beats(), beats(), beats()
	got := make(chan string, 4)
	b.OnMessage = func(from string, text []byte) { got <- from + " " + string(text) }
	b.members.Merge(true, a.members.Self())
	go b.receive()
	stranger.SendMessage(b.members.Self().Peer, []byte("no"))
	a.SendMessage(b.members.Self().Peer, []byte("yes"))
	assert.Equal(t, <-got, a.members.Self().Peer+" yes")
	select {
	case text := <-got:
		t.Fatal(text)
	case <-time.After(50 * time.Millisecond):
	}
}

// TestOwnersDoNotMoveAsAllComeOfAge checks a start of all, in which one is some
// milliseconds before the others: as it comes of the age to own, they come of it too.
// Else all things change hands twice within those milliseconds, and each new owner asks
// the store for what it is to own.
func TestOwnersStableWhileFleetReachesOwnerAge(t *testing.T) {
	const things = 200
	of := func(ages ...time.Duration) []string {
		m := NewMembers(member("edge-0", "north", time.Now().Add(-ages[0]).UnixNano()), func() time.Duration { return time.Hour })
		for i, age := range ages {
			m.Merge(true, member(fmt.Sprintf("edge-%d", i), "north", time.Now().Add(-age).UnixNano()))
		}
		return names(m.Owners(things))
	}
	const first, last = 40 * time.Millisecond, 900 * time.Millisecond
	young := of(time.Second, time.Second-first, time.Second-last)
	assert.DeepEqual(t, of(minOwnerAge+first, minOwnerAge-first, minOwnerAge+first-last), young)
	assert.DeepEqual(t, of(time.Minute, time.Minute-first, time.Minute-last), young)
	for _, name := range of(minOwnerAge+first, minOwnerAge-first, minOwnerAge-2*time.Second) {
		assert.Assert(t, name != "edge-2", "the others may not know it yet")
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

// TestOwnerAtStoreIsNotCutOff checks that one that is cut off from the store owns nothing
// that needs it unless all are, and that all name the same.
func TestOwnerAtStoreReachesStore(t *testing.T) {
	const things = 50
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
	before := names(fleet[0].Owners(things))
	for n := range things {
		assert.Equal(t, fleet[1].OwnerAtStore(uint64(n)).Name, before[n])
	}
	cut(3)
	for _, m := range fleet {
		for n := range things {
			owner := m.OwnerAtStore(uint64(n)).Name
			assert.Assert(t, owner != "edge-3")
			assert.Assert(t, owner == before[n] || before[n] == "edge-3")
		}
	}
	assert.DeepEqual(t, names(fleet[0].Owners(things)), before)
	cut(0, 1, 2, 4)
	for n := range things {
		assert.Equal(t, fleet[2].OwnerAtStore(uint64(n)).Name, before[n])
	}
}
