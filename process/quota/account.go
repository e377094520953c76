// SPDX-License-Identifier: MIT

package quota

import (
	"math"
	"time"
)

// account is what an instance holds for a workspace and knows of it.
type account struct {
	hash  uint64
	limit limit
	equal float64 // rate of this instance if all used equally much
	rand  func() float64

	tokens    float64       // in hand
	grantedAt time.Duration // when the last of them were granted
	spent     float64       // requests let in that the owner does not know of
	scarce    bool          // the owner's bucket is less than half full

	// trusted is set where each instance may let a request in before the owner is told:
	// all together stay within half of what a limit may be passed by. mostCredit
	// bounds what it may let in, within a quarter of that if it is more than one.
	trusted    bool
	mostCredit float64
	dryUntil   time.Duration // until when the owner is not expected to have a token

	wanted  meter // requests that came
	entered meter // requests that were let in
	cameAt  time.Duration

	owner      string
	local      bool // the owner is this instance
	pending    *ask // sent and not answered
	seq        byte // of the last ask; the first is any, since owners remember that of an earlier start
	askedAt    time.Duration
	unanswered int
	told       bool          // some owner has answered
	heardAt    time.Duration // when it did last
	answered   chan struct{} // closed with the next answer; nil: nobody waits
	waiting    int           // requests that have waited for it
	released   bool          // nothing was used since the tokens were given back

	share       float64       // part of the rate that falls to this instance; zero: not known
	sharedAt    time.Duration // when it was worked out last
	part        float64       // the part of that within which it stays until sharedUntil
	sharedUntil time.Duration
	shared      pace
	alone       pace // the zero value while the owner answers
}

// come notes that a request has come.
func (a *account) come(now time.Duration) {
	a.wanted.add(1, now)
	a.cameAt = now
	a.released = false
}

// admits lets a request in, if there is a token for it, or the owner has plenty.
func (a *account) admits(now time.Duration) bool {
	if now-a.grantedAt > tokenLife {
		a.tokens = 0
	}
	if now < a.sharedUntil {
		within := a.part * a.shareNow()
		if !a.shared.has(within, depthOf(within), now) {
			return false
		}
	}
	if !a.covered(now) {
		return false
	}
	if now < a.sharedUntil {
		a.shared.used++
	}
	a.entered.add(1, now)
	return true
}

// covered reports whether there is a token, or something in its place, and uses it.
func (a *account) covered(now time.Duration) bool {
	switch {
	case a.tokens >= 1:
		a.tokens--
		return true
	case a.onItsOwn():
		return a.coveredAlone(now)
	case a.trusted && a.told && !a.scarce && a.spent < a.credit(now):
		a.spent++
		return true
	case a.unanswered > 0:
		return a.coveredAlone(now) // the workspace may be far below its limit
	}
	return false
}

// coveredAlone lets a request in while no owner answers, within a part of the share.
func (a *account) coveredAlone(now time.Duration) bool {
	rate := a.limit.alone * a.shareNow()
	if a.alone.at == 0 {
		a.alone = emptyPace(rate, now)
	}
	if !a.alone.has(rate, depthOf(rate), now) {
		return false
	}
	a.alone.used++
	a.spent++
	return true
}

// depthOf is what may come at once where an instance stays within a rate.
func depthOf(rate float64) float64 { return rate*ahead.Seconds() + leastCredit }

// emptyPace returns a pace that lets little through at first: when an instance loses
// its owner, the tokens that it had just got are in the same window. What comes while an
// answer is awaited gets in, or the first requests after each loss would be refused.
func emptyPace(rate float64, now time.Duration) pace {
	return pace{used: depthOf(rate) - rate*answerTime.Seconds(), at: now}
}

// worthWaiting returns what is closed with the next answer of the owner, if that may
// bring a token: one was asked for, and the answer before was not that there is none.
func (a *account) worthWaiting(now time.Duration) <-chan struct{} {
	if a.pending == nil || a.onItsOwn() || now < a.dryUntil {
		return nil
	}
	a.waiting++
	if a.answered == nil {
		a.answered = make(chan struct{})
	}
	return a.answered
}

// onItsOwn reports whether there is no owner that answers.
func (a *account) onItsOwn() bool { return a.owner == "" || a.unanswered >= aloneAfter }

// credit is the number of requests that may come in before the owner is told.
func (a *account) credit(now time.Duration) float64 {
	return min(a.mostCredit, leastCredit+a.wanted.now(now)*creditTime.Seconds())
}

// noteShare works out the part of the workspace's rate that falls to this instance:
// what it uses, relative to what all use, smoothed since at the start of a flood the
// first is known before the second. While it has to stay within a share, that
// is kept: the owner that it has turned to does not know yet what all use.
func (a *account) noteShare(used float64, now time.Duration) {
	if now < a.sharedUntil {
		return
	}
	if a.sharedAt == 0 {
		a.sharedAt = now
	}
	share := min(a.limit.rate, a.entered.now(now)/max(leastUsed, used))
	a.share += (share - a.share) * (1 - math.Exp(-float64(now-a.sharedAt)/float64(shareTime)))
	a.sharedAt = now
}

// shareNow is that part as of the last answer, or an equal one.
func (a *account) shareNow() float64 { return max(a.share, a.equal) }

// giveBack takes back the token of a request that has not run.
func (a *account) giveBack() {
	if a.spent >= 1 {
		a.spent--
		return
	}
	a.tokens++
}

// short reports whether the owner should be asked at once: no more can come in, or
// soon none.
func (a *account) short(now time.Duration) bool {
	if a.pending != nil {
		return now-a.askedAt >= answerTime
	}
	if a.tokens >= 1 || now < a.dryUntil && now-a.askedAt < askPause && !a.local {
		return false
	}
	return a.scarce || !a.trusted || !a.told || a.spent+leastCredit >= a.credit(now)
}

// due reports whether the owner should be asked or told something at a tick.
func (a *account) due(now time.Duration) bool {
	switch {
	case a.pending != nil:
		return now-a.askedAt >= answerTime
	case a.spent > 0:
		return true
	case a.idle(now) > releaseAfter:
		return !a.released
	case !a.released && now-a.askedAt >= tellPause:
		return true // so that the owner knows that this instance still reaches it
	}
	return a.want(now) > 0 || a.stranded(now)
}

func (a *account) idle(now time.Duration) time.Duration { return now - a.cameAt }

// want is the number of tokens that are lacking for the demand to come: one at least,
// so that the next request does not have to wait.
func (a *account) want(now time.Duration) float64 {
	of := ahead
	if a.scarce {
		of = aheadScarce
	}
	have := a.tokens
	if now-a.grantedAt > tokenLife {
		have = 0
	}
	want := a.wanted.now(now) * of.Seconds()
	if !a.scarce || a.idle(now) < askPause {
		want = max(want, 1, float64(a.waiting))
	}
	return max(0, want-have)
}

// stranded reports whether there are tokens that others need more.
func (a *account) stranded(now time.Duration) bool {
	return a.scarce && a.tokens >= 1 && now-a.grantedAt > strandedAfter && a.idle(now) > strandedAfter
}

// ask returns what the owner is asked: the same as before, if that was not answered.
func (a *account) ask(now time.Duration) ask {
	a.askedAt = now
	if a.pending != nil {
		a.unanswered++
		return *a.pending
	}
	a.seq++
	x := &ask{hash: a.hash, seq: a.seq, spent: whole(a.spent)}
	if a.idle(now) > releaseAfter {
		x.back = whole(a.tokens)
		a.tokens = 0
		a.released = true
		x.release = true
	} else if a.stranded(now) {
		x.back = whole(a.tokens)
		a.tokens = 0
	} else {
		x.want = whole(a.want(now))
	}
	a.spent -= float64(x.spent)
	a.pending = x
	return *x
}

// turnTo notes who the owner is. It reports whether that has not answered for long.
func (a *account) turnTo(o Owner, now time.Duration) (silent bool) {
	if a.owner == o.Name {
		return a.unanswered >= silentAfter
	}
	a.stayWithinShare(now)
	if a.pending != nil {
		a.spent += float64(a.pending.spent) // the owner before may know of them; the new one does not
		a.pending = nil
	}
	a.owner = o.Name
	a.local = o.Address == ""
	a.unanswered = 0
	return false
}

// stayWithinShare holds the instance to its share for a while after it has turned to
// another owner: to a part of it if the one before did not answer, and else to the
// whole of what it has learned, since not all instances turn at the same moment. One
// that has learned nothing yet has just started, and so used little.
func (a *account) stayWithinShare(now time.Duration) {
	switch {
	case a.unanswered > 0:
		a.part = a.limit.alone
		a.sharedUntil = max(a.sharedUntil, now+sharedFor)
		a.shared = emptyPace(a.part*a.shareNow(), now)
	case a.share > 0 && now >= a.sharedUntil:
		a.part = 1
		a.sharedUntil = now + turnFor
	}
}

// hear takes up an answer of the owner.
func (a *account) hear(x answer, now time.Duration) {
	if a.pending == nil || a.pending.seq != x.seq {
		return // of an ask before
	}
	lacking := x.granted < a.pending.want
	a.pending = nil
	a.unanswered = 0
	a.alone = pace{}
	a.told = true
	a.heardAt = now
	a.waiting = 0
	a.scarce = x.scarce
	a.noteShare(x.used, now)
	if x.granted > 0 {
		a.tokens += float64(x.granted)
		a.grantedAt = now
	}
	if lacking {
		a.dryUntil = now + dryFor
	}
	if a.answered != nil {
		close(a.answered)
		a.answered = nil
	}
}

// comeBack returns when a request over the limit should come back: the later, the
// more come for each one that is let in, and spread, so that those refused together
// do not return together.
func (a *account) comeBack(now time.Duration) time.Duration {
	over := 1.0
	if share := a.shareNow(); share > 0 {
		over = max(1, a.wanted.now(now)/share)
	}
	retry := min(float64(mostRetry), float64(leastRetry)*over)
	return time.Duration(retry * (1 + a.rand()))
}
