// SPDX-License-Identifier: MIT

package ratelimit

import (
	"math"
	"time"
)

const (
	// gossipTTL is how long gossip that a backend server is limited counts if the limit itself is
	// not known.
	gossipTTL = 10 * time.Second
	// announceFor is how long after a backend server named a limit an instance announces this to
	// others.
	announceFor = 3 * time.Second
)

// unknownLimit is the limit of a backend server that is known to be limited, but not to which
// rate.
var unknownLimit = math.Inf(1)

// observedLimit is the limit that a backend server named at some time within an interval. The zero
// value means that there was no response.
type observedLimit struct {
	limit    float64       // requests per second; zero: no limit was named
	from, to time.Duration // to is zero if there was no response
	// gossipAt is when it was last limited according to gossip, which does not contain the limit;
	// zero: never.
	gossipAt time.Duration
}

// gossipedLimit returns the observed limit of a backend server that was limited at a time
// according to gossip.
func gossipedLimit(at time.Duration) observedLimit {
	return observedLimit{limit: unknownLimit, from: at, to: at, gossipAt: at}
}

// present reports whether there was any response or gossip.
func (o observedLimit) present() bool { return o.to != 0 }

// hasNumber reports whether there is a limit and its value is known.
func (o observedLimit) hasNumber() bool { return o.limit > 0 && o.limit != unknownLimit }

// lastLimited returns when the backend server was last known to be limited, if it is.
func (o observedLimit) lastLimited() time.Duration { return max(o.to, o.gossipAt) }

// limited reports whether the backend server is limited.
func (o observedLimit) limited(now time.Duration) bool {
	return o.limit > 0 && (o.limit != unknownLimit || now-o.to < gossipTTL)
}

// merge returns what is known after o was received in addition to old.
func (o observedLimit) merge(old observedLimit) observedLimit {
	switch {
	case old.limit == unknownLimit && o.hasNumber(): // regardless of age, since gossip does not contain the limit
		o.gossipAt = old.gossipAt
		return o
	case old.hasNumber() && o.limit == unknownLimit:
		old.gossipAt = max(o.gossipAt, old.gossipAt)
		return old
	case !o.supersedes(old):
		return old
	case o.limit > 0:
		o.gossipAt = max(o.gossipAt, old.gossipAt)
	}
	return o
}

// supersedes reports whether o replaces old. A stricter limit does as soon as it arrives later.
// Any other one must certainly have been named later, since responses may overtake each other.
func (o observedLimit) supersedes(old observedLimit) bool {
	switch {
	case !o.present() || o.to <= old.to:
		return false
	case !old.present():
		return true
	case o.limit == 0:
		return o.from >= old.lastLimited()
	}
	return old.limit == 0 || o.limit <= old.limit || o.from >= old.to
}
