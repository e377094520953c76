// SPDX-License-Identifier: MIT

package held

import (
	"sync"
	"time"
)

// Kind tells what bytes are held for.
type Kind uint8

// The kinds.
const (
	// Requests are the fixed costs of requests. Who is waited for is a caller that sends.
	Requests Kind = iota
	// Bodies are bytes of requests that a backend server has not read.
	Bodies
	// Answers are bytes of answers that a caller has not read.
	Responses

	numKinds
)

// String names the kind in logs and metrics.
func (k Kind) String() string { return [...]string{"requests", "bodies", "answers"}[k] }

const (
	// Overhead is what a request costs besides its body and its answer, in bytes: the
	// buffers of two connections and their unread bytes, stacks and heads.
	RequestOverhead = 64 << 10
	// ownerShare divides what is free into what one owner may hold.
	ownerDivisor = 8
	// admitShare divides the limit into what bodies and answers leave to new requests.
	reserveDivisor = 4
	// stalledLeast is how long a lease must have waited for the other side to be cut off for
	// want of room.
	minStall = time.Second
	// StalledMost is how long one that reads may take nothing, even if there is room.
	MaxStall = 5 * time.Second
)

// Budget is the memory for what is held. The fields are set before use. A nil budget has no
// bound.
type Budget struct {
	// Limit is the most that is held, in bytes.
	Limit int64
	Now   func() time.Duration
	// OnCut, if set, is told of a lease that is cut off. It is called without locks.
	OnCutOff func(CutOff)

	mu        sync.Mutex
	held      [numKinds]int64
	releasing int64 // bytes of leases that were cut off and have not ended
	owners    map[string]*owner
}

// Cut is the cutting off of a lease.
type CutOff struct {
	Owner string
	// Kind tells who was waited for.
	Kind    Kind
	Held    int64 // bytes
	Stalled time.Duration
}

// owner is one that holds leases.
type owner struct {
	name   string
	held   int64 // bytes, but for those of leases that were cut off
	leases map[*Lease]struct{}
}

// Admit takes the fixed costs of a request. It returns false if there is no room.
// CutOff is called without locks, at most once, when the lease is cut off while it waits for
// the side that a kind names; the lease still has to be ended.
func (b *Budget) Admit(name string, cutOff func(Kind)) (*Lease, bool) {
	if b == nil {
		return nil, true
	}
	l := &Lease{budget: b, cutOff: cutOff}
	b.mu.Lock()
	if b.owners == nil {
		b.owners = make(map[string]*owner)
	}
	o := b.owners[name]
	if o == nil {
		o = &owner{name: name, leases: make(map[*Lease]struct{})}
	}
	l.owner = o
	cuts := b.reclaim(o, RequestOverhead, 0)
	ok := b.fits(o, RequestOverhead, 0)
	if ok {
		b.owners[name] = o
		o.leases[l] = struct{}{}
		b.add(l, Requests, RequestOverhead)
	}
	b.mu.Unlock()
	b.runCutOffs(cuts)
	if !ok {
		return nil, false
	}
	return l, true
}

// Held returns the bytes that are held of a kind.
func (b *Budget) Held(k Kind) int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held[k]
}

// CutStalled cuts off the leases whose backend server has taken nothing for StalledMost.
func (b *Budget) CutOffStalled() {
	if b == nil {
		return
	}
	b.mu.Lock()
	var cuts []pendingCutOff
	now := b.Now()
	for _, o := range b.owners {
		for l := range o.leases {
			if l.waitingFor == Bodies && l.stalled(now) >= MaxStall {
				cuts = append(cuts, b.markCutOff(l, now))
			}
		}
	}
	b.mu.Unlock()
	b.runCutOffs(cuts)
}

// free returns the bytes that are not held, or soon will not be. The caller holds the lock.
func (b *Budget) free() int64 {
	free := b.Limit + b.releasing
	for _, n := range b.held {
		free -= n
	}
	return free
}

// fits reports whether an owner may hold n bytes more, beside a reserve that is left to others. One
// that holds nothing may have all that is free. The caller holds the lock.
func (b *Budget) fits(o *owner, n, reserve int64) bool {
	free := b.free()
	return n+reserve <= free && (o.held == 0 || o.held+n <= free/ownerDivisor)
}

// add notes bytes of a lease; n may be negative. The caller holds the lock.
func (b *Budget) add(l *Lease, k Kind, n int64) {
	l.held[k] += n
	b.held[k] += n
	if l.isCutOff {
		b.releasing += n
	} else {
		l.owner.held += n
	}
}

// makeRoom chooses leases to cut off until n bytes fit for an owner beside a reserve, or there are
// none left. The caller holds the lock, and carries the cuts out without it.
func (b *Budget) reclaim(o *owner, n, reserve int64) (cuts []pendingCutOff) {
	now := b.Now()
	for !b.fits(o, n, reserve) {
		l := b.victim(o, n+reserve > b.free(), now)
		if l == nil {
			return cuts
		}
		cuts = append(cuts, b.markCutOff(l, now))
	}
	return cuts
}

// victim returns the stalled lease to cut off first; nil: there is none. Where there is room
// it is one of the owner that holds too much. The caller holds the lock.
func (b *Budget) victim(o *owner, full bool, now time.Duration) (first *Lease) {
	look := func(o *owner) {
		for l := range o.leases {
			if l.stalled(now) >= minStall && (first == nil || l.cutOffBefore(first)) {
				first = l
			}
		}
	}
	if !full {
		look(o)
		return first
	}
	for _, o := range b.owners {
		if first == nil || o.held >= first.owner.held {
			look(o)
		}
	}
	return first
}

// cutting is a cut that is still to be carried out.
type pendingCutOff struct {
	event  CutOff
	cutOff func(Kind)
}

// cut marks a lease as cut off. The caller holds the lock.
func (b *Budget) markCutOff(l *Lease, now time.Duration) pendingCutOff {
	n := l.total()
	c := pendingCutOff{CutOff{Owner: l.owner.name, Kind: l.waitingFor, Held: n, Stalled: l.stalled(now)}, l.cutOff}
	l.isCutOff = true
	l.owner.held -= n
	b.releasing += n
	b.removeLease(l)
	return c
}

// drop takes a lease off its owner's list. The caller holds the lock.
func (b *Budget) removeLease(l *Lease) {
	delete(l.owner.leases, l)
	if len(l.owner.leases) == 0 {
		delete(b.owners, l.owner.name)
	}
}

// carryOut cuts leases off. The caller does not hold the lock.
func (b *Budget) runCutOffs(cuts []pendingCutOff) {
	for _, c := range cuts {
		c.cutOff(c.event.Kind)
		if b.OnCutOff != nil {
			b.OnCutOff(c.event)
		}
	}
}
