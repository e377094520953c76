// SPDX-License-Identifier: MIT

// Package retry bounds how much is tried again, so that trying again can not
// make an overload worse.
package retry

import "sync"

const (
	// share is the number of retries allowed for each request: a tenth.
	retryRatio = 0.1
	// most is the number of retries that can be saved up.
	maxSaved = 10
)

// Budget bounds retries to a tenth of the requests, and a few at the start. It
// is safe for concurrent use, and the zero value is ready.
type Budget struct {
	mu   sync.Mutex
	used float64 // retries that later requests have not made up for yet
}

// Earn counts a request.
func (b *Budget) Deposit() {
	b.mu.Lock()
	b.used = max(0, b.used-retryRatio)
	b.mu.Unlock()
}

// Spend takes one retry, or reports that none is left.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+1 > maxSaved {
		return false
	}
	b.used++
	return true
}

// Left reports whether a retry is left.
func (b *Budget) Available() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used+1 <= maxSaved
}
