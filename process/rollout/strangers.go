// SPDX-License-Identifier: MIT

package rollout

import "time"

// introduce tells instances who this one is. The lock is free.
func (r *Rollouts) introduce(addresses []string) {
	if r.Introduce == nil {
		return
	}
	for _, address := range addresses {
		r.Introduce(address)
	}
}

// strangers returns the instances that have not reported to this one since it owns the service,
// or report no more: they may take another one for the owner, since those of other regions hear
// of each other seldom. Those that have been silent for longer have no requests of the service,
// or are gone. One that has just ceased to own it tells all that reported to it. The caller holds
// the lock.
func (r *Rollouts) strangers(s *service, now time.Duration) (out []string) {
	if s.gaveUp {
		s.gaveUp = false
		return s.decider.heardLately(now)
	}
	if !s.runs() || !s.owner.here() || now-s.introduced < reportPause {
		return nil
	}
	isNew := now-s.ownsSince >= strangerTime && now-s.ownsSince < strangerMost
	for _, address := range r.live {
		p := s.decider.newest[address]
		heard := p != nil && p.heardAt >= s.ownsSince
		silence := time.Duration(0)
		if heard {
			silence = now - p.heardAt
		}
		if address != "" && (isNew && !heard || silence > 2*reportPause && silence < idleAfter) {
			out = append(out, address)
			s.introduced = now
		}
	}
	return out
}
