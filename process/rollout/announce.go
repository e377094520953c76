// SPDX-License-Identifier: MIT

package rollout

import "time"

// announce announces this instance to others. The caller does not hold the lock.
func (r *Controller) announce(addresses []string) {
	if r.Announce == nil {
		return
	}
	for _, address := range addresses {
		r.Announce(address)
	}
}

// announceTargets returns the instances to which this one has to announce itself. An owner does so
// to instances that have not reported to it since it became the owner, or have ceased to: they may
// take another instance for the owner, since gossip between regions is slow. Those that have not
// reported for longer than idleTime have no requests of the service or are down. An instance that
// has just lost ownership announces itself to all that reported to it. The caller holds the lock.
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
		reported := p != nil && p.lastReportAt >= s.ownerSince
		sinceReport := time.Duration(0)
		if reported {
			sinceReport = now - p.lastReportAt
		}
		if address != "" && (isNew && !reported || sinceReport > 2*reportInterval && sinceReport < idleTime) {
			out = append(out, address)
			s.announcedAt = now
		}
	}
	return out
}
