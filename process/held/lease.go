// SPDX-License-Identifier: MIT

package held

import "time"

// Lease accounts for the memory held for one request. A nil lease is unlimited. Each direction of
// the request may use it from one goroutine at a time.
type Lease struct {
	budget *Budget
	owner  *owner
	cutOff func(Kind)
	// The fields below are guarded by the budget's mutex.
	users        int // calls of End that are due
	held         [numKinds]int64
	waiting      bool // the request waits for its peer
	waitingFor   Kind
	waitingSince time.Duration // when the wait began
	isCutOff     bool
}

// Grow reserves n more bytes. It returns false, and reserves none, if they do not fit beside the
// reserve for new requests: a response that is not buffered can be streamed, but a request that
// finds no memory is refused.
func (l *Lease) Grow(k Kind, n int64) bool {
	if l == nil {
		return true
	}
	b := l.budget
	b.mu.Lock()
	l.waiting = false // this request is making progress, so it must not cut itself off
	reserve := b.Limit / reserveDivisor
	pending := b.reclaim(l.owner, n, reserve)
	ok := b.fits(l.owner, n, reserve) && !l.isCutOff
	if ok {
		b.add(l, k, n)
	}
	b.mu.Unlock()
	b.runCutOffs(pending)
	return ok
}

// Free releases all bytes of a kind.
func (l *Lease) Free(k Kind) {
	if l == nil {
		return
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.budget.add(l, k, -l.held[k])
}

// Wait records that the request waits for a peer from now on: for a caller that sends (Requests),
// for a backend server that reads (Bodies), or for a caller that reads (Responses).
func (l *Lease) Wait(k Kind) {
	if l == nil {
		return
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.waiting, l.waitingFor, l.waitingSince = true, k, l.budget.Now()
}

// StopWaiting records that the request no longer waits for a peer.
func (l *Lease) StopWaiting() {
	if l == nil {
		return
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.waiting = false
}

// Retain makes the lease last for one more call of End.
func (l *Lease) Retain() {
	if l == nil {
		return
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.users++
}

// End releases the lease. It must be called once, and once for each call of Retain.
func (l *Lease) End() {
	if l == nil {
		return
	}
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	l.users--
	if l.users > 0 {
		return
	}
	for k := range numKinds {
		b.add(l, k, -l.held[k])
	}
	if !l.isCutOff {
		b.removeLease(l)
	}
}

// stalled returns how long the lease has waited for its peer; zero if it does not wait, or was cut
// off. The caller holds the lock.
func (l *Lease) stalled(now time.Duration) time.Duration {
	if !l.waiting || l.isCutOff {
		return 0
	}
	return now - l.waitingSince
}

func (l *Lease) total() (n int64) {
	for _, held := range l.held {
		n += held
	}
	return n
}

// cutOffBefore reports whether l is cut off in preference to o. Differences of less than RequestOverhead don't count: of leases that hold
// about the same, the one that has waited longest is cut off.
func (l *Lease) cutOffBefore(o *Lease) bool {
	if l.owner.held != o.owner.held {
		return l.owner.held > o.owner.held
	}
	if a, b := l.total()/RequestOverhead, o.total()/RequestOverhead; a != b {
		return a > b
	}
	return l.waitingSince < o.waitingSince
}
