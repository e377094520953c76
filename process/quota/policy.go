// SPDX-License-Identifier: MIT

package quota

import "time"

// The figures of the limits. Where nothing else is said the model (model_test.go) decided.
const (
	// tokenLife is how long tokens are good after they were granted.
	tokenLifetime = 4 * time.Second
	// ahead is the demand for which an instance holds tokens, and aheadScarce that
	// while the bucket is less than half full: then each instance gets a little,
	// often, so that none keeps what another one needs.
	prefetchTime       = 500 * time.Millisecond
	prefetchTimeScarce = 150 * time.Millisecond
	// askPause is the least pause between two asks for one workspace.
	minRequestInterval = 60 * time.Millisecond
	// answerTime is how long an answer is waited for, until the ask is sent again.
	// Origin: three times the way to another region and back.
	responseTimeout = 70 * time.Millisecond
	// aloneAfter is the number of asks in a row without an answer from which an
	// instance goes on alone, and silentAfter that from which it takes the owner
	// for dead.
	fallbackAfter  = 3
	ownerDownAfter = 6
	// aloneShare is the part of its share that an instance uses while the owner does not
	// answer, and for sharedFor after it has turned to another one, since the one before
	// may be alive behind a cut. It holds where usualAbove of what the rate gives in a
	// window is tolerated beyond it; where more is, as for low rates, the part grows with
	// it up to mostAlone. Origin: TestFloodThatMeetsACut; with half of the share 1.04 of
	// what is tolerated came in at a high rate, and with all of it 1.06 at a low one.
	fallbackFraction    = 0.4
	usualExcess         = 0.13
	maxFallbackFraction = 0.55
	// sharedFor is longer than a usual cut. After an owner that answered to the end an
	// instance stays within its whole share for turnFor: by then all have turned.
	shareCapTime       = 12 * time.Second
	ownerChangeCapTime = 4 * time.Second
	// releaseAfter is how long after its last request an instance gives back the
	// tokens of a workspace, and forgetAfter that after which it forgets it.
	releaseAfter = 2 * time.Second
	evictAfter   = 20 * time.Second
	// tellPause is the longest pause between two asks until then, and heardFor how long
	// an instance that asks counts as heard: two asks in a row may be lost, and the
	// owner of a workspace far over its limit keeps the share of one that is cut off
	// before that has let in more than is tolerated. Origin: TestFloodThatMeetsACut;
	// at 3 s 1.06 of what is tolerated comes in.
	maxReportInterval = 400 * time.Millisecond
	requesterTimeout  = time.Second
	// keptFor is how long the share of an instance is kept that is not heard and gave
	// nothing back, and keptPart the part of what it used: it goes on with aloneShare of
	// that, and has used some before it was missed.
	reserveTime     = 12 * time.Second
	reserveFraction = 0.8
	// newDepth is how much of a rate a new owner's bucket holds at most for one window.
	// The instances that turn to it stay within their shares, but those that start just
	// then know none, and would use all that has gathered.
	newOwnerDepth = 250 * time.Millisecond
	// strandedAfter is how long a token lies unused before it is given back, while the
	// bucket is less than half full.
	returnUnusedAfter = 300 * time.Millisecond
	// dryFor is how long after an answer that there was no token others are not
	// waited for: what is over the limit is refused at once.
	exhaustedTime = 250 * time.Millisecond
	// waitMost bounds the wait for a token. Origin: an ask that is lost is sent again
	// once.
	maxWait = 2 * responseTimeout
	// leastCredit is the number of requests that may come in at an instance before
	// the owner is told, and creditTime the demand of so long besides.
	minCredit  = 1
	creditTime = 250 * time.Millisecond
	// shareTime is the time over which an instance's share follows what it uses.
	shareTimeConstant = 3 * time.Second
	// leastUsed is the least part of a rate that is taken to be in use when shares
	// are worked out.
	minUsage = 0.05
	// leastRetry and mostRetry bound when a request over the limit should come back.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)
