// SPDX-License-Identifier: MIT

package rollout

import "time"

// noteLive notes which instances live. The caller holds the lock.
func (r *Controller) setLive(live []string, now time.Duration) {
	r.live = live
	r.liveAt = now
	if now-r.maxLiveSince >= fleetSizeMemory {
		r.previousMaxLive, r.maxLive, r.maxLiveSince = r.maxLive, 0, now
	}
	r.maxLive = max(r.maxLive, len(live))
}

// fleet is how many instances there are, or were lately: those that are missing may be
// cut off, and not gone.
func (r *Controller) fleetSize() int { return max(1, r.maxLive, r.previousMaxLive) }

// mostly reports whether at least half of the instances are there that were: fewer may
// be cut off from others that have another owner.
func (r *Controller) enoughLive() bool { return 2*len(r.live) >= r.fleetSize() }
