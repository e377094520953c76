// SPDX-License-Identifier: MIT

package quarantine

import "time"

// The verdict.
const (
	// blameLeast is the number of crashes from which the request that is at most of them
	// may be the culprit. Two are met by requests that were beside one and then, sent
	// again, beside the next.
	minCrashes = 3
	// blameMost is the number from which it is though others are at several crashes, too,
	// and from which requests that no crash tells apart are.
	ambiguousCrashes = 5
	// blameAnyway is the number from which it is even if it was at few of the crashes of
	// late, less than leastShare of those within lateTime: then backend servers end for
	// other reasons as well, and requests that callers send again are at many. Six
	// culprits at once still have that share.
	certainCrashes = 8
	minRecentShare = 0.15
	recentTime     = 5 * time.Second
	// mostChance bounds the expected number of requests that are at so many crashes only
	// since they were sent again into the next one. In the model of 12 instances with
	// three culprits, and others at a third of the crashes that follow theirs, a fixed
	// number of 3 refuses 106 of 25,000 others wrongly.
	maxCoincidences = 0.05
	// settleTime is how long after the last report of a crash a verdict waits for those
	// of other instances: they come within a round trip of each other.
	settleTime = 100 * time.Millisecond
	// RetryAfter is when the caller of a request in quarantine should come back. Only an
	// operator lets it through, which takes minutes.
	RetryAfter = time.Minute
)

// Reports.
const (
	// TickTime is the pause between two calls of Tick while there is something to do.
	TickInterval = 100 * time.Millisecond
	// resendPause is how long a report waits to be confirmed before it is sent again.
	resendInterval = 250 * time.Millisecond
	// regionAfter is how long the owner of a service has to confirm a report before the
	// owner within the region gets it, and selfAfter how long that has before the
	// instance takes it up itself. Origin: four lost datagrams in a row.
	regionalAfter = time.Second
	selfAfter     = 2 * time.Second
	// reportFor is how long a report is kept for the case that another instance becomes
	// the owner.
	reportLifetime = time.Minute
)

// Bounds of memory.
const (
	// MostEntries bounds the list. An entry takes some 200 bytes.
	MaxEntries = 256
	// mostCrashes bounds the crashes that a ledger holds, mostSuspects the suspects of one,
	// and mostServices the ledgers: 128 x 64 x 32 suspects of some 90 bytes would be
	// 24 MB, if each crash of 32 services had 64 suspects that nothing explains.
	maxCrashes  = 128
	maxSuspects = 64
	maxServices = 32
	// mostReports bounds the reports that are kept.
	maxReports = 64
	// crashMemory is how long a crash counts. Origin: long enough for a request that comes
	// every few minutes.
	crashLifetime = time.Hour
	// answeredSlots is the number of answered requests that are remembered, about: the
	// table holds one for each value of the last bits of the fingerprint. At 250 answers a
	// second it goes back 16 s, in 64 kB.
	answerSlots = 4096
)
