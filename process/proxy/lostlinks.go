// SPDX-License-Identifier: MIT

package proxy

import (
	"context"
	"sync"

	"github.com/juju/errors"
)

// awaitedAttempt is the attempt of a request that waits for its response, if it may be given up. The zero
// value is ready to use.
type awaitedAttempt struct {
	mu      sync.Mutex
	cancel  context.CancelFunc // nil: there is none
	givenUp bool
}

// begin registers an attempt.
func (a *awaitedAttempt) begin(cancel context.CancelFunc) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancel = cancel
}

// end reports whether the attempt was given up. From then on it can't be.
func (a *awaitedAttempt) end() (givenUp bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	givenUp = a.givenUp
	a.cancel, a.givenUp = nil, false
	return givenUp
}

// giveUp gives the attempt up if there is one and allowed returns true.
func (a *awaitedAttempt) giveUp(allowed func() bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancel == nil || a.givenUp || !allowed() {
		return false
	}
	a.givenUp = true
	a.cancel()
	return true
}

// errGivenUp is the error of an attempt that was given up after its response had begun.
const errGivenUp = errors.ConstError("given up, since the links of this instance have failed")

// ForwardInFlight gives up the attempts whose requests may be sent again through another instance, after
// the links of this one have failed. It returns their number. All others wait for their responses, which
// arrive if the links recover in time.
func (p *Proxy) ForwardInFlight() (count int) {
	if p.Forward == nil {
		return 0
	}
	p.calls.mu.Lock()
	defer p.calls.mu.Unlock()
	for c := range p.calls.cancels {
		if c.awaited.giveUp(func() bool {
			return c.timeLeft() >= minAttemptTime && !c.tracked.Ended() && p.canForward(c) && p.RetryBudget.TryRetry(c.service, p.Now())
		}) {
			count++
		}
	}
	return count
}

// awaitResponse returns the context of an attempt, and registers it if it may be given up.
func (t *transaction) awaitResponse(ctx context.Context) context.Context {
	c := t.c
	if t.p.Forward == nil || c.forwarded != nil || !c.route.Repeatable || c.body.Streamed() || c.attempts+1 >= c.maxAttempts() {
		return ctx
	}
	ctx, cancel := context.WithCancel(ctx) // ends with the request
	c.awaited.begin(cancel)
	return ctx
}

// endAwait ends the registration of the current attempt, and reports whether it was given up.
func (t *transaction) endAwait() (givenUp bool) {
	t.givenUp = t.c.awaited.end() || t.givenUp
	return t.givenUp
}
