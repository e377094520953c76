// SPDX-License-Identifier: MIT

package balance

import (
	"time"

	"shalewick/process/ratelimit"
	"shalewick/version"
)

// Limitable returns the start of the backend server as rate limits know it.
func (p *Pick) Limitable() ratelimit.Backend {
	return ratelimit.Backend{Start: p.life, Name: p.Name, Region: p.Region}
}

// limitable returns the start of a backend server as rate limits know it.
func (t *Table) limitable(v *version.RoutedBackend) ratelimit.Backend {
	return ratelimit.Backend{Start: v.IncarnationHash, Name: v.Name, Region: t.routing.Regions[v.Region]}
}

// overLimit reports whether a backend server's rate limit leaves no room for the request of a query.
func (t *Table) overLimit(q *Query, v *version.RoutedBackend) bool {
	if t.Limits == nil {
		return false
	}
	if q.Unlimited {
		return t.Limits.Limited(v.IncarnationHash)
	}
	return t.Limits.Blocked(v.IncarnationHash, q.Priority) > 0
}

// limitLeft returns the shortest time until one of some backend servers may have room within its
// rate limit for the request of a query. The caller holds the lock.
func (t *Table) limitLeft(q *Query, backends []int32) time.Duration {
	least := time.Duration(0)
	if t.Limits == nil {
		return least
	}
	for _, i := range backends {
		left := t.Limits.Blocked(t.routing.Backends[i].IncarnationHash, q.Priority)
		if left > 0 && (least == 0 || left < least) {
			least = left
		}
	}
	return least
}

// limitUnits returns how long ago a backend server said that it is limited, as observations carry
// it; not if others need not hear of that. The caller holds the lock.
func (t *Table) limitUnits(index int32, now time.Duration) (units byte, tell bool) {
	if t.Limits == nil {
		return 0, false
	}
	at, tell := t.Limits.ToldAt(t.routing.Backends[index].IncarnationHash)
	return byte((now - at) / observationUnit), tell
}

// hearLimited takes up that another instance was told by a backend server that it is limited. The
// caller holds the lock.
func (t *Table) hearLimited(index int32, age, now time.Duration) {
	if t.Limits != nil {
		t.Limits.HearLimited(t.limitable(&t.routing.Backends[index]), now-age)
	}
}
