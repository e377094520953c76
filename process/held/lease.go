// SPDX-License-Identifier: MIT

package held

import "time"

// Lease is what is held for one request. A nil lease has no bound. It may be used by one
// goroutine for each side at a time.
type Lease struct {
	budget *Budget
	owner  *owner
	cutOff func(Kind)
	// The rest is guarded by the budget's mutex.
	held         [numKinds]int64
	waiting      bool // for the other side
	waitingFor   Kind
	waitingSince time.Duration // when the other side was last seen to move
	isCutOff     bool
}

// Grow takes n bytes more. It returns false, and takes none, if there is no room beside what is
// left to new requests: an answer that is not held is passed on as it comes, while a request
// that finds no room is refused.
func (l *Lease) Grow(k Kind, n int64) bool {
	if l == nil {
		return true
	}
	b := l.budget
	b.mu.Lock()
	l.waiting = false // it moves right now, so that it does not cut itself off
	reserve := b.Limit / reserveDivisor
	cuts := b.reclaim(l.owner, n, reserve)
	ok := b.fits(l.owner, n, reserve) && !l.isCutOff
	if ok {
		b.add(l, k, n)
	}
	b.mu.Unlock()
	b.runCutOffs(cuts)
	return ok
}

// Free gives all bytes of a kind back.
func (l *Lease) Free(k Kind) {
	if l == nil {
		return
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.budget.add(l, k, -l.held[k])
}

// Wait notes that the other side is waited for from now on: a caller that sends (Requests), a
// backend server that reads (Bodies), a caller that reads (Answers).
func (l *Lease) Wait(k Kind) {
	if l == nil {
		return
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.waiting, l.waitingFor, l.waitingSince = true, k, l.budget.Now()
}

// Moved notes that nobody is waited for any more.
func (l *Lease) StopWaiting() {
	if l == nil {
		return
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.waiting = false
}

// End gives all back. It is called once.
func (l *Lease) End() {
	if l == nil {
		return
	}
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for k := range numKinds {
		b.add(l, k, -l.held[k])
	}
	if !l.isCutOff {
		b.removeLease(l)
	}
}

// stalled returns for how long the other side has not moved; zero if it is not waited for, or
// the lease was cut off. The caller holds the lock.
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

// before reports whether a lease is cut off rather than another one.
func (l *Lease) cutOffBefore(o *Lease) bool {
	if l.owner.held != o.owner.held {
		return l.owner.held > o.owner.held
	}
	if a, b := l.total(), o.total(); a != b {
		return a > b
	}
	return l.waitingSince < o.waitingSince
}
