// SPDX-License-Identifier: MIT

package slots

import (
	"time"

	"shalewick/version"
)

// Times of the token protocol.
const (
	// LeaseTime is how long a borrowed token may be used for new requests.
	LeaseTime = 1500 * time.Millisecond
	// ConfirmTime is how long a view counts as confirmed (the V of the design).
	ConfirmationTTL = 2 * time.Second
	// Margin covers the time on the way and clocks that run unevenly.
	SafetyMargin = time.Second
	// RestTime is how long a rate token rests after its request's end.
	RateCooldown = 1010 * time.Millisecond
)

// Fence is how long a token of a dead member is kept unused, counted from when
// its new home learned of it: until the dead member can neither dispatch on an
// unconfirmed view, nor a borrower on its lease, nor a request still run.
func FenceTime(p *version.Pool) time.Duration {
	return ConfirmationTTL + LeaseTime + p.Deadline + SafetyMargin
}

// Lifetime is how long the home waits for a lent token that is not returned.
func ReclaimTime(p *version.Pool) time.Duration {
	return LeaseTime + p.Deadline + SafetyMargin
}

type state uint8

const (
	stateFree         state = iota
	stateBusy               // a request holds it
	stateDelayed            // free at until
	stateLent               // another member has it; back at until at the latest
	stateTransferring       // taken off, while its transaction runs
	// stateAwaiting is a slot token whose time is over. It is free once its
	// backend server was heard from, which may be frozen with the request in hand.
	stateAwaitingResponse
)

// token is one token that is at home here or borrowed. The Table's lock guards it.
type token struct {
	index int
	state state
	until time.Duration // meaning by state
	// borrowed tokens:
	lessor string        // member that lent it; "" when at home here
	lease  uint64        // the lessor's number of the lease
	end    time.Duration // end of the lease on this clock
	// tokens lent from here:
	holder string
	// revoked is set once the token is no longer ours, while a request
	// still holds it.
	revoked  bool
	lastUsed time.Duration
}

// usable reports whether a request may take the token now.
func (t *token) usable(now time.Duration, size int) bool {
	if t.index >= size || t.revoked || t.expired(now) {
		return false
	}
	return t.state == stateFree || t.state == stateDelayed && now >= t.until
}

// expired reports whether a borrowed token's lease has ended.
func (t *token) expired(now time.Duration) bool {
	return t.lessor != "" && now >= t.end
}

// pool is the part of a version.Pool's tokens that this member knows.
type pool struct {
	spec   version.Pool
	index  int // index in the view's pools; -1 when not in the view
	tokens []*token
	group  *group // of slot pools; nil otherwise
	short  bool   // a request lately lacked a token; not for slot pools
}

// group adds up the slot pools of one service in one region.
type group struct {
	busy    int
	waiting int
	peak    float64 // recent most of busy and waiting, decaying
}

func (g *group) updatePeak() {
	g.peak = max(g.peak, float64(g.busy+g.waiting))
}

// size returns the number of tokens that the version in force allows.
func (p *pool) size() int {
	if p.index < 0 {
		return 0
	}
	return p.spec.Size
}

func (p *pool) usable(now time.Duration) int {
	n := 0
	for _, t := range p.tokens {
		if t.usable(now, p.size()) {
			n++
		}
	}
	return n
}

// take returns a usable token, its own before borrowed ones.
func (p *pool) pick(now time.Duration) *token {
	var found *token
	for _, t := range p.tokens {
		if !t.usable(now, p.size()) {
			continue
		}
		if t.lessor == "" {
			return t
		}
		found = t
	}
	return found
}

func (p *pool) find(match func(*token) bool) *token {
	for _, t := range p.tokens {
		if match(t) {
			return t
		}
	}
	return nil
}

// atHome returns the token with this index whose home is here, or nil.
func (p *pool) owned(index int) *token {
	return p.find(func(t *token) bool { return t.lessor == "" && t.index == index })
}

func (p *pool) remove(gone *token) {
	for i, t := range p.tokens {
		if t == gone {
			p.tokens[i] = p.tokens[len(p.tokens)-1]
			p.tokens = p.tokens[:len(p.tokens)-1]
			return
		}
	}
}
