// SPDX-License-Identifier: MIT

// Package retry limits retries, so that they can't make an overload worse.
package retry

import "sync"

const (
	// retryRatio is the number of retries allowed per request.
	retryRatio = 0.1
	// maxSaved is the maximum number of unused retries.
	maxSaved = 10
)

// Budget is a retry budget: it limits retries to retryRatio of the requests, plus
// maxSaved at the start. It is safe for concurrent use, and the zero value is
// ready to use.
type Budget struct {
	mu   sync.Mutex
	used float64 // retries not yet balanced by deposits
}

// Deposit records a request, which adds retryRatio to the budget.
func (b *Budget) Deposit() {
	b.mu.Lock()
	b.used = max(0, b.used-retryRatio)
	b.mu.Unlock()
}

// TryWithdraw takes a retry from the budget, and reports whether one was available.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+1 > maxSaved {
		return false
	}
	b.used++
	return true
}

// Available reports whether a retry is available.
func (b *Budget) Available() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used+1 <= maxSaved
}
