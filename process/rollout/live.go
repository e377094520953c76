// SPDX-License-Identifier: MIT

package rollout

import "time"

// noteLive notes which instances live. The caller holds the lock.
func (r *Rollouts) noteLive(live []string, now time.Duration) {
	r.live = live
	r.liveAt = now
	if now-r.mostSince >= mostTime {
		r.mostPast, r.mostLive, r.mostSince = r.mostLive, 0, now
	}
	r.mostLive = max(r.mostLive, len(live))
}

// fleet is how many instances there are, or were lately: those that are missing may be
// cut off, and not gone.
func (r *Rollouts) fleet() int { return max(1, r.mostLive, r.mostPast) }

// mostly reports whether at least half of the instances are there that were: fewer may
// be cut off from others that have another owner.
func (r *Rollouts) mostly() bool { return 2*len(r.live) >= r.fleet() }
