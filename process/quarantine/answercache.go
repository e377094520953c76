// SPDX-License-Identifier: MIT

package quarantine

import (
	"sync"
	"time"

	"shalewick/request"
)

// responseCache remembers which requests were answered recently. A request replaces an older one
// with the same low bits of the fingerprint. The zero value is ready to use.
type responseCache struct {
	mu    sync.Mutex
	slots [responseSlots]struct {
		request request.Fingerprint
		at      time.Duration
	}
}

func (a *responseCache) record(f request.Fingerprint, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := &a.slots[f%responseSlots]
	s.request, s.at = f, now
}

// last returns when a request was last answered. Ok is false if that is not known.
func (a *responseCache) last(f request.Fingerprint) (at time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := &a.slots[f%responseSlots]
	return s.at, s.request == f && f != 0
}
