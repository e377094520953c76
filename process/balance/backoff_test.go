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

// requestBackoff lets a backend server reject a request with a Retry-After time. Its load report
// shows it idle.
func (p *fixture) requestBackoff(t *testing.T, name string, d time.Duration) {
	t.Helper()
	k := p.pickOf(t, name)
	k.ApplyNotice(request.Notice{RetryAfter: d})
	k.Done(Refused, &Report{Slots: 6})
}

// TestBackendIsNotUsedDuringBackoff checks that a backend server gets nothing until its backoff is
// over, and then one request at a time until it has accepted one.
func TestBackendIsNotUsedDuringBackoff(t *testing.T) {
	p := fixtureWith("u", "v")
	earlier := p.pickOf(t, "u") // before the backoff
	p.requestBackoff(t, "u", 3*time.Second)
	p.requestBackoffFor(earlier, time.Second) // the later end counts
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
	assert.Equal(t, byName["u"], 0, "it requested another backoff")
	p.now += time.Millisecond
	p.firstPick(t, "u").Done(Answered, nil)
	byName, _ = p.picks()
	assert.Assert(t, byName["u"] > 100, "it accepts requests again")
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

// requestBackoffFor rejects a request that is in flight with a Retry-After time.
func (p *fixture) requestBackoffFor(k *Pick, d time.Duration) {
	k.ApplyNotice(request.Notice{RetryAfter: d})
	k.Done(Refused, nil)
}

// TestAnswerToOlderRequestEndsNoBackoff checks that the response to a request that was sent before
// the backoff does not end it, and that a request that was chosen but not sent yet is withheld.
func TestAnswerToOlderRequestEndsNoBackoff(t *testing.T) {
	p := fixtureWith("u", "v")
	running, unsent := p.pickOf(t, "u"), p.pickOf(t, "u")
	p.requestBackoff(t, "u", time.Second)
	assert.Assert(t, !unsent.Allowed())
	p.now += 500 * time.Millisecond
	running.Done(Answered, &Report{Running: 1, Slots: 6})
	byName, _ := p.picks()
	assert.Equal(t, byName["u"], 0)
	p.changeRow("u", func(b *version.Backend) { b.Incarnation = 2 })
	byName, _ = p.picks()
	assert.Assert(t, byName["u"] > 0, "it restarted")
}

// TestRetryAfterAnswerLeavesEstimatesUnchanged checks that a backend server that rejects
// everything does not look less busy or quicker because of it, neither to this instance nor in
// gossip.
func TestRetryAfterAnswerLeavesEstimatesUnchanged(t *testing.T) {
	p := fixtureWith("u", "v")
	p.pickOf(t, "u").Done(Answered, &Report{Running: 5, Waiting: 2, Slots: 6})
	u := p.stateOf("u")
	load, work, share := u.load(p.now), u.work, u.share
	p.requestBackoff(t, "u", time.Second)
	k := p.pickOf(t, "v")
	k.backend = u // a 503 of the backend server itself, after it ran the request
	u.inFlight++
	k.ApplyNotice(request.Notice{RetryAfter: time.Second})
	k.Done(Answered, &Report{Slots: 6})
	assert.Equal(t, u.load(p.now), load)
	assert.Equal(t, u.work, work)
	assert.Equal(t, u.share, share)
}

// TestLastAttemptDoesNotTestBackoff checks that a request on its last attempt does not
// test whether a backoff is over, while others can accept it.
func TestLastAttemptDoesNotTestBackoff(t *testing.T) {
	p := fixtureWith("u", "v", "w")
	p.requestBackoff(t, "u", time.Second)
	p.now += time.Second
	lastAttempt := func(object uint64) string {
		q := p.query(object)
		q.Tried = []string{"w"}
		k, _ := p.Pick(q)
		assert.Assert(t, k != nil)
		k.Done(Abandoned, nil)
		return k.Name
	}
	for object := range uint64(100) {
		assert.Equal(t, lastAttempt(object+1), "v")
	}
	p.changeRow("v", func(b *version.Backend) { b.Leaving = true })
	assert.Equal(t, lastAttempt(1), "u", "no other can accept it")
	p.changeRow("v", func(b *version.Backend) { b.Leaving = false })
	p.now += retryableTrialsFor
	got := 0
	for object := range uint64(100) {
		if lastAttempt(object+1) == "u" {
			got++
		}
	}
	assert.Assert(t, got > 0, "no retryable request came")
}

// TestRetryAfterIsShortestBackoff checks the retry-after time of a refusal, and that it is the
// usual one if a backend server was excluded for another reason.
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

// TestGossipedBackoffMakesLastResort checks that a backoff learned by gossip refuses no request,
// ends by itself and with a response to this instance, and is not gossiped further.
func TestGossipedBackoffMakesLastResort(t *testing.T) {
	a, b, _ := twoInstances("u", "v")
	a.requestBackoff(t, "u", 1990*time.Millisecond)
	gossip := a.Observations(noSizeLimit)
	assert.Equal(t, len(gossip), observationBytes)
	b.ApplyObservations(gossip)
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
	assert.Assert(t, byName["u"] > 0, "it accepted a request of this instance")
	b.ApplyObservations(gossip)
	b.now += 1800 * time.Millisecond
	byName, _ = b.picks()
	assert.Equal(t, byName["u"], 0)
	b.now += 100 * time.Millisecond
	byName, _ = b.picks()
	assert.Assert(t, byName["u"] > 0, "1.99 s is rounded down to 1.9 s")
	a.now += 1900 * time.Millisecond
	assert.Equal(t, len(a.Observations(noSizeLimit)), 0, "too little time is left")
}

// TestNoRequestDuringBackoff draws responses, backoffs, gossip, rows, restarts and clock jumps in
// any order. No request may be chosen or sent while an incarnation of a backend server is backing
// off. Once the backoff is over and no other request is in flight, a retryable request must be
// sent to it.
func TestNoRequestDuringBackoff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := fixtureWith("u")
		until, incarnation := time.Duration(0), int64(1)
		var inFlight []*Pick
		t.Repeat(map[string]func(*rapid.T){
			"time":    func(t *rapid.T) { p.now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond },
			"suspend": func(*rapid.T) { p.now += time.Minute },
			"gossip":  func(*rapid.T) { p.ApplyObservations(p.appendEntry(nil, 0, 20, loadBackoff)) },
			"row":     func(*rapid.T) { p.changeRow("u", func(b *version.Backend) { b.Slots++ }) },
			"restart": func(*rapid.T) {
				incarnation++
				until, inFlight = 0, nil
				p.changeRow("u", func(b *version.Backend) { b.Incarnation = incarnation })
			},
			"send": func(t *rapid.T) {
				k, _ := p.Pick(p.query(rapid.Uint64Range(1, 50).Draw(t, "object")))
				if k == nil {
					assert.Assert(t, p.now < until || len(inFlight) > 0, "it gets no request after the backoff")
					return
				}
				assert.Assert(t, p.now >= until, "%s before the end of the backoff", until-p.now)
				inFlight = append(inFlight, k)
			},
			"answer": func(t *rapid.T) {
				if len(inFlight) == 0 {
					return
				}
				k := inFlight[0]
				inFlight = inFlight[1:]
				if d := rapid.IntRange(0, 4000).Draw(t, "backoff"); d > 0 {
					backoff := time.Duration(d) * time.Millisecond
					k.ApplyNotice(request.Notice{RetryAfter: backoff})
					until = max(until, p.now+backoff)
				}
				k.Done(Refused, &Report{Slots: 6})
			},
			"": func(t *rapid.T) {
				for _, k := range inFlight {
					assert.Equal(t, k.Allowed(), p.now >= until)
				}
			},
		})
	})
}
