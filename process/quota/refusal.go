// SPDX-License-Identifier: MIT

package quota

import (
	"time"

	"github.com/rs/zerolog"
)

// Refusal says why a request was refused, with the state of this instance at that time.
type Refusal struct {
	RetryAfter time.Duration // suggested delay before a retry
	// Rate is the limit of the workspace and Wanted its recent demand at this instance,
	// both in requests per second.
	Rate, Wanted float64
	// Share is the part of the rate that this instance may use. Capped is set while it is
	// limited to that after a change of owner.
	Share  float64
	Capped bool
	// Owner is the instance that grants tokens, Age the time since its last response, and
	// Unanswered the number of token requests since.
	Owner      string
	Age        time.Duration
	Unanswered int
	Scarce     bool // the owner reported that its bucket is less than half full
}

// refusal returns the state to report with a refusal.
func (a *account) refusal(now time.Duration) Refusal {
	return Refusal{
		RetryAfter: a.retryAfter(now), Rate: a.limit.rate, Wanted: a.demand.rateAt(now), Share: a.currentShare(), Capped: now < a.cappedUntil,
		Owner: a.owner, Age: now - a.respondedAt, Unanswered: a.unanswered, Scarce: a.scarce,
	}
}

// MarshalZerologObject adds the fields to a log line.
func (r Refusal) MarshalZerologObject(e *zerolog.Event) {
	e.Float64("limit", r.Rate).Float64("wanted", r.Wanted).Float64("share", r.Share).Bool("capped", r.Capped).
		Str("owner", r.Owner).Dur("ownerAge", r.Age).Int("unanswered", r.Unanswered).Bool("scarce", r.Scarce)
}
