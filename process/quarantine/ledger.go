// SPDX-License-Identifier: MIT

package quarantine

import (
	"slices"
	"time"

	"shalewick/process/crash"
	"shalewick/request"
)

// crashID identifies a crash of a backend server.
type crashID uint64

// crashRecord is a crash in a ledger.
type crashRecord struct {
	id         crashID
	reportedAt time.Duration // when it was first reported
	updatedAt  time.Duration // when a suspect was last added
	suspects   []crash.Suspect
}

func (c *crashRecord) has(f request.Fingerprint) bool { return c.index(f) >= 0 }

// index returns the index of a request among the suspects, -1 if it is not among them.
func (c *crashRecord) index(f request.Fingerprint) int {
	return slices.IndexFunc(c.suspects, func(s crash.Suspect) bool { return s.Request == f })
}

// ledger holds the crashes of a service that are not attributed to a request in quarantine.
// The zero value is ready to use.
type ledger struct {
	crashes []*crashRecord // oldest first
	// attributed holds the crashes with a known cause, oldest first: later reports of them
	// are ignored.
	attributed []crashID
}

// add records that requests were in flight at a crash. A crash may be reported more than
// once, by several instances.
func (l *ledger) add(id crashID, at time.Duration, suspects []crash.Suspect, now time.Duration) {
	l.expire(now)
	if slices.Contains(l.attributed, id) {
		return
	}
	i := slices.IndexFunc(l.crashes, func(c *crashRecord) bool { return c.id == id })
	if i < 0 {
		l.crashes = append(l.crashes, &crashRecord{id: id, reportedAt: at})
		i = len(l.crashes) - 1
	}
	c := l.crashes[i]
	for _, s := range suspects {
		if len(c.suspects) < maxSuspects && !c.has(s.Request) {
			c.suspects = append(c.suspects, s)
			c.updatedAt = now
		}
	}
	if len(l.crashes) > maxCrashes {
		l.crashes = slices.Delete(l.crashes, 0, 1)
	}
}

// expire drops crashes that are too old to count.
func (l *ledger) expire(now time.Duration) {
	l.crashes = slices.DeleteFunc(l.crashes, func(c *crashRecord) bool { return now-c.reportedAt > crashLifetime })
}

// removeSuspect removes a request that was answered from the suspects of all earlier crashes.
func (l *ledger) removeSuspect(f request.Fingerprint, answeredAt time.Duration) {
	for _, c := range l.crashes {
		if i := c.index(f); i >= 0 && c.reportedAt <= answeredAt {
			c.suspects = slices.Delete(c.suspects, i, i+1)
		}
	}
}

// attribute drops the crashes attributed to a request, so that they don't count against the
// other suspects.
func (l *ledger) attribute(f request.Fingerprint) {
	for _, c := range l.crashes {
		if c.has(f) {
			l.markAttributed(c.id)
		}
	}
	l.crashes = slices.DeleteFunc(l.crashes, func(c *crashRecord) bool { return c.has(f) })
}

// attributeCrash drops a crash whose cause is known.
func (l *ledger) attributeCrash(id crashID) {
	l.markAttributed(id)
	l.crashes = slices.DeleteFunc(l.crashes, func(c *crashRecord) bool { return c.id == id })
}

func (l *ledger) markAttributed(id crashID) {
	if slices.Contains(l.attributed, id) {
		return
	}
	l.attributed = append(l.attributed, id)
	if len(l.attributed) > maxCrashes {
		l.attributed = slices.Delete(l.attributed, 0, 1)
	}
}

// culprit is a request that crashes the backend servers that run it.
type culprit struct {
	crash.Suspect
	crashes    int
	firstCrash time.Duration // when the first crash was first reported
}

// culprits returns the request that is a suspect of most crashes, if there are enough of them,
// or several requests if they are suspects of equally many. Crashes that were reported within
// settleTime do not count yet.
func (l *ledger) culprits(now time.Duration) []culprit {
	var most []culprit
	counts := l.crashCounts(now)
	for _, x := range counts {
		switch {
		case len(most) == 0 || x.crashes > most[0].crashes:
			most = append(most[:0], *x)
		case x.crashes == most[0].crashes:
			most = append(most, *x)
		}
	}
	if len(most) == 0 || most[0].crashes < requiredCrashes(counts, most[0]) {
		return nil
	}
	if most[0].crashes < certainCrashes && l.recentShare(most[0].Request, now) < minRecentShare {
		return nil
	}
	return most
}

// requiredCrashes returns the minimum number of crashes of a culprit. If crashes are frequent and
// callers retry at once, other requests are at several crashes, too: if N of M requests that were
// at one crash were at another, N/M of those are at a third by chance. And if another request was
// at nearly as many crashes, a missing report may decide between the two.
func requiredCrashes(counts map[request.Fingerprint]*culprit, most culprit) int {
	once, repeated := 0, 0
	for f, x := range counts {
		if f == most.Request {
			continue
		}
		once++
		if x.crashes > 1 {
			repeated++
		}
		if x.crashes > 1 && x.crashes >= most.crashes-1 {
			return ambiguousCrashes
		}
	}
	n := minCrashes - 1
	chance := float64(repeated)
	for ; n < ambiguousCrashes && chance > maxCoincidences; n++ {
		chance *= float64(repeated) / float64(once)
	}
	return max(n, minCrashes)
}

// crashCounts returns the number of crashes of each suspect.
func (l *ledger) crashCounts(now time.Duration) map[request.Fingerprint]*culprit {
	out := make(map[request.Fingerprint]*culprit)
	for _, c := range l.crashes {
		if now-c.updatedAt < settleTime {
			continue
		}
		for _, s := range c.suspects {
			x := out[s.Request]
			if x == nil {
				x = &culprit{Suspect: s, firstCrash: c.reportedAt}
				out[s.Request] = x
			}
			x.crashes++
		}
	}
	return out
}

// recentShare returns the fraction of the recent crashes that a request is a suspect of; 1 if
// there were none.
func (l *ledger) recentShare(f request.Fingerprint, now time.Duration) float64 {
	total, suspected := 0, 0
	for _, c := range l.crashes {
		if now-c.reportedAt > recentTime {
			continue
		}
		total++
		if c.has(f) {
			suspected++
		}
	}
	if total == 0 {
		return 1
	}
	return float64(suspected) / float64(total)
}
