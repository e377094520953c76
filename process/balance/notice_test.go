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

// changeRow changes the row of a backend server.
func (p *fixture) changeRow(name string, change func(*version.Backend)) {
	key := version.Key{Kind: version.KindBackend, Name: name}
	b := *p.config.Resources[key].Backend
	change(&b)
	p.put(version.Resource{Key: key, Backend: &b})
	p.install()
}

// notify lets a backend server send a notice in a response.
func (p *fixture) notify(t *testing.T, name string, n request.Notice) {
	t.Helper()
	k := p.pickOf(t, name)
	k.ApplyNotice(n)
	k.Done(Answered, nil)
}

// picks counts by name which backend servers get the requests for many objects.
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

// fixtureWith returns a fixture with backend servers of the default service.
func fixtureWith(names ...string) *fixture {
	p := newFixture(1)
	p.LeavingGrace = time.Second
	for _, name := range names {
		p.backend(name, 0, func(b *version.Backend) { b.Incarnation = 1 })
	}
	p.install()
	return p
}

// TestLeavingNoticeOverridesRow checks what cancels a notice that a backend server is leaving. A
// newer row that never said so does not.
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
	assert.Assert(t, !gets(p), "the row changed in another field")
	p.changeRow("u", func(b *version.Backend) { b.Leaving = true })
	assert.Assert(t, !gets(p))
	assert.Equal(t, p.leavingCount(), 0, "the row says so")
	p.changeRow("u", func(b *version.Backend) { b.Leaving = false })
	assert.Assert(t, gets(p), "the row said so and no longer does")
	p.notify(t, "u", leavingNotice)
	p.changeRow("u", func(b *version.Backend) { b.Incarnation = 2 })
	assert.Assert(t, gets(p), "it restarted")
}

// TestLeavingNoticeOutlivesRow checks that a backend server whose row expires while the store is
// unavailable, and reappears unchanged, is still known to be leaving, and that notices are
// dropped after a while.
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
	assert.Assert(t, len(p.notices) <= int(noticeRetention/time.Second)+1, "%d notices are kept", len(p.notices))
}

// TestLeavingBackendIsLastResort checks that a leaving backend server gets requests that no other
// can accept, because the others are gone or full, and only during LeavingGrace.
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
	assert.Assert(t, !k.Allowed(), "a request that was chosen before is not sent")
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

// TestLeavingNoticeSpreadsByGossip checks that an instance that learns by gossip that a backend
// server is leaving avoids it, that this causes no refusal, and that it expires.
func TestLeavingNoticeSpreadsByGossip(t *testing.T) {
	a, b, _ := twoInstances("u", "v")
	a.notify(t, "u", leavingNotice)
	gossip := a.Observations(noSizeLimit)
	assert.Equal(t, len(gossip), observationBytes)
	b.ApplyObservations(gossip)
	byName, refused := b.picks()
	assert.Equal(t, byName["u"], 0)
	assert.Equal(t, refused, 0)
	assert.Equal(t, len(b.Observations(noSizeLimit)), observationBytes, "passed on while it is new")
	b.now += observationTTL
	assert.Equal(t, len(b.Observations(noSizeLimit)), 0)
	a.now += time.Hour
	assert.Equal(t, len(a.Observations(noSizeLimit)), observationBytes, "announced as long as the row does not say so")
	a.changeRow("u", func(b *version.Backend) { b.Leaving = true })
	assert.Equal(t, len(a.Observations(noSizeLimit)), 0)

	b.changeRow("v", func(b *version.Backend) { b.Leaving = true })
	b.now += time.Second
	_, refused = b.picks()
	assert.Equal(t, refused, 0, "gossip causes no refusal")
	b.changeRow("v", func(b *version.Backend) { b.Leaving = false })
	b.now += leavingGossipTTL
	byName, _ = b.picks()
	assert.Assert(t, byName["u"] > 0, "the gossip has expired")
}

// TestNoticesTakeAtMostHalfOfGossip checks that however many backend servers are leaving, failures
// are announced as well, and each leaving one within some heartbeats.
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
			p.noticesOf(u, p.now).leaving.recordResponse(p.now)
			continue
		}
		if i%5 == 0 {
			u.observed = observation{at: p.now, load: loadUnreachable}
		}
	}
	p.respond()
	entries := make(map[byte]int)
	leaving := make(map[[4]byte]bool)
	for range 40 {
		gossip := p.Observations(size)
		assert.Assert(t, len(gossip) <= size)
		for len(gossip) > 0 {
			entries[gossip[5]]++
			if gossip[5] == loadLeaving {
				leaving[[4]byte(gossip[:4])] = true
			}
			gossip = gossip[observationBytes:]
		}
	}
	assert.Equal(t, entries[loadLeaving], 40*size/2/observationBytes)
	assert.Equal(t, entries[loadUnreachable], 40*backends/10)
	assert.Equal(t, len(leaving), backends/2)
}

// TestNoRequestAfterLeavingGrace draws responses, rows, gossip, restarts and clock jumps (as after a
// suspension of the machine) in any order. LeavingGrace after an incarnation of a backend server
// notified this instance that it is leaving, no request may be chosen for it or sent to it, until
// a row that said so as well cancels the notice.
func TestNoRequestAfterLeavingGrace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := fixtureWith("u", "v")
		notifiedAt := time.Duration(0) // when u sent its notice; zero: not
		rowLeaving := false
		incarnation := int64(1)
		var chosen *Pick // for u, not sent yet
		expired := func() bool { return notifiedAt != 0 && p.now-notifiedAt >= p.LeavingGrace }
		t.Repeat(map[string]func(*rapid.T){
			"time":    func(t *rapid.T) { p.now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond },
			"suspend": func(*rapid.T) { p.now += time.Minute },
			"gossip": func(*rapid.T) {
				p.ApplyObservations(p.appendEntry(nil, int32(p.indexOf("u")), 0, loadLeaving))
			},
			"row": func(t *rapid.T) {
				before := rowLeaving
				rowLeaving = rapid.Bool().Draw(t, "leaves")
				if before && !rowLeaving {
					notifiedAt = 0
				}
				p.changeRow("u", func(b *version.Backend) { b.Leaving = rowLeaving })
			},
			"restart": func(*rapid.T) {
				incarnation++
				notifiedAt, chosen = 0, nil
				p.changeRow("u", func(b *version.Backend) { b.Incarnation, b.Leaving = incarnation, false })
				rowLeaving = false
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
				assert.Assert(t, !expired(), "chosen %s after its notice", p.now-notifiedAt)
				k.ApplyNotice(leavingNotice)
				if notifiedAt == 0 {
					notifiedAt = p.now
				}
				k.Done(Answered, nil)
				chosen = k
			},
			"send": func(t *rapid.T) {
				if chosen != nil && expired() {
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
