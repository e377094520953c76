// SPDX-License-Identifier: MIT

package request

import (
	"math"
	"net/http"
	"strconv"
	"time"
)

// Notice is what a backend server's answer says of what it wants from now on, whatever
// became of the request. The zero value says nothing.
type Notice struct {
	// Leaving is set if it is about to end and wants no new requests.
	Leaving bool
	// RetryAfter is for how long it wants no requests of this instance. Zero: it did not ask.
	RetryAfter time.Duration
}

const (
	// headerRetryAfter is the standard name (RFC 9110, 10.2.3). Of its two forms only the
	// seconds are read: a date would need the backend server's clock.
	headerRetryAfter = "Retry-After"
	// leavingSaid is the value with which an answer says that its server leaves.
	leavingValue = "1"
	// mostRetryAfter bounds what is taken up, so that no number overflows a time: a longer time
	// than a day is as good as for ever.
	maxRetryAfter = 24 * time.Hour
)

// Notice reads what the head of an answer says. RetryAfter is asked for by an answer that turns
// its request away: a 503, or a 429 that says that nothing was run. Other answers with a
// time to come back mean the caller.
func (n *Names) Notice(status int, h http.Header) Notice {
	out := Notice{Leaving: n.Leaving != "" && h.Get(n.Leaving) == leavingValue}
	away := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests && h.Get(n.NotRun) != ""
	if away {
		out.RetryAfter = parseRetryAfter(h.Get(headerRetryAfter))
	}
	return out
}

// retryAfterOf reads a number of seconds, fractions allowed. Anything else is none.
func parseRetryAfter(text string) time.Duration {
	s, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(s) || s <= 0 {
		return 0
	}
	return time.Duration(min(s, maxRetryAfter.Seconds()) * float64(time.Second))
}
