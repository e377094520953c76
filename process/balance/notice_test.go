// SPDX-License-Identifier: MIT

package balance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"shalewick/request"
	"shalewick/version"
)

var leavingNotice = request.Notice{Leaving: true}

// row changes the row of a backend server.
func (p *fixture) changeRow(name string, change func(*version.Backend)) {
	key := version.Key{Kind: version.KindBackend, Name: name}
	b := *p.config.Resources[key].Backend
	change(&b)
	p.put(version.Resource{Key: key, Backend: &b})
	p.install()
}

// heed lets a backend server tell a table something in an answer.
func (p *fixture) notify(t *testing.T, name string, n request.Notice) {
	t.Helper()
	k := p.pickOf(t, name)
	k.ApplyNotice(n)
	k.Done(Answered, nil)
}

// picks counts by name which backend servers get requests for many objects.
func (p *fixture) picks() (byName map[string]int, refused int) {
	byName = make(map[string]int)
	for object := range uint64(300) {
		k, _ := p.Pick(p.query(object + 1))
		if k == nil {
			refused++
			continue
		}
		k.Done(Abandoned, nil)
		byName[k.Name]++
	}
	return byName, refused
}

// placeOf returns a place with backend servers of a service that bounds nothing.
func fixtureWith(names ...string) *fixture {
	p := newFixture(1)
	p.LeavingGrace = time.Second
	for _, name := range names {
		p.backend(name, 0, func(b *version.Backend) { b.Incarnation = 1 })
	}
	p.install()
	return p
}

// TestAnswerThatItLeavesOutweighsTheRow checks what takes the word of an answer back, and
// what does not: a newer row that never said that it leaves does not.
func TestLeavingNoticeOverridesRow(t *testing.T) {
	gets := func(p *fixture) bool {
		byName, refused := p.picks()
		assert.Equal(t, refused, 0)
		return byName["u"] > 0
	}
	p := fixtureWith("u", "v", "w")
	p.notify(t, "u", leavingNotice)
	assert.Assert(t, !gets(p))
	assert.Equal(t, p.leavingCount(), 1)
	p.changeRow("u", func(b *version.Backend) { b.Slots = 9 })
	p.now += time.Hour
	assert.Assert(t, !gets(p), "its row says something else that is new")
	p.changeRow("u", func(b *version.Backend) { b.Leaving = true })
	assert.Assert(t, !gets(p))
	assert.Equal(t, p.leavingCount(), 0, "its row tells it")
	p.changeRow("u", func(b *version.Backend) { b.Leaving = false })
	assert.Assert(t, gets(p), "its row said so, and took it back")
	p.notify(t, "u", leavingNotice)
	p.changeRow("u", func(b *version.Backend) { b.Incarnation = 2 })
	assert.Assert(t, gets(p), "it started again")
}

// TestAnswerThatItLeavesOutlivesTheRow checks that a backend server whose row lapses while
// the store is away, and comes back as it was, is still known to leave, and that it is
// forgotten after a while.
func TestLeavingNoticeOutlivesRow(t *testing.T) {
	p := fixtureWith("u", "v")
	p.notify(t, "u", leavingNotice)
	key := version.Key{Kind: version.KindBackend, Name: "u"}
	row := p.config.Resources[key]
	without := func(d time.Duration) {
		delete(p.config.Resources, key)
		p.install()
		p.now += d
		p.install()
		p.put(row)
		p.install()
	}
	without(noticeRetention)
	byName, _ := p.picks()
	assert.Equal(t, byName["u"], 0)
	without(noticeRetention + time.Second)
	byName, _ = p.picks()
	assert.Assert(t, byName["u"] > 0)
	for i := range 1000 {
		p.changeRow("u", func(b *version.Backend) { b.Incarnation = int64(i + 2) })
		p.notify(t, "u", leavingNotice)
		p.now += time.Second
	}
	assert.Assert(t, len(p.notices) <= int(noticeRetention/time.Second)+1, "%d kept", len(p.notices))
}

// TestBackendThatLeavesIsTheLastResort checks that one gets what no other can take, be they
// gone or full, and only until LeaveWithin has passed.
func TestLeavingBackendIsLastResort(t *testing.T) {
	p := fixtureWith("u", "v")
	p.notify(t, "u", leavingNotice)
	v := p.stateOf("v")
	v.recordReport(Report{Running: 6, Waiting: 60, Slots: 6}, p.now)
	k := p.pick(t, 1)
	assert.Equal(t, k.Name, "u")
	assert.Assert(t, k.LastResort && k.Allowed())
	k.Done(Answered, nil)
	p.now += p.LeavingGrace
	assert.Assert(t, !k.Allowed(), "one that was chosen before is withdrawn")
	v.recordReport(Report{Running: 6, Waiting: 60, Slots: 6}, p.now)
	k, refusal := p.Pick(p.query(1))
	assert.Assert(t, k == nil)
	assert.Equal(t, refusal.Code, request.QueueFull)
	assert.Equal(t, refusal.Explanation.Leaving, 1)
	p.changeRow("v", func(b *version.Backend) { b.Leaving = true })
	k, refusal = p.Pick(p.query(1))
	assert.Assert(t, k == nil)
	assert.Equal(t, refusal.Code, request.NoBackend)
}

// TestWordThatABackendLeavesSpreads checks that an instance that was not told itself avoids
// the backend server, that such a word refuses nobody, and that it ends by itself.
func TestLeavingNoticeSpreadsByGossip(t *testing.T) {
	a, b, _ := twoInstances("u", "v")
	a.notify(t, "u", leavingNotice)
	told := a.Observations(noSizeLimit)
	assert.Equal(t, len(told), observationBytes)
	b.ApplyObservations(told)
	byName, refused := b.picks()
	assert.Equal(t, byName["u"], 0)
	assert.Equal(t, refused, 0)
	assert.Equal(t, len(b.Observations(noSizeLimit)), observationBytes, "passed on while it is new")
	b.now += observationTTL
	assert.Equal(t, len(b.Observations(noSizeLimit)), 0)
	a.now += time.Hour
	assert.Equal(t, len(a.Observations(noSizeLimit)), observationBytes, "told for as long as its row does not")
	a.changeRow("u", func(b *version.Backend) { b.Leaving = true })
	assert.Equal(t, len(a.Observations(noSizeLimit)), 0)

	b.changeRow("v", func(b *version.Backend) { b.Leaving = true })
	b.now += time.Second
	_, refused = b.picks()
	assert.Equal(t, refused, 0, "the word of others refuses nobody")
	b.changeRow("v", func(b *version.Backend) { b.Leaving = false })
	b.now += leavingGossipTTL
	byName, _ = b.picks()
	assert.Assert(t, byName["u"] > 0, "it was not told again")
}

// TestNoticesTakeHalfOfTheRoomAtMost checks that however many leave, others are told of
// failures as well, and of each that leaves within some beats.
func TestNoticesTakeAtMostHalfOfGossip(t *testing.T) {
	const size, backends = 180, 60
	p := newFixture(1)
	for i := range backends {
		p.backend(fmt.Sprintf("u%d", i), 0, nil)
	}
	p.install()
	for i := range p.states {
		u := p.state(int32(i))
		if i%2 == 0 {
			p.noticesOf(u, p.now).leaving.recordAnswer(p.now)
			continue
		}
		if i%5 == 0 {
			u.observed = observation{at: p.now, load: loadUnreachable}
		}
	}
	heard := make(map[byte]int)
	about := make(map[[4]byte]bool)
	for range 40 {
		told := p.Observations(size)
		assert.Assert(t, len(told) <= size)
		for len(told) > 0 {
			heard[told[5]]++
			if told[5] == loadLeaving {
				about[[4]byte(told[:4])] = true
			}
			told = told[observationBytes:]
		}
	}
	assert.Equal(t, heard[loadLeaving], 40*size/2/observationBytes)
	assert.Equal(t, heard[loadUnreachable], 40*backends/10)
	assert.Equal(t, len(about), backends/2)
}

// TestNoRequestAfterItsWord draws what instances, rows and the backend server itself may do in
// any order, with the clock jumping as a suspension makes it, and checks the promise: from
// LeaveWithin after a start of a backend server has told this instance that it leaves, it is
// chosen for nothing, and nothing that was chosen may be sent, until a row that said so, too,
// takes it back.
func TestNoRequestAfterLeavingGrace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := fixtureWith("u", "v")
		told := time.Duration(0) // when u told it; zero: not
		rowLeaves := false
		incarnation := int64(1)
		var chosen *Pick // of u, not sent yet
		broken := func() bool { return told != 0 && p.now-told >= p.LeavingGrace }
		t.Repeat(map[string]func(*rapid.T){
			"time":    func(t *rapid.T) { p.now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond },
			"suspend": func(*rapid.T) { p.now += time.Minute },
			"rumour": func(*rapid.T) {
				p.ApplyObservations(p.appendEntry(nil, int32(p.indexOf("u")), 0, loadLeaving))
			},
			"row": func(t *rapid.T) {
				before := rowLeaves
				rowLeaves = rapid.Bool().Draw(t, "leaves")
				if before && !rowLeaves {
					told = 0
				}
				p.changeRow("u", func(b *version.Backend) { b.Leaving = rowLeaves })
			},
			"start": func(*rapid.T) {
				incarnation++
				told, chosen = 0, nil
				p.changeRow("u", func(b *version.Backend) { b.Incarnation, b.Leaving = incarnation, false })
				rowLeaves = false
			},
			"answer": func(t *rapid.T) {
				k, _ := p.Pick(p.query(rapid.Uint64Range(1, 50).Draw(t, "object")))
				if k == nil {
					return
				}
				if k.Name != "u" {
					k.Done(Answered, nil)
					return
				}
				assert.Assert(t, !broken(), "chosen %s after its word", p.now-told)
				k.ApplyNotice(leavingNotice)
				if told == 0 {
					told = p.now
				}
				k.Done(Answered, nil)
				chosen = k
			},
			"send": func(t *rapid.T) {
				if chosen != nil && broken() {
					assert.Assert(t, !chosen.Allowed())
				}
			},
		})
	})
}

func (p *fixture) leavingCount() int {
	leaving, _ := p.Notices()
	return leaving
}

func (p *fixture) indexOf(name string) int {
	for i := range p.routing.Backends {
		if p.routing.Backends[i].Name == name {
			return i
		}
	}
	return -1
}
