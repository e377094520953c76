// SPDX-License-Identifier: MIT

package quota

import (
	"math"
	"time"
)

// account is what an instance holds for a workspace and knows of it.
type account struct {
	hash       uint64
	limit      limit
	equalShare float64 // rate of this instance if all used equally much
	rand       func() float64

	tokens     float64       // in hand
	grantedAt  time.Duration // when the last of them were granted
	unreported float64       // requests let in that the owner does not know of
	scarce     bool          // the owner's bucket is less than half full

	// trusted is set where each instance may let a request in before the owner is told:
	// all together stay within half of what a limit may be passed by. mostCredit
	// bounds what it may let in, within a quarter of that if it is more than one.
	creditAllowed  bool
	maxCredit      float64
	exhaustedUntil time.Duration // until when the owner is not expected to have a token

	demand        meter // requests that came
	admitted      meter // requests that were let in
	lastRequestAt time.Duration

	owner            string
	ownerLocal       bool          // the owner is this instance
	pending          *tokenRequest // sent and not answered
	seq              byte          // of the last ask; the first is any, since owners remember that of an earlier start
	requestedAt      time.Duration
	unanswered       int
	responded        bool          // some owner has answered
	respondedAt      time.Duration // when it did last
	responseReceived chan struct{} // closed with the next answer; nil: nobody waits
	waiters          int           // requests that have waited for it
	released         bool          // nothing was used since the tokens were given back

	share          float64       // part of the rate that falls to this instance; zero: not known
	shareUpdatedAt time.Duration // when it was worked out last
	capFraction    float64       // the part of that within which it stays until sharedUntil
	cappedUntil    time.Duration
	shareCap       rateLimiter
	fallback       rateLimiter // the zero value while the owner answers
}

// come notes that a request has come.
func (a *account) noteRequest(now time.Duration) {
	a.demand.add(1, now)
	a.lastRequestAt = now
	a.released = false
}

// admits lets a request in, if there is a token for it, or the owner has plenty.
func (a *account) admit(now time.Duration) bool {
	if now-a.grantedAt > tokenLifetime {
		a.tokens = 0
	}
	if now < a.cappedUntil {
		within := a.capFraction * a.currentShare()
		if !a.shareCap.allows(within, depthFor(within), now) {
			return false
		}
	}
	if !a.takeAllowance(now) {
		return false
	}
	if now < a.cappedUntil {
		a.shareCap.deficit++
	}
	a.admitted.add(1, now)
	return true
}

// covered reports whether there is a token, or something in its place, and uses it.
func (a *account) takeAllowance(now time.Duration) bool {
	switch {
	case a.tokens >= 1:
		a.tokens--
		return true
	case a.inFallback():
		return a.takeFallback(now)
	case a.creditAllowed && a.responded && !a.scarce && a.unreported < a.credit(now):
		a.unreported++
		return true
	case a.unanswered > 0:
		return a.takeFallback(now) // the workspace may be far below its limit
	}
	return false
}

// coveredAlone lets a request in while no owner answers, within a part of the share.
func (a *account) takeFallback(now time.Duration) bool {
	rate := a.limit.fallback * a.currentShare()
	if a.fallback.updatedAt == 0 {
		a.fallback = emptyLimiter(rate, now)
	}
	if !a.fallback.allows(rate, depthFor(rate), now) {
		return false
	}
	a.fallback.deficit++
	a.unreported++
	return true
}

// depthOf is what may come at once where an instance stays within a rate.
func depthFor(rate float64) float64 { return rate*prefetchTime.Seconds() + minCredit }

// emptyPace returns a pace that lets little through at first: when an instance loses
// its owner, the tokens that it had just got are in the same window. What comes while an
// answer is awaited gets in, or the first requests after each loss would be refused.
func emptyLimiter(rate float64, now time.Duration) rateLimiter {
	return rateLimiter{deficit: depthFor(rate) - rate*responseTimeout.Seconds(), updatedAt: now}
}

// worthWaiting returns what is closed with the next answer of the owner, if that may
// bring a token: one was asked for, and the answer before was not that there is none.
func (a *account) awaitResponse(now time.Duration) <-chan struct{} {
	if a.pending == nil || a.inFallback() || now < a.exhaustedUntil {
		return nil
	}
	a.waiters++
	if a.responseReceived == nil {
		a.responseReceived = make(chan struct{})
	}
	return a.responseReceived
}

// onItsOwn reports whether there is no owner that answers.
func (a *account) inFallback() bool { return a.owner == "" || a.unanswered >= fallbackAfter }

// credit is the number of requests that may come in before the owner is told.
func (a *account) credit(now time.Duration) float64 {
	return min(a.maxCredit, minCredit+a.demand.rateAt(now)*creditTime.Seconds())
}

// noteShare works out the part of the workspace's rate that falls to this instance:
// what it uses, relative to what all use, smoothed since at the start of a flood the
// first is known before the second. While it has to stay within a share, that
// is kept: the owner that it has turned to does not know yet what all use.
func (a *account) updateShare(used float64, now time.Duration) {
	if now < a.cappedUntil {
		return
	}
	if a.shareUpdatedAt == 0 {
		a.shareUpdatedAt = now
	}
	share := min(a.limit.rate, a.admitted.rateAt(now)/max(minUsage, used))
	a.share += (share - a.share) * (1 - math.Exp(-float64(now-a.shareUpdatedAt)/float64(shareTimeConstant)))
	a.shareUpdatedAt = now
}

// shareNow is that part as of the last answer, or an equal one.
func (a *account) currentShare() float64 { return max(a.share, a.equalShare) }

// giveBack takes back the token of a request that has not run.
func (a *account) refund() {
	if a.unreported >= 1 {
		a.unreported--
		return
	}
	a.tokens++
}

// short reports whether the owner should be asked at once: no more can come in, or
// soon none.
func (a *account) needsTokens(now time.Duration) bool {
	if a.pending != nil {
		return now-a.requestedAt >= responseTimeout
	}
	if a.tokens >= 1 || now < a.exhaustedUntil && now-a.requestedAt < minRequestInterval && !a.ownerLocal {
		return false
	}
	return a.scarce || !a.creditAllowed || !a.responded || a.unreported+minCredit >= a.credit(now)
}

// due reports whether the owner should be asked or told something at a tick.
func (a *account) requestDue(now time.Duration) bool {
	switch {
	case a.pending != nil:
		return now-a.requestedAt >= responseTimeout
	case a.unreported > 0:
		return true
	case a.idleTime(now) > releaseAfter:
		return !a.released
	case !a.released && now-a.requestedAt >= maxReportInterval:
		return true // so that the owner knows that this instance still reaches it
	}
	return a.tokensWanted(now) > 0 || a.hasUnusedTokens(now)
}

func (a *account) idleTime(now time.Duration) time.Duration { return now - a.lastRequestAt }

// want is the number of tokens that are lacking for the demand to come: one at least,
// so that the next request does not have to wait.
func (a *account) tokensWanted(now time.Duration) float64 {
	of := prefetchTime
	if a.scarce {
		of = prefetchTimeScarce
	}
	have := a.tokens
	if now-a.grantedAt > tokenLifetime {
		have = 0
	}
	want := a.demand.rateAt(now) * of.Seconds()
	if !a.scarce || a.idleTime(now) < minRequestInterval {
		want = max(want, 1, float64(a.waiters))
	}
	return max(0, want-have)
}

// stranded reports whether there are tokens that others need more.
func (a *account) hasUnusedTokens(now time.Duration) bool {
	return a.scarce && a.tokens >= 1 && now-a.grantedAt > returnUnusedAfter && a.idleTime(now) > returnUnusedAfter
}

// ask returns what the owner is asked: the same as before, if that was not answered.
func (a *account) nextRequest(now time.Duration) tokenRequest {
	a.requestedAt = now
	if a.pending != nil {
		a.unanswered++
		return *a.pending
	}
	a.seq++
	x := &tokenRequest{hash: a.hash, seq: a.seq, unreported: toCount(a.unreported)}
	if a.idleTime(now) > releaseAfter {
		x.returned = toCount(a.tokens)
		a.tokens = 0
		a.released = true
		x.release = true
	} else if a.hasUnusedTokens(now) {
		x.returned = toCount(a.tokens)
		a.tokens = 0
	} else {
		x.wanted = toCount(a.tokensWanted(now))
	}
	a.unreported -= float64(x.unreported)
	a.pending = x
	return *x
}

// turnTo notes who the owner is. It reports whether that has not answered for long.
func (a *account) setOwner(o Owner, now time.Duration) (silent bool) {
	if a.owner == o.Name {
		return a.unanswered >= ownerDownAfter
	}
	a.capShare(now)
	if a.pending != nil {
		a.unreported += float64(a.pending.unreported) // the owner before may know of them; the new one does not
		a.pending = nil
	}
	a.owner = o.Name
	a.ownerLocal = o.Address == ""
	a.unanswered = 0
	return false
}

// stayWithinShare holds the instance to its share for a while after it has turned to
// another owner: to a part of it if the one before did not answer, and else to the
// whole of what it has learned, since not all instances turn at the same moment. One
// that has learned nothing yet has just started, and so used little.
func (a *account) capShare(now time.Duration) {
	switch {
	case a.unanswered > 0:
		a.capFraction = a.limit.fallback
		a.cappedUntil = max(a.cappedUntil, now+shareCapTime)
		a.shareCap = emptyLimiter(a.capFraction*a.currentShare(), now)
	case a.share > 0 && now >= a.cappedUntil:
		a.capFraction = 1
		a.cappedUntil = now + ownerChangeCapTime
	}
}

// hear takes up an answer of the owner.
func (a *account) handleResponse(x tokenResponse, now time.Duration) {
	if a.pending == nil || a.pending.seq != x.seq {
		return // of an ask before
	}
	lacking := x.granted < a.pending.wanted
	a.pending = nil
	a.unanswered = 0
	a.fallback = rateLimiter{}
	a.responded = true
	a.respondedAt = now
	a.waiters = 0
	a.scarce = x.scarce
	a.updateShare(x.usage, now)
	if x.granted > 0 {
		a.tokens += float64(x.granted)
		a.grantedAt = now
	}
	if lacking {
		a.exhaustedUntil = now + exhaustedTime
	}
	if a.responseReceived != nil {
		close(a.responseReceived)
		a.responseReceived = nil
	}
}

// comeBack returns when a request over the limit should come back: the later, the
// more come for each one that is let in, and spread, so that those refused together
// do not return together.
func (a *account) retryAfter(now time.Duration) time.Duration {
	over := 1.0
	if share := a.currentShare(); share > 0 {
		over = max(1, a.demand.rateAt(now)/share)
	}
	retry := min(float64(maxRetryAfter), float64(minRetryAfter)*over)
	return time.Duration(retry * (1 + a.rand()))
}
