// SPDX-License-Identifier: MIT

package rollout

import "time"

// setLive updates which instances are live. The caller holds the lock.
func (r *Controller) setLive(live []string, now time.Duration) {
	r.live = live
	r.liveAt = now
	if now-r.maxLiveSince >= fleetSizeMemory {
		r.previousMaxLive, r.maxLive, r.maxLiveSince = r.maxLive, 0, now
	}
	r.maxLive = max(r.maxLive, len(live))
}

// fleetSize returns how many instances there are, or were lately. Missing instances may be cut off
// rather than down.
func (r *Controller) fleetSize() int { return max(1, r.maxLive, r.previousMaxLive) }

// enoughLive reports whether at least half of the recent instances are live. A smaller group may be
// cut off from others that have another owner.
func (r *Controller) enoughLive() bool { return 2*len(r.live) >= r.fleetSize() }
