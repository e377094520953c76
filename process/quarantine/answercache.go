// SPDX-License-Identifier: MIT

package quarantine

import (
	"sync"
	"time"

	"shalewick/request"
)

// answerCache remembers which requests were answered recently. A request replaces an older one
// with the same low bits of the fingerprint. The zero value is ready to use.
type answerCache struct {
	mu    sync.Mutex
	slots [answerSlots]struct {
		request request.Fingerprint
		at      time.Duration
	}
}

func (a *answerCache) record(f request.Fingerprint, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := &a.slots[f%answerSlots]
	s.request, s.at = f, now
}

// last returns when a request was last answered. Ok is false if that is not known.
func (a *answerCache) last(f request.Fingerprint) (at time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := &a.slots[f%answerSlots]
	return s.at, s.request == f && f != 0
}
