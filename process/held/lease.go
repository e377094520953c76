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
	held     [kinds]int64
	waits    bool // for the other side
	waitsFor Kind
	since    time.Duration // when the other side was last seen to move
	isCut    bool
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
	l.waits = false // it moves right now, so that it does not cut itself off
	reserve := b.Limit / admitShare
	cuts := b.makeRoom(l.owner, n, reserve)
	ok := b.fits(l.owner, n, reserve) && !l.isCut
	if ok {
		b.add(l, k, n)
	}
	b.mu.Unlock()
	b.carryOut(cuts)
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
	l.waits, l.waitsFor, l.since = true, k, l.budget.Now()
}

// Moved notes that nobody is waited for any more.
func (l *Lease) Moved() {
	if l == nil {
		return
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.waits = false
}

// End gives all back. It is called once.
func (l *Lease) End() {
	if l == nil {
		return
	}
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for k := range kinds {
		b.add(l, k, -l.held[k])
	}
	if !l.isCut {
		b.drop(l)
	}
}

// stalled returns for how long the other side has not moved; zero if it is not waited for, or
// the lease was cut off. The caller holds the lock.
func (l *Lease) stalled(now time.Duration) time.Duration {
	if !l.waits || l.isCut {
		return 0
	}
	return now - l.since
}

func (l *Lease) sum() (n int64) {
	for _, held := range l.held {
		n += held
	}
	return n
}

// before reports whether a lease is cut off rather than another one.
func (l *Lease) before(o *Lease) bool {
	if l.owner.held != o.owner.held {
		return l.owner.held > o.owner.held
	}
	if a, b := l.sum(), o.sum(); a != b {
		return a > b
	}
	return l.since < o.since
}
