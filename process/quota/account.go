// SPDX-License-Identifier: MIT

package quota

import (
	"math"
	"time"
)

// account is the state of a workspace at an instance that admits its requests.
type account struct {
	hash       uint64
	limit      limit
	equalShare float64 // rate of this instance if all instances had the same usage
	rand       func() float64

	tokens     float64       // available
	grantedAt  time.Duration // time of the last grant
	unreported float64       // requests admitted without a token and not yet reported to the owner
	scarce     bool          // the owner's bucket is less than half full

	// creditAllowed is set if each instance may admit a request before it reports it to
	// the owner, because all instances together stay within half of the tolerated excess.
	// maxCredit limits these requests to the instance's part of a quarter of the excess,
	// but to no less than minCredit.
	creditAllowed  bool
	maxCredit      float64
	exhaustedUntil time.Duration // requests do not wait for tokens until then

	demand        meter // requests received
	admitted      meter // requests admitted
	lastRequestAt time.Duration

	owner            string
	ownerLocal       bool          // this instance is the owner
	pending          *tokenRequest // sent and not answered
	seq              byte          // of the last token request; starts at random, since owners remember that of a previous start
	requestedAt      time.Duration
	unanswered       int
	responded        bool          // an owner has responded
	respondedAt      time.Duration // time of the last response
	responseReceived chan struct{} // closed on the next response; nil if nothing waits for it
	waiters          int           // requests that have waited for it
	released         bool          // no request since the tokens were returned

	share          float64       // part of the workspace's rate, in requests per second; 0 if unknown
	shareUpdatedAt time.Duration // when share was last computed
	capFraction    float64       // usage is limited to this fraction of the share until cappedUntil
	cappedUntil    time.Duration
	shareCap       rateLimiter
	fallback       rateLimiter // zero while the owner responds
}

// noteRequest records that a request was received.
func (a *account) noteRequest(now time.Duration) {
	a.demand.add(1, now)
	a.lastRequestAt = now
	a.released = false
}

// admit admits a request if a token or an allowance is available and the share cap permits.
func (a *account) admit(now time.Duration) bool {
	if now-a.grantedAt > tokenLifetime {
		a.tokens = 0
	}
	if now < a.cappedUntil {
		rate := a.capFraction * a.currentShare()
		if !a.shareCap.allows(rate, depthFor(rate), now) {
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

// takeAllowance takes a token, credit or part of the fallback share, and reports whether
// one was available.
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

// takeFallback takes one request of the fallback share, which applies while no owner responds.
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

// depthFor returns the bucket depth of an instance that is limited to a rate.
func depthFor(rate float64) float64 { return rate*prefetchTime.Seconds() + minCredit }

// emptyLimiter returns a nearly empty limiter, because tokens just granted by the lost owner
// are used within the same window. It holds the demand of one
// responseTimeout, since the first requests after each loss would otherwise be refused.
func emptyLimiter(rate float64, now time.Duration) rateLimiter {
	return rateLimiter{deficit: depthFor(rate) - rate*responseTimeout.Seconds(), updatedAt: now}
}

// awaitResponse returns a channel that is closed on the owner's next response, or nil if
// that can't be expected to grant a token: none was requested, the owner does not respond,
// or its bucket was just empty.
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

// inFallback reports whether no owner responds.
func (a *account) inFallback() bool { return a.owner == "" || a.unanswered >= fallbackAfter }

// credit returns the number of requests that may be admitted before they are reported.
func (a *account) credit(now time.Duration) float64 {
	return min(a.maxCredit, minCredit+a.demand.rateAt(now)*creditTime.Seconds())
}

// updateShare computes the part of the workspace's rate that this instance may use: its
// own usage relative to that of all instances. The result is smoothed, since at the start
// of a flood the own usage is known before the total. While the instance is capped to its
// share, the share is kept: the new owner does not know the total usage yet.
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

// currentShare returns the share as of the last response, and no less than an equal share.
func (a *account) currentShare() float64 { return max(a.share, a.equalShare) }

// refund returns the token of a request that has not run.
func (a *account) refund() {
	if a.unreported >= 1 {
		a.unreported--
		return
	}
	a.tokens++
}

// needsTokens reports whether the owner should be queried at once, because no more requests
// can be admitted, or soon none.
func (a *account) needsTokens(now time.Duration) bool {
	if a.pending != nil {
		return now-a.requestedAt >= responseTimeout
	}
	if a.tokens >= 1 || now < a.exhaustedUntil && now-a.requestedAt < minRequestInterval && !a.ownerLocal {
		return false
	}
	return a.scarce || !a.creditAllowed || !a.responded || a.unreported+minCredit >= a.credit(now)
}

// requestDue reports whether a tick should send a token request or a report to the owner.
func (a *account) requestDue(now time.Duration) bool {
	switch {
	case a.pending != nil:
		return now-a.requestedAt >= responseTimeout
	case a.unreported > 0:
		return true
	case a.idleTime(now) > releaseAfter:
		return !a.released
	case !a.released && now-a.requestedAt >= maxReportInterval:
		return true // shows the owner that this instance is reachable
	}
	return a.tokensWanted(now) > 0 || a.hasUnusedTokens(now)
}

func (a *account) idleTime(now time.Duration) time.Duration { return now - a.lastRequestAt }

// tokensWanted returns the number of tokens missing for the expected demand. It is usually
// at least one, so that the next request does not have to wait.
func (a *account) tokensWanted(now time.Duration) float64 {
	horizon := prefetchTime
	if a.scarce {
		horizon = prefetchTimeScarce
	}
	available := a.tokens
	if now-a.grantedAt > tokenLifetime {
		available = 0
	}
	wanted := a.demand.rateAt(now) * horizon.Seconds()
	if !a.scarce || a.idleTime(now) < minRequestInterval {
		wanted = max(wanted, 1, float64(a.waiters))
	}
	return max(0, wanted-available)
}

// hasUnusedTokens reports whether there are tokens that other instances need more.
func (a *account) hasUnusedTokens(now time.Duration) bool {
	return a.scarce && a.tokens >= 1 && now-a.grantedAt > returnUnusedAfter && a.idleTime(now) > returnUnusedAfter
}

// nextRequest returns the token request to send: the pending one again if it is unanswered.
func (a *account) nextRequest(now time.Duration) tokenRequest {
	a.requestedAt = now
	if a.pending != nil {
		a.unanswered++
		return *a.pending
	}
	a.seq++
	r := &tokenRequest{hash: a.hash, seq: a.seq, unreported: toCount(a.unreported)}
	if a.idleTime(now) > releaseAfter {
		r.returned = toCount(a.tokens)
		a.tokens = 0
		a.released = true
		r.release = true
	} else if a.hasUnusedTokens(now) {
		r.returned = toCount(a.tokens)
		a.tokens = 0
	} else {
		r.wanted = toCount(a.tokensWanted(now))
	}
	a.unreported -= float64(r.unreported)
	a.pending = r
	return *r
}

// setOwner sets the current owner. It reports whether that owner is considered down.
func (a *account) setOwner(o Owner, now time.Duration) (down bool) {
	if a.owner == o.Name {
		return a.unanswered >= ownerDownAfter
	}
	a.capShare(now)
	if a.pending != nil {
		a.unreported += float64(a.pending.unreported) // the new owner does not know of them, even if the previous one does
		a.pending = nil
	}
	a.owner = o.Name
	a.ownerLocal = o.Address == ""
	a.unanswered = 0
	return false
}

// capShare limits the instance to its share for a while after a change of owner: to the
// fallback fraction if the previous owner did not respond, otherwise to the whole share,
// since instances do not switch at the same moment. An instance without a share has just
// started, and has used little.
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

// handleResponse processes a response of the owner.
func (a *account) handleResponse(r tokenResponse, now time.Duration) {
	if a.pending == nil || a.pending.seq != r.seq {
		return // to an earlier request
	}
	incomplete := r.granted < a.pending.wanted
	a.pending = nil
	a.unanswered = 0
	a.fallback = rateLimiter{}
	a.responded = true
	a.respondedAt = now
	a.waiters = 0
	a.scarce = r.scarce
	a.updateShare(r.usage, now)
	if r.granted > 0 {
		a.tokens += float64(r.granted)
		a.grantedAt = now
	}
	if incomplete {
		a.exhaustedUntil = now + exhaustedTime
	}
	if a.responseReceived != nil {
		close(a.responseReceived)
		a.responseReceived = nil
	}
}

// retryAfter returns when a caller over the limit should retry. The delay grows with the
// ratio of demand to share, and is jittered so that callers refused together do not return
// together.
func (a *account) retryAfter(now time.Duration) time.Duration {
	over := 1.0
	if share := a.currentShare(); share > 0 {
		over = max(1, a.demand.rateAt(now)/share)
	}
	retry := min(float64(maxRetryAfter), float64(minRetryAfter)*over)
	return time.Duration(retry * (1 + a.rand()))
}
