// SPDX-License-Identifier: MIT

package ratelimit

import (
	"math"
	"time"
)

const (
	// rumourFor is how long the word of others that a backend server is limited counts if nobody
	// told the limit.
	rumourFor = 10 * time.Second
	// tellFor is how long after the backend server said so an instance tells others that it is limited.
	tellFor = 3 * time.Second
)

// rumoured is the limit of a backend server of which it is only known that it names one.
var rumoured = math.Inf(1)

// word is what a backend server said of its limit at some moment of an interval. The zero value is
// no word at all.
type word struct {
	limit    float64       // requests a second; zero: it named none
	from, to time.Duration // to is zero if there was no word
	// heard is when it was limited last by the word of others, who did not tell the number; zero:
	// never.
	heard time.Duration
}

// rumour returns the word that a backend server was limited at a time.
func rumour(at time.Duration) word { return word{limit: rumoured, from: at, to: at, heard: at} }

// spoken reports whether the backend server said anything.
func (w word) spoken() bool { return w.to != 0 }

// numbered reports whether the word has a limit that is known.
func (w word) numbered() bool { return w.limit > 0 && w.limit != rumoured }

// last returns when the backend server was known to be limited last, if it is.
func (w word) last() time.Duration { return max(w.to, w.heard) }

// limited reports whether the backend server is limited by the word.
func (w word) limited(now time.Duration) bool {
	return w.limit > 0 && (w.limit != rumoured || now-w.to < rumourFor)
}

// after returns what is known once a word was heard besides an older one.
func (w word) after(old word) word {
	switch {
	case old.limit == rumoured && w.numbered(): // however old it is: the rumour has no number
		w.heard = old.heard
		return w
	case old.numbered() && w.limit == rumoured:
		old.heard = max(w.heard, old.heard)
		return old
	case !w.supersedes(old):
		return old
	case w.limit > 0:
		w.heard = max(w.heard, old.heard)
	}
	return w
}

// supersedes reports whether a word takes the place of an older one. A stricter one does as soon as it
// arrives later. Any other one must have been said later for certain, since answers
// may overtake each other.
func (w word) supersedes(old word) bool {
	switch {
	case !w.spoken() || w.to <= old.to:
		return false
	case !old.spoken():
		return true
	case w.limit == 0:
		return w.from >= old.last()
	}
	return old.limit == 0 || w.limit <= old.limit || w.from >= old.to
}
