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
	// ConfirmationTTL is how long a view counts as confirmed (V in the design).
	ConfirmationTTL = 2 * time.Second
	// SafetyMargin covers network delay and clock drift.
	SafetyMargin = time.Second
	// RateCooldown is how long a rate token stays unusable after its request ended.
	RateCooldown = 1010 * time.Millisecond
)

// FenceTime returns how long the new owner of a down member's token keeps the
// token unused, counted from when it learned of its ownership. By then the down
// member can no longer dispatch on an unconfirmed view, its borrowers can no
// longer dispatch on their leases, and no request of theirs still runs.
func FenceTime(p *version.Pool) time.Duration {
	return ConfirmationTTL + LeaseTime + p.Deadline + SafetyMargin
}

// ReclaimTime returns how long after lending a token its owner reclaims it if it
// is not returned.
func ReclaimTime(p *version.Pool) time.Duration {
	return LeaseTime + p.Deadline + SafetyMargin
}

type state uint8

const (
	stateFree         state = iota
	stateBusy               // held by a request
	stateDelayed            // becomes free at until
	stateLent               // leased to another member; reclaimed at until at the latest
	stateTransferring       // withheld while the transaction that transfers it runs
	// stateAwaitingResponse is a slot token whose reclaim time or fence has passed.
	// It becomes free once its backend server has responded to something, because a
	// frozen backend server may still hold the request.
	stateAwaitingResponse
)

// token is a token that this member owns or borrows. Guarded by Table.mu.
type token struct {
	index int
	state state
	until time.Duration // depends on state

	lessor string        // member that lent it; "" if owned by this member
	lease  uint64        // lease number, assigned by the lessor
	end    time.Duration // of a borrowed token: end of the lease on the local clock

	holder string // of a lent token: the borrower
	// revoked is set when the token has moved to another owner while a request
	// still holds it here.
	revoked  bool
	lastUsed time.Duration
}

// usable reports whether a request may acquire the token now.
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

// pool holds the tokens of a version.Pool that this member owns or borrows.
type pool struct {
	spec   version.Pool
	index  int // index in the view's pools; -1 if not in the view
	tokens []*token
	group  *group // for slot pools; nil otherwise
	short  bool   // a request recently found no free token; unused for slot pools
}

// group aggregates demand over the slot pools of one service in one region.
type group struct {
	busy    int
	waiting int
	peak    float64 // decaying maximum of busy + waiting
}

func (g *group) updatePeak() {
	g.peak = max(g.peak, float64(g.busy+g.waiting))
}

// size returns the number of tokens in the version in force.
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

// pick returns a usable token, preferring owned over borrowed ones.
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

// owned returns the token with this index if this member owns it, or nil.
func (p *pool) owned(index int) *token {
	return p.find(func(t *token) bool { return t.lessor == "" && t.index == index })
}

func (p *pool) remove(target *token) {
	for i, t := range p.tokens {
		if t == target {
			p.tokens[i] = p.tokens[len(p.tokens)-1]
			p.tokens = p.tokens[:len(p.tokens)-1]
			return
		}
	}
}
