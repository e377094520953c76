// SPDX-License-Identifier: MIT

package rollout

import "time"

// Messages and leases.
const (
	// leaseTime is how long an instance may send to the target after the report that
	// the owner answered last, at most.
	maxLeaseTime = 1500 * time.Millisecond
	// leasePart is the part of StopWithin that a lease lasts at most, so that a stop holds
	// in time although each message that tells of it was lost, and the bad answers were
	// reported late.
	leaseFraction = 0.3
	// reportPause is the usual pause between two reports, and hastyPause that where
	// something bad has come or the phase is about to change.
	reportInterval       = 500 * time.Millisecond
	urgentReportInterval = TickInterval
	// tickJitter is how much earlier than due a tick may come and still send a report.
	tickJitter = TickInterval / 10
	// hastyBefore is how long before a promotion reports come often.
	urgentBeforePromotion = 1500 * time.Millisecond
	// InformTime is how long an owner that takes a roll-out over waits for the reports of
	// the others before it gives leases or decides: what it has not heard of is no lack of
	// evidence.
	TakeoverWait = reportInterval + 300*time.Millisecond
	// strangerTime is how long an owner waits for the first report of an instance before it tells
	// that one who it is, and strangerMost until when it does so. Origin: those that agree report
	// within a tick and a way between regions; four words, one of which gets through.
	announceAfter = 3 * TickInterval
	announceUntil = 2 * time.Second
	// takeOverTime is how long an owner that takes a roll-out over needs until it may give a
	// target up for lack of evidence: it has heard of all, and judged it. Owners that change
	// again and again give up takeOverMost after they should have.
	takeoverTime     = TakeoverWait + baselineWait
	maxTakeoverDelay = 2 * time.Second
	// mostTime is for how long at least an instance remembers how many there were. Origin:
	// longer than links between regions are cut, mostly.
	fleetSizeMemory = 5 * time.Minute
	// idleAfter is how long after its last request an instance stops to report. Origin: an
	// instance with a request each two seconds mostly has a lease when one comes.
	idleTime = 10 * time.Second
	// lateOrder is how long an order may have travelled when its owner hears of it. The
	// deadline of the record is so much earlier, and the bound holds so much longer.
	maxOrderDelay = 500 * time.Millisecond
)

// The share.
const (
	// canaryPart and promotePart are the parts of the set share that an instance uses
	// until the promotion, and until the deadline.
	canaryFraction  = 0.4
	promoteFraction = 0.9
	// scarcePart takes the place of canaryPart while evidence is lacking in all. Origin:
	// 12 instances with 5 requests a second together, each of which may send one to the
	// target in a minute otherwise.
	scarceFraction = 0.7
	// slackPart is the part of the slack that all instances use together, for the first
	// requests: nobody has sent enough then for a share of it to be a whole request.
	slackFraction = 0.5
	// settledTime is how long an instance must have run before an order to use some of the
	// slack. Origin: one that started a moment ago may have used some before, and does not
	// know yet how many there are.
	minUptimeForSlack = 10 * time.Second
	// turnTime is how long a set of the target's backend servers is open.
	roundTime = time.Second
	// stayTurns is in how many of its turns a set is open before another one is. Origin:
	// the comparison in compare_test.go; the first turn of a set finds few objects seen.
	defaultRoundsPerSet = 3
	// saveTime is over how long unused parts of the share are saved for an open one.
	creditTime = 2 * time.Second
	// evidencePart is the part of the first attempts that goes to the target, within the
	// bound, while evidence is lacking in all, and rarePart the part of all first
	// attempts that does from each route that lacks some of its own. Origin: the model
	// with 5 requests a second, where the share is 12 requests: routes must not take
	// from each other.
	evidenceFraction    = 0.25
	scarceRouteFraction = 0.3
	// spareRequests is the number of requests that the bound allows and that were not
	// used, from which routes that have enough evidence take from them, too.
	spareCredit = 1.9
	// routesGuess is how many routes a service is taken to have until it is known.
	assumedRoutes = 4
	// promiseTime is how long an instance sends nothing to the version before after it
	// has said so. Origin: an owner acts on reports of freshTime, and a transaction is
	// through, or has failed, within a second.
	drainPromiseTime = 1500 * time.Millisecond
	// promiseRoom is how many times the requests that are expected until the deadline, or
	// for promiseTime, the bound must have room for before an instance says so. Origin:
	// what the bound leaves unused, a tenth of the share and half of the slack, is there
	// for a burst in that time.
	drainPromiseMargin = 1.1
)

// Classes of answers.
const (
	// slowFactor is how many times the usual time of its route a slow answer took at
	// least, and unseenFactor how much more is allowed where the backend server had not
	// worked on the object.
	slowFactor   = 1.6
	unseenFactor = 3
	// leastUsual is the number of answers after which the usual time counts. A rough one
	// wrongs neither version, since both are classed by it.
	minLatencySamples = 3
)

// The verdict.
const (
	// alarm is the sum of log-likelihood ratios at which a target is bad: ln(2000).
	alarmThreshold = 7.6
	// doubtPart of alarm holds a target back: it is neither promoted nor completed.
	doubtFraction = 0.5
	// baseFactor is by how much more the target may fail than the baseline in relation to
	// it, and baseSlow by how much more often it may be slow; allowFailed and allowSlow
	// are how much besides. Origin: where times are spread so wide that each fourth is
	// slow, a greater baseSlow does not see a target that is twice as slow.
	allowedFailedFactor = 1.5
	allowedSlowFactor   = 1.2
	allowFailed         = 0.01
	allowSlow           = 0.1
	// worseFailed and worseSlow are how much worse than that a bad target is.
	worseFailed = 0.05
	worseSlow   = 0.2
	// backstopFailed failures end a roll-out, whatever the sum says, if they are more than
	// baseFactor times what the baseline had at the same time, and backstopAllow.
	// By chance they may be more by backstopChance standard deviations. Origin: the model
	// where both versions fail in 20% reverts 7 good targets of 60 without that.
	backstopMinFailures = 40
	backstopDeviations  = 4.5
	backstopAllow       = 0.005
	// longTime is the time over which the baseline's rate is measured. Where it was higher
	// around the time of an answer of the target, that counts: in surgeTime before and
	// after, over any surgeBins of binTime. So a fault of both versions that has just begun
	// or ended is not put down to the target.
	baselineTime = 10 * time.Second
	surgeTime    = 500 * time.Millisecond
	surgeBins    = 2
	binTime      = 100 * time.Millisecond
	// keptBins is how many bins are kept: more than the surgeTime before and after an
	// answer that waits for settleTime, which are 17.
	binCount = 32
	// surgeChance is by how many standard deviations a rate over so short a time is
	// lowered, since the highest of several is high by chance.
	// surgeMore is the number of good answers that are added before.
	surgeDeviations = 1.5
	surgePriorGood  = 4
	// usuallyFailed and usuallySlow are the rates of a baseline of which nothing is known.
	priorFailedRate = 0.005
	priorSlowRate   = 0.15
	// shrinkage is the weight of what is known otherwise in a rate, in answers.
	shrinkageWeight = 10
	// settleTime is how long the owner waits with answers of the target until those of
	// the baseline from the same time have been reported.
	baselineWait = surgeTime
)

// Steps.
const (
	// promoteUse is the part of the time that the rest of the share lasts which a
	// promotion before the deadline takes; what is left is for requests that come faster
	// than before.
	promotionFraction = 0.95
	// revertBefore is how long before the deadline a target without evidence is given up.
	revertMargin = 200 * time.Millisecond
	// enoughAnswers of the target are evidence. If the share gave fewer, leastAnswers
	// are.
	enoughResponses = 30
	minResponses    = 12
	// usedShare is the part of the canary's share that must have been used for that.
	minShareUsed = 0.7
	// routeAnswers of the target are needed on each route that gets at least routePart
	// of the requests, or one for each answersForOne in all, but leastRouteAnswers at least.
	// Origin: of a target that fails each third request of a route, 8 answers miss 4 in 100.
	maxRouteEvidence          = 8
	minRouteEvidence          = 3
	responsesPerRouteEvidence = 15
	minRouteFraction          = 0.02
	// leastSlots is how many slots of the target take work in relation to those of the
	// version in force.
	minSlotRatio = 0.7
	// freshTime is how old the reports may be on which a roll-out is completed.
	maxReportAge = 400 * time.Millisecond
	// watchTime is how long a promoted target is watched under all requests at most, and
	// completeBefore how long before the end of the bound that has to end at least, so
	// that the last step is through before the deadline: an order is mostly seen within
	// 150 ms, and a step takes some 200 ms. It is half of a longer promotion, and mostBefore
	// at most: a target that fails under load has to be seen in what is left.
	maxWatchTime        = 10 * time.Second
	minCompletionMargin = 450 * time.Millisecond
	maxCompletionMargin = 700 * time.Millisecond
	// goodAnswers of the target after the promotion, or calmTime without an alarm,
	// confirm it.
	confirmingResponses = 20
	quietTime           = time.Second
	// allowWaiting is the part of the answers that wait for their judgement which may be
	// bad in a good target, besides what usually is at the baseline. Origin: half of what
	// many faults make bad, and more than objects that backend servers have not seen make
	// slow right after the promotion.
	allowPendingBad = 0.15
	// allowFailing is the part of them that may have failed besides what usually does, and
	// chanceFailed how many may by chance. Origin: a version that fails in each fifth answer
	// under load, from 0.7 s before the last step on, hid among what is usually slow, a tenth.
	allowPendingFailed    = worseFailed
	pendingFailedByChance = 3
	// completeTime is how long the last step may take until it is known whether it is in
	// the store.
	completionTimeout = time.Second
	// goneTime is how long a promoted target may take no work at all.
	maxTargetGone = 2 * time.Second
	// proposePause is after how long a step that was not written is proposed again.
	proposeInterval = 300 * time.Millisecond
)
