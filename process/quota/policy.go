// SPDX-License-Identifier: MIT

package quota

import "time"

// Parameters of the rate limits. Values without a stated reason were derived from the
// simulation in model_test.go.
const (
	// tokenLifetime is the time after a grant at which unused tokens expire.
	tokenLifetime = 4 * time.Second
	// prefetchTime is how much expected demand an instance holds tokens for. While the
	// bucket is less than half full, prefetchTimeScarce applies: instances then receive
	// small grants often, so that none keeps tokens that another one needs.
	prefetchTime       = 500 * time.Millisecond
	prefetchTimeScarce = 150 * time.Millisecond
	// minRequestInterval is the minimum time between two token requests for a workspace.
	minRequestInterval = 60 * time.Millisecond
	// responseTimeout is the time after which an unanswered token request is sent again:
	// three times the round trip to another region.
	responseTimeout = 70 * time.Millisecond
	// fallbackAfter is the number of consecutive unanswered token requests after which an
	// instance admits requests without the owner, and ownerDownAfter the number after
	// which it considers the owner down.
	fallbackAfter  = 3
	ownerDownAfter = 6
	// fallbackFraction is the fraction of its share that an instance uses while the owner
	// does not respond, and for shareCapTime after it has switched to another owner, since
	// the previous one may be live on the other side of a network partition. It applies if
	// the tolerated excess is usualExcess of what the rate allows per window. If more is
	// tolerated, as for low rates, the fraction grows in proportion, up to
	// maxFallbackFraction. In TestFloodDuringPartition a fraction of 0.5 admitted 1.04 of
	// the tolerated requests at a high rate, and the maximum of 1 admitted 1.06 at a low
	// rate.
	fallbackFraction    = 0.4
	usualExcess         = 0.13
	maxFallbackFraction = 0.55
	// shareCapTime is longer than a typical network partition. If the previous owner
	// responded until the change of owner, an instance is limited to its whole share for
	// ownerChangeCapTime, by which time all instances have switched.
	shareCapTime       = 12 * time.Second
	ownerChangeCapTime = 4 * time.Second
	// releaseAfter is the time since the last request for a workspace after which an
	// instance returns its tokens, and evictAfter that after which it drops the account.
	releaseAfter = 2 * time.Second
	evictAfter   = 20 * time.Second
	// maxReportInterval is the maximum time between two token requests until the release.
	// requesterTimeout is the time after which the owner considers a requester missing.
	// It allows for two consecutive lost requests, and the owner of a workspace far over
	// its limit reserves the share of a partitioned instance before that has admitted more
	// than is tolerated: in TestFloodDuringPartition a timeout of 3 s admitted 1.06 of the
	// tolerated requests.
	maxReportInterval = 400 * time.Millisecond
	requesterTimeout  = time.Second
	// reserveTime is how long the owner reserves the share of a missing instance that has
	// not released it. It reserves reserveFraction of what the instance used: the instance
	// continues with fallbackFraction of that, and also used some before it was missed.
	reserveTime     = 12 * time.Second
	reserveFraction = 0.8
	// newOwnerDepth limits the bucket of a new owner to this much of the rate for one
	// window. Instances that switch to the new owner stay within their shares, but those
	// that start at that moment have no share and would use all accumulated tokens.
	newOwnerDepth = 250 * time.Millisecond
	// returnUnusedAfter is the time after which unused tokens are returned while the
	// bucket is less than half full.
	returnUnusedAfter = 300 * time.Millisecond
	// exhaustedTime is the time after an incomplete grant during which requests do not
	// wait for tokens, so that requests over the limit are refused at once.
	exhaustedTime = 250 * time.Millisecond
	// maxWait is the maximum time that a request waits for a token. It allows for one
	// retransmission of a token request.
	maxWait = 2 * responseTimeout
	// An instance may admit minCredit requests plus the demand of creditTime before it
	// reports them to the owner.
	minCredit  = 1
	creditTime = 250 * time.Millisecond
	// shareTimeConstant is the time constant with which an instance's share follows its usage.
	shareTimeConstant = 3 * time.Second
	// minUsage is the minimum usage, as a fraction of the rate, that is assumed when
	// shares are computed.
	minUsage = 0.05
	// minRetryAfter and maxRetryAfter bound the delay suggested to callers over the limit,
	// before jitter.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)
