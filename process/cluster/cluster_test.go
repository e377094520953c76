// SPDX-License-Identifier: MIT

package cluster

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/process/state"
)

type fakeClock struct{ now time.Duration }

func member(name, region string, incarnation int64) Member {
	return Member{Name: name, Incarnation: incarnation, Front: name + ":1", Peer: name + ":2", Hall: region + "-a", Region: region}
}

func newMembers() (*Members, *fakeClock) {
	c := &fakeClock{now: time.Hour}
	m := NewMembers(member("self", "north", 1), func() time.Duration { return c.now })
	c.now += unknownFor
	return m, c
}

// TestPlaceIsNotKnownBeforeTheOthersAre checks that an instance that has just
// started does not take itself for the only one.
func TestPlaceIsNotKnownBeforeTheOthersAre(t *testing.T) {
	c := &fakeClock{now: time.Hour}
	m := NewMembers(member("self", "north", 1), func() time.Duration { return c.now })
	m.Learn(true, member("a", "north", 1))
	assert.Equal(t, m.Count(), 0)
	m.Read()
	assert.Equal(t, m.Count(), 0, "others read at the same time")
	c.now += settleTime
	place, of := m.Place()
	assert.Equal(t, of, 2)
	assert.Equal(t, place, 1)
	m = NewMembers(member("self", "north", 1), func() time.Duration { return c.now })
	c.now += unknownFor
	assert.Equal(t, m.Count(), 1, "the store does not answer, and it has to serve")
}

func names(ms []Member) []string {
	out := []string{}
	for _, m := range ms {
		out = append(out, m.Name)
	}
	return out
}

func TestSilentInstanceOfTheRegionIsNotNamed(t *testing.T) {
	m, c := newMembers()
	m.Learn(false, member("a", "north", 1), member("far", "south", 1))
	assert.DeepEqual(t, names(m.Live()), []string{"a", "far", "self"})
	c.now += grace + 1
	assert.DeepEqual(t, names(m.Live()), []string{"far", "self"})
	m.Learn(true, member("a", "north", 1))
	assert.DeepEqual(t, names(m.Live()), []string{"a", "far", "self"})
	c.now += aliveFor + 1
	assert.DeepEqual(t, names(m.Live()), []string{"far", "self"})
	m.Called("far", false)
	assert.DeepEqual(t, names(m.Live()), []string{"self"})
}

func TestLeavingInstanceStaysGoneUntilItStartsAgain(t *testing.T) {
	m, _ := newMembers()
	a := member("a", "north", 5)
	m.Learn(true, a)
	left := a
	left.Leaving = true
	m.Learn(true, left)
	m.Learn(true, a) // an older datagram that comes late
	assert.DeepEqual(t, names(m.Live()), []string{"self"})
	assert.Equal(t, m.Count(), 1)
	m.Learn(true, member("a", "north", 6))
	assert.DeepEqual(t, names(m.Live()), []string{"a", "self"})
}

// TestClockThatStepsBackHidesNobody checks that an instance started again with
// a lower incarnation, after its clock stepped back, is heard.
func TestClockThatStepsBackHidesNobody(t *testing.T) {
	m, c := newMembers()
	m.Learn(true, member("a", "north", 9))
	c.now += aliveFor + 1
	m.Learn(true, member("a", "north", 4))
	assert.DeepEqual(t, names(m.Live()), []string{"a", "self"})
}

// TestRelayThatTheStoreTurnsAwayIsReplaced checks that another instance of the
// region takes its place, that it may come back, and that a region of which all
// are cut off still has one.
func TestRelayThatTheStoreTurnsAwayIsReplaced(t *testing.T) {
	m, c := newMembers()
	for i := range 3 {
		m.Learn(true, member(fmt.Sprintf("n%d", i), "north", 1))
	}
	say := func(name string, cut bool) {
		x := member(name, "north", 1)
		x.Cut = cut
		m.Learn(true, x)
	}
	relay := func() string { return m.Relays()[0].Name }
	seen := map[string]bool{}
	for range 4 {
		r := relay()
		assert.Assert(t, !seen[r], "%s was told to be cut off", r)
		seen[r] = true
		if r == "self" {
			assert.Assert(t, m.StoreCalled(false))
			assert.Assert(t, !m.StoreCalled(false), "told once")
		} else {
			say(r, true)
		}
	}
	assert.Assert(t, seen[relay()], "all are cut off")
	say("n1", false)
	assert.Equal(t, relay(), "n1")
	say("n1", true)
	m.StoreCalled(true)
	assert.Assert(t, m.Self().Cut, "one answer may be luck")
	c.now += cutLeast
	assert.Equal(t, relay(), "self")
	m.StoreCalled(false)
	c.now += cutFor
	assert.Assert(t, !m.Self().Cut, "it may try again")
}

// TestLargeRegionIsToldInTurns checks that of more instances than are told at a
// beat each is told within the beats that a turn takes, and counts as alive that
// long.
func TestLargeRegionIsToldInTurns(t *testing.T) {
	for _, n := range []int{10, 24, 25, 30, 103} {
		m, c := newMembers()
		var all []Member
		for i := range n {
			all = append(all, member(fmt.Sprintf("n%03d", i), "north", 1))
		}
		m.Learn(true, all...)
		b := &Beats{members: m}
		turn := (n + nearBeats - 1) / nearBeats
		last := make(map[string]int)
		for beat := 1; beat <= 5*turn; beat++ {
			told := b.inTurn(m.All())
			assert.Assert(t, len(told) <= nearBeats)
			for _, x := range told {
				last[x.Name] = beat
			}
			if beat < turn {
				continue
			}
			for _, x := range all {
				assert.Assert(t, beat-last[x.Name] < turn, "%d of %d: %s at beat %d", n, beat, x.Name, last[x.Name])
			}
		}
		// One datagram of each may be lost, unless the region is very large.
		c.now += min(time.Duration(2*turn)*Beat+Beat/2, longestAlive)
		assert.Equal(t, len(m.Live()), n+1, "%d", n)
		c.now += 4 * time.Duration(turn) * Beat
		assert.Equal(t, len(m.Live()), 1, "%d", n)
	}
}

func TestOneRelayARegion(t *testing.T) {
	m, c := newMembers()
	for i := range 5 {
		m.Learn(true, member(fmt.Sprintf("n%d", i), "north", 1), member(fmt.Sprintf("s%d", i), "south", 1))
	}
	r := m.Relays()
	assert.Equal(t, len(r), 2)
	assert.Equal(t, r[0].Region, "north", "the own region first")
	if r[0].Name != "self" {
		first := r[0].Name
		c.now += aliveFor + 1
		assert.Assert(t, m.Relays()[0].Name != first, "a dead relay is followed by another")
	}
}

// TestInstancesFindEachOther runs the datagrams and calls of three instances
// over loopback.
func TestInstancesFindEachOther(t *testing.T) {
	begun := time.Now()
	now := func() time.Duration { return time.Since(begun) + time.Hour }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var all []*Members
	var beats []*Beats
	for i := range 3 {
		s, err := net.ListenPacket("udp4", "127.0.0.1:0")
		assert.NilError(t, err)
		x := member(fmt.Sprintf("m%d", i), "north", 1)
		x.Peer = s.LocalAddr().String()
		assert.NilError(t, s.Close())
		m := NewMembers(x, now)
		b, err := Listen(m)
		assert.NilError(t, err)
		go b.Run(ctx)
		all, beats = append(all, m), append(beats, b)
	}
	all[0].Learn(false, all[1].Self(), all[2].Self()) // the last one to start reads of the others
	beats[0].SendAll()
	until(t, func() bool { return len(all[1].Live()) == 2 && len(all[2].Live()) == 2 })
	all[0].Leave()
	beats[0].SendAll()
	until(t, func() bool { return len(all[1].Live()) == 1 && len(all[2].Live()) == 1 })
}

func until(t *testing.T, f func() bool) {
	t.Helper()
	for range 300 {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("not reached")
}

func TestQuestionsAreAnswered(t *testing.T) {
	m, _ := newMembers()
	table := state.NewTable()
	table.Apply(state.Delta{Rows: []state.Row{{Key: "k", Value: []byte("v"), Version: 3}}, Version: 3, Whole: true}, time.Hour)
	server := NewPeers(m, new(net.Dialer).DialContext)
	server.Follower = &state.Follower{Tables: map[string]*state.Table{"t": table}, Now: func() time.Duration { return time.Hour }}
	h := httptest.NewServer(server.Handler())
	defer h.Close()
	address := strings.TrimPrefix(h.URL, "http://")

	asker, _ := newMembers()
	asker.self.Name = "asker"
	relay := member("self", "north", 1)
	relay.Peer = address
	asker.Learn(true, relay)
	p := NewPeers(asker, new(net.Dialer).DialContext)
	p.Follower = &state.Follower{}
	d, ok, err := p.Changes(context.Background(), 0, map[string]int64{}, 50*time.Millisecond)
	assert.NilError(t, err)
	assert.Assert(t, ok)
	assert.Equal(t, string(d["t"].Rows[0].Value), "v")
	d, _, err = p.Changes(context.Background(), 0, map[string]int64{"t": 3}, 20*time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, len(d["t"].Rows), 0)
	assert.NilError(t, p.Fetch(context.Background(), address))
	assert.Assert(t, len(m.All()) == 1, "who asks is learned of")

	for _, body := range []string{"", "{", "[]", `{"after":{"t":"x"}}`} {
		res, err := http.Post(h.URL+PathChanges, "application/json", strings.NewReader(body))
		assert.NilError(t, err)
		res.Body.Close()
		assert.Equal(t, res.StatusCode, http.StatusBadRequest, body)
	}
}
