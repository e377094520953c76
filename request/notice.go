// SPDX-License-Identifier: MIT

package request

import (
	"math"
	"net/http"
	"strconv"
	"time"
)

// Notice is what a response says about requests to its backend server from now on, regardless of
// how the current request ended. The zero value says nothing.
type Notice struct {
	// Leaving is set if the backend server is about to stop and wants no new requests.
	Leaving bool
	// RetryAfter is how long the backend server wants no requests from this instance; zero if it
	// did not say.
	RetryAfter time.Duration
}

const (
	// headerRetryAfter is the standard header (RFC 9110, 10.2.3). Only the form in seconds is read:
	// a date would depend on the backend server's clock.
	headerRetryAfter = "Retry-After"
	// leavingValue is the value of the leaving header if the backend server is leaving.
	leavingValue = "1"
	// maxRetryAfter caps RetryAfter, so that no value overflows a time.Duration. For an instance, a
	// day is as good as forever.
	maxRetryAfter = 24 * time.Hour
)

// Notice parses the headers of a response. RetryAfter is taken from a response that rejects the
// request: a 503, or a 429 that says that the request was not run. In other responses the header is
// meant for the caller.
func (n *Names) Notice(status int, h http.Header) Notice {
	out := Notice{Leaving: n.Leaving != "" && h.Get(n.Leaving) == leavingValue}
	rejected := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests && h.Get(n.NotRun) != ""
	if rejected {
		out.RetryAfter = parseRetryAfter(h.Get(headerRetryAfter))
	}
	return out
}

// parseRetryAfter parses a number of seconds, possibly with a fraction. Any other text yields zero.
func parseRetryAfter(text string) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}
