// SPDX-License-Identifier: MIT

package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"shalewick/request"
	"shalewick/version"
)

// turnAway lets a backend server turn a request away and ask for rest. Its load report says
// that it is idle.
func (p *fixture) requestBackoff(t *testing.T, name string, d time.Duration) {
	t.Helper()
	k := p.pickOf(t, name)
	k.ApplyNotice(request.Notice{RetryAfter: d})
	k.Done(Refused, &Report{Slots: 6})
}

// TestBackendGetsTheRestItAsksFor checks that nothing goes there until the rest is over, and
// then one request at a time until it has taken one.
func TestBackendIsNotUsedDuringBackoff(t *testing.T) {
	p := fixtureWith("u", "v")
	sent := p.pickOf(t, "u") // before it asked
	p.requestBackoff(t, "u", 3*time.Second)
	p.requestBackoffFor(sent, time.Second) // the later end counts
	for range 30 {
		p.now += 99 * time.Millisecond
		byName, refused := p.picks()
		assert.Equal(t, byName["u"], 0, "%s", p.now)
		assert.Equal(t, refused, 0)
	}
	p.now += 30 * time.Millisecond
	k := p.firstPick(t, "u")
	byName, _ := p.picks()
	assert.Equal(t, byName["u"], 0, "one at a time")
	k.ApplyNotice(request.Notice{RetryAfter: time.Second})
	k.Done(Refused, nil)
	p.now += 999 * time.Millisecond
	byName, _ = p.picks()
	assert.Equal(t, byName["u"], 0, "it asked again")
	p.now += time.Millisecond
	p.firstPick(t, "u").Done(Answered, nil)
	byName, _ = p.picks()
	assert.Assert(t, byName["u"] > 100, "it takes requests again")
}

// firstPick returns the first request that goes to a backend server.
func (p *fixture) firstPick(t *testing.T, name string) *Pick {
	t.Helper()
	for object := uint64(1); object < 1000; object++ {
		k := p.pick(t, object)
		if k.Name == name {
			return k
		}
		k.Done(Abandoned, nil)
	}
	t.Fatal("no request")
	return nil
}

// turnedAwayAgain lets a request that is under way be turned away, too.
func (p *fixture) requestBackoffFor(k *Pick, d time.Duration) {
	k.ApplyNotice(request.Notice{RetryAfter: d})
	k.Done(Refused, nil)
}

// TestAnswerSentBeforeItEndsNoRest checks that a request that the backend server ran since
// before it asked for rest tells nothing, and that one that is sent now is withheld.
func TestAnswerToOlderRequestEndsNoBackoff(t *testing.T) {
	p := fixtureWith("u", "v")
	runs, waits := p.pickOf(t, "u"), p.pickOf(t, "u")
	p.requestBackoff(t, "u", time.Second)
	assert.Assert(t, !waits.Allowed())
	p.now += 500 * time.Millisecond
	runs.Done(Answered, &Report{Running: 1, Slots: 6})
	byName, _ := p.picks()
	assert.Equal(t, byName["u"], 0)
	p.changeRow("u", func(b *version.Backend) { b.Incarnation = 2 })
	byName, _ = p.picks()
	assert.Assert(t, byName["u"] > 0, "it started again")
}

// TestRefusalThatAsksForRestTeachesNothing checks that a backend server that turns everything
// away looks no less busy and no quicker for it, neither here nor to others.
func TestRetryAfterAnswerLeavesEstimatesUnchanged(t *testing.T) {
	p := fixtureWith("u", "v")
	p.pickOf(t, "u").Done(Answered, &Report{Running: 5, Waiting: 2, Slots: 6})
	u := p.stateOf("u")
	load, work, share := u.load(p.now), u.work, u.share
	p.requestBackoff(t, "u", time.Second)
	k := p.pickOf(t, "v")
	k.backend = u // an answer of the backend server's own, a 503 that it ran
	u.inFlight++
	k.ApplyNotice(request.Notice{RetryAfter: time.Second})
	k.Done(Answered, &Report{Slots: 6})
	assert.Equal(t, u.load(p.now), load)
	assert.Equal(t, u.work, work)
	assert.Equal(t, u.share, share)
}

// TestOnlyWhoMayBeSentOnFindsOut checks that a request that is on its last attempt is not
// the one that finds out whether a rest is over, while others can take it.
func TestOnlyRetryableRequestsProbeAfterBackoff(t *testing.T) {
	p := fixtureWith("u", "v", "w")
	p.requestBackoff(t, "u", time.Second)
	p.now += time.Second
	last := func(object uint64) string {
		q := p.query(object)
		q.Tried = []string{"w"}
		k, _ := p.Pick(q)
		assert.Assert(t, k != nil)
		k.Done(Abandoned, nil)
		return k.Name
	}
	for object := range uint64(100) {
		assert.Equal(t, last(object+1), "v")
	}
	p.changeRow("v", func(b *version.Backend) { b.Leaving = true })
	assert.Equal(t, last(1), "u", "no other can take it")
	p.changeRow("v", func(b *version.Backend) { b.Leaving = false })
	p.now += retryableTrialsFor
	got := 0
	for object := range uint64(100) {
		if last(object+1) == "u" {
			got++
		}
	}
	assert.Assert(t, got > 0, "nobody who might came")
}

// TestRefusalSaysWhenTheFirstRestIsOver checks the time to come back, and that it is the usual
// one if other reasons kept a backend server from being taken.
func TestRetryAfterIsShortestBackoff(t *testing.T) {
	p := fixtureWith("u", "v")
	p.requestBackoff(t, "u", 5*time.Second)
	p.requestBackoff(t, "v", 2*time.Second)
	k, refusal := p.Pick(p.query(1))
	assert.Assert(t, k == nil)
	assert.Equal(t, refusal.Code, request.NoBackend)
	assert.Equal(t, refusal.Explanation.BackedOff, 2)
	assert.Assert(t, refusal.RetryAfter >= 2*time.Second && refusal.RetryAfter < 2*time.Second+2*p.Policy.NoBackendRetryAfter, "%s", refusal.RetryAfter)
	p.backend("w", 0, nil)
	p.install()
	p.pick(t, 1).Done(Unreachable, nil)
	_, refusal = p.Pick(p.query(1))
	assert.Assert(t, refusal.RetryAfter < 2*p.Policy.NoBackendRetryAfter, "%s", refusal.RetryAfter)
}

// TestRestOfAnotherInstanceIsAvoided checks that what another instance was asked for keeps
// nothing from being served, ends by itself and with an own answer, and is not passed on.
func TestGossipedBackoffMakesLastResort(t *testing.T) {
	a, b, _ := twoInstances("u", "v")
	a.requestBackoff(t, "u", 1990*time.Millisecond)
	told := a.Observations(noSizeLimit)
	assert.Equal(t, len(told), observationBytes)
	b.ApplyObservations(told)
	byName, refused := b.picks()
	assert.Equal(t, byName["u"], 0)
	assert.Equal(t, refused, 0)
	assert.Equal(t, len(b.Observations(noSizeLimit)), 0, "not passed on")
	b.changeRow("v", func(b *version.Backend) { b.Leaving = true })
	k := b.pick(t, 1)
	assert.Assert(t, k.Name == "u" && k.LastResort && k.Allowed())
	b.now += time.Millisecond
	k.Done(Answered, nil)
	b.changeRow("v", func(b *version.Backend) { b.Leaving = false })
	byName, _ = b.picks()
	assert.Assert(t, byName["u"] > 0, "it took a request of this instance")
	b.ApplyObservations(told)
	b.now += 1800 * time.Millisecond
	byName, _ = b.picks()
	assert.Equal(t, byName["u"], 0)
	b.now += 100 * time.Millisecond
	byName, _ = b.picks()
	assert.Assert(t, byName["u"] > 0, "rounded down, it was 1.9 s")
	a.now += 1900 * time.Millisecond
	assert.Equal(t, len(a.Observations(noSizeLimit)), 0, "too little is left")
}

// TestNoRequestWithinARest draws answers, rests, rumours, rows, starts and jumps of the clock in
// any order and checks the promise: no request is chosen, and none that was chosen may be
// sent, while a start of a backend server wants rest; and once that is over and a request
// that may be sent on comes alone, it is chosen again.
func TestNoRequestDuringBackoff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := fixtureWith("u")
		until, incarnation := time.Duration(0), int64(1)
		var flying []*Pick
		t.Repeat(map[string]func(*rapid.T){
			"time":    func(t *rapid.T) { p.now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond },
			"suspend": func(*rapid.T) { p.now += time.Minute },
			"rumour":  func(*rapid.T) { p.ApplyObservations(p.appendEntry(nil, 0, 20, loadBackoff)) },
			"row":     func(*rapid.T) { p.changeRow("u", func(b *version.Backend) { b.Slots++ }) },
			"start": func(*rapid.T) {
				incarnation++
				until, flying = 0, nil
				p.changeRow("u", func(b *version.Backend) { b.Incarnation = incarnation })
			},
			"send": func(t *rapid.T) {
				k, _ := p.Pick(p.query(rapid.Uint64Range(1, 50).Draw(t, "object")))
				if k == nil {
					assert.Assert(t, p.now < until || len(flying) > 0, "it is not asked")
					return
				}
				assert.Assert(t, p.now >= until, "%s before the end", until-p.now)
				flying = append(flying, k)
			},
			"answer": func(t *rapid.T) {
				if len(flying) == 0 {
					return
				}
				k := flying[0]
				flying = flying[1:]
				if d := rapid.IntRange(0, 4000).Draw(t, "rest"); d > 0 {
					rest := time.Duration(d) * time.Millisecond
					k.ApplyNotice(request.Notice{RetryAfter: rest})
					until = max(until, p.now+rest)
				}
				k.Done(Refused, &Report{Slots: 6})
			},
			"": func(t *rapid.T) {
				for _, k := range flying {
					assert.Equal(t, k.Allowed(), p.now >= until)
				}
			},
		})
	})
}
