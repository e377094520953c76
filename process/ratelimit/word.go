// SPDX-License-Identifier: MIT

package ratelimit

import (
	"math"
	"time"
)

const (
	// rumourFor is how long the word of others that a backend server is limited counts if nobody
	// told the limit.
	gossipTTL = 10 * time.Second
	// tellFor is how long after the backend server said so an instance tells others that it is limited.
	announceFor = 3 * time.Second
)

// rumoured is the limit of a backend server of which it is only known that it names one.
var unknownLimit = math.Inf(1)

// word is what a backend server said of its limit at some moment of an interval. The zero value is
// no word at all.
type observedLimit struct {
	limit    float64       // requests a second; zero: it named none
	from, to time.Duration // to is zero if there was no word
	// heard is when it was limited last by the word of others, who did not tell the number; zero:
	// never.
	gossipAt time.Duration
}

// rumour returns the word that a backend server was limited at a time.
func gossipedLimit(at time.Duration) observedLimit {
	return observedLimit{limit: unknownLimit, from: at, to: at, gossipAt: at}
}

// spoken reports whether the backend server said anything.
func (w observedLimit) present() bool { return w.to != 0 }

// numbered reports whether the word has a limit that is known.
func (w observedLimit) hasNumber() bool { return w.limit > 0 && w.limit != unknownLimit }

// last returns when the backend server was known to be limited last, if it is.
func (w observedLimit) lastLimited() time.Duration { return max(w.to, w.gossipAt) }

// limited reports whether the backend server is limited by the word.
func (w observedLimit) limited(now time.Duration) bool {
	return w.limit > 0 && (w.limit != unknownLimit || now-w.to < gossipTTL)
}

// after returns what is known once a word was heard besides an older one.
func (w observedLimit) merge(old observedLimit) observedLimit {
	switch {
	case old.limit == unknownLimit && w.hasNumber(): // however old it is: the rumour has no number
		w.gossipAt = old.gossipAt
		return w
	case old.hasNumber() && w.limit == unknownLimit:
		old.gossipAt = max(w.gossipAt, old.gossipAt)
		return old
	case !w.supersedes(old):
		return old
	case w.limit > 0:
		w.gossipAt = max(w.gossipAt, old.gossipAt)
	}
	return w
}

// supersedes reports whether a word takes the place of an older one. A stricter one does as soon as it
// arrives later. Any other one must have been said later for certain, since answers
// may overtake each other.
func (w observedLimit) supersedes(old observedLimit) bool {
	switch {
	case !w.present() || w.to <= old.to:
		return false
	case !old.present():
		return true
	case w.limit == 0:
		return w.from >= old.lastLimited()
	}
	return old.limit == 0 || w.limit <= old.limit || w.from >= old.to
}
