// SPDX-License-Identifier: MIT

package quota

import (
	"time"

	"github.com/rs/zerolog"
)

// Refusal says why a request was not let in, and what this instance knew then.
type Refusal struct {
	RetryAfter time.Duration // when to come back
	// Rate is the limit of the workspace and Wanted what came here lately, both in
	// requests a second.
	Rate, Wanted float64
	// Share is the part of the rate that falls to this instance, and Capped is set
	// while it stays within that, since it has turned to another owner.
	Share  float64
	Capped bool
	// Owner is the instance that grants tokens, Age how long ago it answered, and
	// Unanswered the number of asks since.
	Owner      string
	Age        time.Duration
	Unanswered int
	Scarce     bool // less than half of the burst is left, by the owner
}

// why returns what is known at a refusal.
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
