// SPDX-License-Identifier: MIT

package rollout

import "time"

// Messages and leases.
const (
	// maxLeaseTime is the longest time that an instance may send to the target after it made the
	// last report that the owner replied to.
	maxLeaseTime = 1500 * time.Millisecond
	// leaseFraction is the fraction of StopWithin that a lease lasts at most. A stop then takes
	// effect in time although every message about it is lost and the bad responses were reported
	// late.
	leaseFraction = 0.3
	// reportInterval is the normal time between two reports. urgentReportInterval applies after a
	// bad response and shortly before a phase change.
	reportInterval       = 500 * time.Millisecond
	urgentReportInterval = TickInterval
	// tickJitter is how early a tick may occur and still send a report.
	tickJitter = TickInterval / 10
	// urgentBeforePromotion is how long before a promotion reports become frequent.
	urgentBeforePromotion = 1500 * time.Millisecond
	// TakeoverWait is how long a new owner of a rollout waits for reports of the others before it
	// grants leases or decides. Evidence that it has not received yet is not missing evidence.
	TakeoverWait = reportInterval + 300*time.Millisecond
	// announceAfter is how long an owner waits for the first report of an instance before it
	// announces itself to that instance, and announceUntil for how long after the change of
	// ownership it does so. Instances that agree on the owner report within a tick plus the delay
	// between regions. The interval allows four announcements, of which one gets through.
	announceAfter = 3 * TickInterval
	announceUntil = 2 * time.Second
	// takeoverTime is how long a new owner takes to collect and analyse all reports. Until then it
	// does not revert for lack of evidence. If owners keep changing, the rollout is reverted at
	// most maxTakeoverDelay late.
	takeoverTime     = TakeoverWait + baselineWait
	maxTakeoverDelay = 2 * time.Second
	// fleetSizeMemory is the minimum time for which an instance remembers how many instances there
	// were. Most interruptions of links between regions are shorter.
	fleetSizeMemory = 5 * time.Minute
	// idleTime is how long after its last request an instance stops reporting. An instance with one
	// request every two seconds then mostly has a lease when a request arrives.
	idleTime = 10 * time.Second
	// maxOrderDelay is how long an order may take to reach its owner. The deadline of the record is
	// that much earlier, and the limit on the share lasts that much longer.
	maxOrderDelay = 500 * time.Millisecond
)

// The share.
const (
	// canaryFraction and promoteFraction are the fractions of the configured share that an instance
	// uses before the promotion, and from then to the deadline.
	canaryFraction  = 0.4
	promoteFraction = 0.9
	// scarceFraction replaces canaryFraction while the service as a whole lacks evidence. Without
	// it, each of 12 instances with 5 requests a second together could send one request a minute to
	// the target.
	scarceFraction = 0.7
	// slackFraction is the fraction of the slack that all instances together use for the first
	// requests. At first no instance has sent enough for its share to amount to a whole request.
	slackFraction = 0.5
	// minUptimeForSlack is how long an instance must have run before an order to use a part of the
	// slack. An instance that has just restarted may have used its part already, and does not know
	// yet how many instances there are.
	minUptimeForSlack = 10 * time.Second
	// roundTime is how long a set of the target's backend servers stays active.
	roundTime = time.Second
	// defaultRoundsPerSet is for how many of its rounds a set is active before the next one
	// replaces it. In the first round of a set the backend servers have seen few of the objects.
	// compare_test.go compares other values.
	defaultRoundsPerSet = 3
	// creditTime is the time over which unused parts of the share accumulate for an active backend
	// server.
	creditTime = 2 * time.Second
	// evidenceFraction is the fraction of first attempts that goes to the target, within the share,
	// while the service as a whole lacks evidence. scarceRouteFraction is the fraction of all first
	// attempts that goes there from each route that lacks evidence. With 5 requests a second the
	// share is 12 requests, so routes must not take them from each other.
	evidenceFraction    = 0.25
	scarceRouteFraction = 0.3
	// spareCredit is the credit, in requests, from which on routes that have enough evidence may
	// use it, too.
	spareCredit = 1.9
	// assumedRoutes is the number of routes assumed for a service until it is known.
	assumedRoutes = 4
	// drainPromiseTime is how long an instance sends nothing to the previous version after it has
	// promised so. An owner acts on reports up to maxReportAge old, and a transaction succeeds or
	// fails within a second.
	drainPromiseTime = 1500 * time.Millisecond
	// drainPromiseMargin is how many times the expected requests, until the deadline or for
	// drainPromiseTime, the share must cover before an instance promises. A tenth of the share and
	// half of the slack are left unused for a burst in that time.
	drainPromiseMargin = 1.1
)

// Latency classes.
const (
	// slowFactor is the multiple of the route's typical latency from which a response is slow.
	// unseenFactor multiplies that limit where the backend server had not worked on the object
	// before.
	slowFactor   = 1.6
	unseenFactor = 3
	// minLatencySamples is the number of responses after which the typical latency is used. A rough
	// estimate favours neither version, since both are classified by it.
	minLatencySamples = 3
)

// The analysis.
const (
	// alarmThreshold is the sum of log-likelihood ratios at which a target is bad: ln(2000).
	alarmThreshold = 7.6
	// doubtFraction of alarmThreshold blocks a target: it is neither promoted nor completed.
	doubtFraction = 0.5
	// allowedFailedFactor and allowedSlowFactor are by which factor the failure rate and the slow
	// rate of a good target may exceed those of the baseline; allowFailed and allowSlow are added
	// to that. With latencies spread so widely that a fourth of the responses is slow, a greater
	// allowedSlowFactor misses a target that is twice as slow.
	allowedFailedFactor = 1.5
	allowedSlowFactor   = 1.2
	allowFailed         = 0.01
	allowSlow           = 0.1
	// worseFailed and worseSlow are by how much the rates of a bad target exceed those of a good
	// one.
	worseFailed = 0.05
	worseSlow   = 0.2
	// backstopMinFailures failures revert a rollout, whatever the sum is, if they exceed
	// allowedFailedFactor times the failures of the baseline at the same time plus backstopAllow.
	// They may exceed the expected number by backstopDeviations standard deviations: without that,
	// 7 of 60 good targets are reverted where both versions fail in 20%.
	backstopMinFailures = 40
	backstopDeviations  = 4.5
	backstopAllow       = 0.005
	// baselineTime is the time over which the baseline's rates are measured. If the rates over any
	// surgeBins bins of binTime, from surgeTime before a target response to surgeTime after it, are
	// higher, those count. So a fault of both versions that has just begun or ended is not
	// attributed to the target.
	baselineTime = 10 * time.Second
	surgeTime    = 500 * time.Millisecond
	surgeBins    = 2
	binTime      = 100 * time.Millisecond
	// binCount is the number of bins kept. It must exceed the 17 that cover surgeTime before and
	// after a response that waits for baselineWait.
	binCount = 32
	// surgeDeviations is by how many standard deviations the rate over such a short time is
	// lowered, since the highest of several is high by chance. surgePriorGood is the number of good
	// responses added before that.
	surgeDeviations = 1.5
	surgePriorGood  = 4
	// priorFailedRate and priorSlowRate are the rates assumed for a baseline without data.
	priorFailedRate = 0.005
	priorSlowRate   = 0.15
	// shrinkageWeight is the weight of the prior in a rate, in responses.
	shrinkageWeight = 10
	// baselineWait is how long the owner holds back target responses until the baseline responses
	// of the same time have been reported.
	baselineWait = surgeTime
)

// Steps.
const (
	// promotionFraction is the fraction of the time for which the unused share lasts that a
	// promotion takes before the deadline. The remainder is for a higher request rate than before.
	promotionFraction = 0.95
	// revertMargin is how long before the deadline a rollout without enough evidence is reverted.
	revertMargin = 200 * time.Millisecond
	// enoughResponses of the target are enough evidence. If the share allowed fewer, minResponses
	// are.
	enoughResponses = 30
	minResponses    = 12
	// minShareUsed is the fraction of the canary's share that must have been used for minResponses
	// to be enough.
	minShareUsed = 0.7
	// Each route that gets at least minRouteFraction of the requests needs one target response for
	// every responsesPerRouteEvidence in total, but at least minRouteEvidence and at most
	// maxRouteEvidence. Of targets that fail a third of a route's requests, 8 responses miss 4 in
	// 100.
	maxRouteEvidence          = 8
	minRouteEvidence          = 3
	responsesPerRouteEvidence = 15
	minRouteFraction          = 0.02
	// minSlotRatio is how many slots of the target must accept requests, in relation to those of
	// the version in force.
	minSlotRatio = 0.7
	// maxReportAge is how old the reports may be on which a rollout is completed.
	maxReportAge = 400 * time.Millisecond
	// maxWatchTime is how long a promoted target is observed under all requests at most.
	// minCompletionMargin is how long before the limit on the share ends the observation ends at
	// the latest, so that the last step is done before the deadline: instances mostly see an
	// order within 150 ms, and a step takes some 200 ms. The margin is half of a longer promotion,
	// but at most maxCompletionMargin, since a target that fails under load has to be detected in
	// the remaining time.
	maxWatchTime        = 10 * time.Second
	minCompletionMargin = 450 * time.Millisecond
	maxCompletionMargin = 700 * time.Millisecond
	// confirmingResponses good responses of the target after the promotion confirm it, or quietTime
	// without an alarm.
	confirmingResponses = 20
	quietTime           = time.Second
	// allowPendingBad is the fraction of not yet analysed responses that may be bad in a good
	// target, in addition to the baseline's usual rate. It is half of what many faults make bad,
	// and more than is slow right after the promotion because backend servers have not seen the
	// objects.
	allowPendingBad = 0.15
	// allowPendingFailed is the fraction of them that may have failed, in addition to the
	// baseline's usual rate, and pendingFailedByChance the number that may have failed by chance.
	// Without this limit a version that failed a fifth of its responses under load, from 0.7 s
	// before the last step on, passed because a tenth is usually slow.
	allowPendingFailed    = worseFailed
	pendingFailedByChance = 3
	// completionTimeout is how long it may take until it is known whether the completed step is in
	// the store.
	completionTimeout = time.Second
	// maxTargetGone is how long a promoted target may have no backend server that accepts requests.
	maxTargetGone = 2 * time.Second
	// proposeInterval is after how long a step that was not written is proposed again.
	proposeInterval = 300 * time.Millisecond
)
