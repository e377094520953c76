// SPDX-License-Identifier: MIT

package rollout

import "time"

// introduce tells instances who this one is. The lock is free.
func (r *Controller) announce(addresses []string) {
	if r.Announce == nil {
		return
	}
	for _, address := range addresses {
		r.Announce(address)
	}
}

// strangers returns the instances that have not reported to this one since it owns the service,
// or report no more: they may take another one for the owner, since those of other regions hear
// of each other seldom. Those that have been silent for longer have no requests of the service,
// or are gone. One that has just ceased to own it tells all that reported to it. The caller holds
// the lock.
func (r *Controller) announceTargets(s *service, now time.Duration) (out []string) {
	if s.lostOwnership {
		s.lostOwnership = false
		return s.ownerState.recentReporters(now)
	}
	if !s.inProgress() || !s.owner.here() || now-s.announcedAt < reportInterval {
		return nil
	}
	isNew := now-s.ownerSince >= announceAfter && now-s.ownerSince < announceUntil
	for _, address := range r.live {
		p := s.ownerState.byAddress[address]
		heard := p != nil && p.lastReportAt >= s.ownerSince
		silence := time.Duration(0)
		if heard {
			silence = now - p.lastReportAt
		}
		if address != "" && (isNew && !heard || silence > 2*reportInterval && silence < idleTime) {
			out = append(out, address)
			s.announcedAt = now
		}
	}
	return out
}
