// SPDX-License-Identifier: MIT

package held

import (
	"sync"
	"time"
)

// Kind is the purpose of held bytes.
type Kind uint8

// The kinds of held bytes. The kind also identifies the peer that a lease waits for.
const (
	// Requests are the fixed costs of requests. The peer is a caller that sends.
	Requests Kind = iota
	// Bodies are bytes of request bodies that a backend server has not read. The peer is the
	// backend server.
	Bodies
	// Responses are bytes of responses that a caller has not read. The peer is the caller.
	Responses

	numKinds
)

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string { return [...]string{"requests", "bodies", "answers"}[k] }

const (
	// RequestOverhead is the cost of a request in bytes, without its body and its response: the
	// buffers and unread bytes of two connections, stacks, and headers.
	RequestOverhead = 64 << 10
	// ownerDivisor sets how much one owner may hold: the free bytes divided by it.
	ownerDivisor = 8
	// reserveDivisor sets how much bodies and responses leave free for new requests: the limit
	// divided by it.
	reserveDivisor = 4
	// minStall is how long a lease must have waited for its peer before it may be cut off for lack
	// of memory.
	minStall = time.Second
	// MaxStall is how long a reading peer may accept no bytes, even if there is free memory.
	MaxStall = 5 * time.Second
)

// Budget bounds the memory that leases hold. The exported fields must be set before use. A nil
// budget is unlimited.
type Budget struct {
	// Limit is the maximum number of bytes held.
	Limit int64
	Now   func() time.Duration
	// OnCutOff, if set, is called without locks for each lease that is cut off.
	OnCutOff func(CutOff)

	mu        sync.Mutex
	held      [numKinds]int64
	releasing int64 // bytes of leases that were cut off and have not ended yet
	owners    map[string]*owner
}

// CutOff describes a lease that was cut off.
type CutOff struct {
	Owner string
	// Kind identifies the peer that the lease waited for.
	Kind    Kind
	Held    int64 // bytes
	Stalled time.Duration
}

// owner holds leases.
type owner struct {
	name   string
	held   int64 // bytes, without those of leases that were cut off
	leases map[*Lease]struct{}
}

// Admit reserves the fixed costs of a request for the named owner. It returns false if there is not
// enough free memory. CutOff is called without locks, at most once, when the lease is cut off while
// it waits for the peer that the kind identifies. The lease still has to be ended.
func (b *Budget) Admit(name string, cutOff func(Kind)) (*Lease, bool) {
	if b == nil {
		return nil, true
	}
	l := &Lease{budget: b, cutOff: cutOff, users: 1}
	b.mu.Lock()
	if b.owners == nil {
		b.owners = make(map[string]*owner)
	}
	o := b.owners[name]
	if o == nil {
		o = &owner{name: name, leases: make(map[*Lease]struct{})}
	}
	l.owner = o
	pending := b.reclaim(o, RequestOverhead, 0)
	ok := b.fits(o, RequestOverhead, 0)
	if ok {
		b.owners[name] = o
		o.leases[l] = struct{}{}
		b.add(l, Requests, RequestOverhead)
	}
	b.mu.Unlock()
	b.runCutOffs(pending)
	if !ok {
		return nil, false
	}
	return l, true
}

// Held returns the number of bytes held of a kind.
func (b *Budget) Held(k Kind) int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held[k]
}

// CutOffStalled cuts off the leases whose backend server has accepted no bytes for MaxStall.
func (b *Budget) CutOffStalled() {
	if b == nil {
		return
	}
	b.mu.Lock()
	var pending []pendingCutOff
	now := b.Now()
	for _, o := range b.owners {
		for l := range o.leases {
			if l.waitingFor == Bodies && l.stalled(now) >= MaxStall {
				pending = append(pending, b.markCutOff(l, now))
			}
		}
	}
	b.mu.Unlock()
	b.runCutOffs(pending)
}

// free returns the number of bytes that are not held, or belong to leases that were cut off and are
// about to end. The caller holds the lock.
func (b *Budget) free() int64 {
	free := b.Limit + b.releasing
	for _, n := range b.held {
		free -= n
	}
	return free
}

// fits reports whether an owner may hold n more bytes while a reserve stays free for others. An
// owner that holds nothing may use all that is free. The caller holds the lock.
func (b *Budget) fits(o *owner, n, reserve int64) bool {
	free := b.free()
	return n+reserve <= free && (o.held == 0 || o.held+n <= free/ownerDivisor)
}

// add adds n to the bytes of a lease; n may be negative. The caller holds the lock.
func (b *Budget) add(l *Lease, k Kind, n int64) {
	l.held[k] += n
	b.held[k] += n
	if l.isCutOff {
		b.releasing += n
	} else {
		l.owner.held += n
	}
}

// reclaim selects stalled leases to cut off until n bytes fit for an owner beside a reserve, or
// none are left. The caller holds the lock, and passes the result to runCutOffs after releasing it.
func (b *Budget) reclaim(o *owner, n, reserve int64) (pending []pendingCutOff) {
	now := b.Now()
	for !b.fits(o, n, reserve) {
		l := b.victim(o, n+reserve > b.free(), now)
		if l == nil {
			return pending
		}
		pending = append(pending, b.markCutOff(l, now))
	}
	return pending
}

// victim returns the stalled lease to cut off first, or nil if there is none. If memory is not
// full, it is one of the owner, which holds too much. The caller holds the lock.
func (b *Budget) victim(o *owner, full bool, now time.Duration) (first *Lease) {
	consider := func(o *owner) {
		for l := range o.leases {
			if l.stalled(now) >= minStall && (first == nil || l.cutOffBefore(first)) {
				first = l
			}
		}
	}
	if !full {
		consider(o)
		return first
	}
	for _, o := range b.owners {
		if first == nil || o.held >= first.owner.held {
			consider(o)
		}
	}
	return first
}

// pendingCutOff is a cut-off whose callback has yet to run.
type pendingCutOff struct {
	event  CutOff
	cutOff func(Kind)
}

// markCutOff marks a lease as cut off. The caller holds the lock.
func (b *Budget) markCutOff(l *Lease, now time.Duration) pendingCutOff {
	n := l.total()
	pending := pendingCutOff{CutOff{Owner: l.owner.name, Kind: l.waitingFor, Held: n, Stalled: l.stalled(now)}, l.cutOff}
	l.isCutOff = true
	l.owner.held -= n
	b.releasing += n
	b.removeLease(l)
	return pending
}

// removeLease removes a lease from its owner. The caller holds the lock.
func (b *Budget) removeLease(l *Lease) {
	delete(l.owner.leases, l)
	if len(l.owner.leases) == 0 {
		delete(b.owners, l.owner.name)
	}
}

// runCutOffs runs the callbacks of cut-offs. The caller does not hold the lock.
func (b *Budget) runCutOffs(pending []pendingCutOff) {
	for _, p := range pending {
		p.cutOff(p.event.Kind)
		if b.OnCutOff != nil {
			b.OnCutOff(p.event)
		}
	}
}
