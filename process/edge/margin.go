// SPDX-License-Identifier: MIT

package edge

import "time"

// Safety margins below limits that must not be exceeded.
const (
	// maxKillMargin bounds how long before Settings.KillAfter a stopping process ends its requests, to write their responses and to exit.
	maxKillMargin = 500 * time.Millisecond
	// killMarginShare bounds that time by a share of KillAfter.
	killMarginShare = 0.125
	// maxLinger bounds how long a stopping process continues to accept requests: clients cache
	// responses of the directory for directoryTTL.
	maxLinger = 3200 * time.Millisecond
	// lingerShare bounds that time by a share of the time until the process must exit.
	lingerShare = 0.6
	// retryRatioShare and retryFixedShare are the shares of the retry limits that are used, so
	// that differences between the clocks and the counts of two instances do not lead to more
	// retries than allowed.
	retryRatioShare = 0.7
	retryFixedShare = 0.6
)

// grace returns the time after which a stopping process ends requests that are still in flight.
func (s *Settings) grace() time.Duration { return s.KillAfter - s.killMargin() }

// killMargin returns how long before KillAfter that is.
func (s *Settings) killMargin() time.Duration {
	return min(maxKillMargin, time.Duration(killMarginShare*float64(s.KillAfter)))
}

// linger returns how long a stopping process continues to accept requests.
func (s *Settings) linger() time.Duration {
	return min(maxLinger, time.Duration(lingerShare*float64(s.grace())))
}
