// SPDX-License-Identifier: MIT

// Package retry bounds how much is tried again, so that trying again can not
// make an overload worse.
package retry

import "sync"

const (
	// share is the number of retries allowed for each request: a tenth.
	share = 0.1
	// most is the number of retries that can be saved up.
	most = 10
)

// Budget bounds retries to a tenth of the requests, and a few at the start. It
// is safe for concurrent use, and the zero value is ready.
type Budget struct {
	mu    sync.Mutex
	spent float64 // retries that later requests have not made up for yet
}

// Earn counts a request.
func (b *Budget) Earn() {
	b.mu.Lock()
	b.spent = max(0, b.spent-share)
	b.mu.Unlock()
}

// Spend takes one retry, or reports that none is left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > most {
		return false
	}
	b.spent++
	return true
}

// Left reports whether a retry is left.
func (b *Budget) Left() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spent+1 <= most
}
