// SPDX-License-Identifier: MIT

package edge

import "time"

// Margins that are kept from what must not be exceeded.
const (
	// killMargin is how long before it would be killed a process has ended.
	killMargin = 500 * time.Millisecond
	// longestLinger is how long a stopping process goes on accepting: clients
	// keep an answer of the directory for a while.
	maxLinger = 3200 * time.Millisecond
	// lingerShare bounds that by the time there is until the end.
	lingerShare = 0.6
	// retryRatioShare and retryFixedShare are the shares of the bounds of
	// retries that are used, so that what lies between the clocks and counts of
	// two instances does not break them.
	retryRatioShare = 0.7
	retryFixedShare = 0.6
)

// grace returns the time after which a stopping process ends whatever is in
// flight.
func (s *Settings) grace() time.Duration { return s.KillAfter - killMargin }

// linger returns how long a stopping process goes on accepting.
func (s *Settings) linger() time.Duration {
	return min(maxLinger, time.Duration(lingerShare*float64(s.grace())))
}
