// SPDX-License-Identifier: MIT

package quarantine

import (
	"slices"
	"time"

	"shalewick/process/crash"
	"shalewick/request"
)

// crashID identifies one end of one backend server.
type crashID uint64

// crashed is a crash as a ledger holds it.
type crashRecord struct {
	id         crashID
	reportedAt time.Duration // when it was first told
	updatedAt  time.Duration // when a suspect was last added
	suspects   []crash.Suspect
}

func (c *crashRecord) has(f request.Fingerprint) bool { return c.index(f) >= 0 }

// path returns the place of a request among the suspects, -1 if it is none.
func (c *crashRecord) index(f request.Fingerprint) int {
	return slices.IndexFunc(c.suspects, func(s crash.Suspect) bool { return s.Request == f })
}

// ledger holds the crashes of a service that no request in quarantine explains. The zero
// value is ready.
type ledger struct {
	crashes []*crashRecord // by time
	// explained are crashes whose cause is known, the oldest first: what is told of them
	// late counts against nobody.
	attributed []crashID
}

// add notes that requests were in flight at a crash. A crash may be told more than once,
// by several instances.
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

// forget drops crashes that are too old to count.
func (l *ledger) expire(now time.Duration) {
	l.crashes = slices.DeleteFunc(l.crashes, func(c *crashRecord) bool { return now-c.reportedAt > crashLifetime })
}

// answered notes that a request was answered: it has not caused the crashes before.
func (l *ledger) removeSuspect(f request.Fingerprint, at time.Duration) {
	for _, c := range l.crashes {
		if i := c.index(f); i >= 0 && c.reportedAt <= at {
			c.suspects = slices.Delete(c.suspects, i, i+1)
		}
	}
}

// explain drops the crashes that a request is the cause of, so that they count against
// nobody else.
func (l *ledger) attribute(f request.Fingerprint) {
	for _, c := range l.crashes {
		if c.has(f) {
			l.markAttributed(c.id)
		}
	}
	l.crashes = slices.DeleteFunc(l.crashes, func(c *crashRecord) bool { return c.has(f) })
}

// explainCrash drops one crash, of which the cause is known.
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

// culprit is a request that crashes what runs it.
type culprit struct {
	crash.Suspect
	crashes    int
	firstCrash time.Duration // when the first of them was told
}

// blame returns the request that is at most of the crashes, if they are enough; several, if
// they are at the same ones. Crashes of which a report came just now do not count yet.
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

// enough returns from how many crashes a request is the culprit. Where crashes are many and
// callers come again at once, others are at several of them, too: if N requests of M that were
// at one crash were at another, N/M of those are at a third. And if another one was at nearly
// as many crashes, a report may be missing that would say which of the two it is.
func requiredCrashes(counts map[request.Fingerprint]*culprit, most culprit) int {
	once, again := 0, 0
	for f, x := range counts {
		if f == most.Request {
			continue
		}
		once++
		if x.crashes > 1 {
			again++
		}
		if x.crashes > 1 && x.crashes >= most.crashes-1 {
			return ambiguousCrashes
		}
	}
	n := minCrashes - 1
	chance := float64(again)
	for ; n < ambiguousCrashes && chance > maxCoincidences; n++ {
		chance *= float64(again) / float64(once)
	}
	return max(n, minCrashes)
}

// counts returns at how many crashes each request was.
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

// share returns the part of the crashes of late that a request was at; 1 if there were none.
func (l *ledger) recentShare(f request.Fingerprint, now time.Duration) float64 {
	all, at := 0, 0
	for _, c := range l.crashes {
		if now-c.reportedAt > recentTime {
			continue
		}
		all++
		if c.has(f) {
			at++
		}
	}
	if all == 0 {
		return 1
	}
	return float64(at) / float64(all)
}
