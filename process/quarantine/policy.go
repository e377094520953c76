// SPDX-License-Identifier: MIT

package quarantine

import "time"

// Parameters of the verdict.
const (
	// minCrashes is the minimum number of crashes of a culprit, which must be a suspect more
	// often than any other request. Harmless requests reach two, if they were in flight at one
	// crash and, when retried, at the next.
	minCrashes = 3
	// ambiguousCrashes is the minimum number if other requests were at several crashes as well,
	// or if several requests were at exactly the same crashes.
	ambiguousCrashes = 5
	// certainCrashes is the number from which a request is the culprit even if it was at less
	// than minRecentShare of the crashes within recentTime. With fewer, backend servers may also
	// be crashing for other reasons, and then requests that callers retry are at many crashes.
	// Six culprits at the same time still reach the share.
	certainCrashes = 8
	minRecentShare = 0.15
	recentTime     = 5 * time.Second
	// maxCoincidences limits the expected number of requests that were at so many crashes only
	// because they were retried into the next crash. In the simulation of 12 instances with
	// three culprits, and other requests at a third of the crashes that follow their own, a fixed
	// number of 3 crashes refuses 106 of 25,000 other requests wrongly.
	maxCoincidences = 0.05
	// settleTime is how long a verdict waits after the last report of a crash for the reports of
	// other instances, which arrive within a round trip of each other.
	settleTime = 100 * time.Millisecond
	// RetryAfter is the delay suggested to the callers of a request in quarantine. Only an
	// operator can release it, which takes minutes.
	RetryAfter = time.Minute
)

// Parameters of reports.
const (
	// TickInterval is the interval at which Tick is called while there is something to do.
	TickInterval = 100 * time.Millisecond
	// resendInterval is the time after which an unconfirmed report is sent again.
	resendInterval = 250 * time.Millisecond
	// regionalAfter is the time after which a report that the owner of the service has not
	// confirmed is also sent to the owner within the region. After selfAfter without a
	// confirmation the instance adds it to its own ledger. regionalAfter covers four lost
	// datagrams in a row.
	regionalAfter = time.Second
	selfAfter     = 2 * time.Second
	// reportLifetime is how long a report is kept in case another instance becomes the owner.
	reportLifetime = time.Minute
)

// Limits of memory.
const (
	// MaxEntries limits the list. An entry takes some 200 bytes.
	MaxEntries = 256
	// maxCrashes limits the crashes in a ledger, maxSuspects the suspects of a crash, and
	// maxServices the ledgers: 128 x 64 x 32 suspects of some 90 bytes take 24 MB, if each crash
	// of 32 services has 64 suspects and none is attributed.
	maxCrashes  = 128
	maxSuspects = 64
	maxServices = 32
	// maxReports limits the reports that are kept.
	maxReports = 64
	// crashLifetime is how long a crash counts: long enough for a request that is sent every few
	// minutes.
	crashLifetime = time.Hour
	// responseSlots is the size of the response cache, which has one slot for each value of the low
	// bits of the fingerprint. At 250 responses per second it goes back 16 s, and takes 64 kB.
	responseSlots = 4096
)
