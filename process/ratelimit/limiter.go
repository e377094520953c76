// SPDX-License-Identifier: MIT

package ratelimit

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// TickInterval is the time between two calls of Tick.
	TickInterval = 250 * time.Millisecond
	// resendAfter is how long after a permit request it is sent again, longer than a round
	// trip to another region. responseTimeout is how long a request waits for the response.
	resendAfter     = 80 * time.Millisecond
	responseTimeout = 160 * time.Millisecond
	// ownerRetryDelay is how long no permits are requested after an owner did not answer, or was
	// not the owner.
	ownerRetryDelay = 200 * time.Millisecond
	// permitTTL is how long a permit is valid.
	permitTTL = time.Second
	// endReports is how many times the end of a limit is reported to the owner.
	endReports = 3
	// fleetSizeWindow is how long the largest number of instances counts as the size of the fleet,
	// so that one side of a partition does not use the limit of both.
	fleetSizeWindow = time.Minute
	// forgetAfter is how long unused state of a backend server is kept.
	forgetAfter = 10 * time.Minute
)

// Backend is one incarnation of a backend server.
type Backend struct {
	IncarnationHash uint64 // identifies the incarnation
	Name            string
	Region          string
}

// Owner is the instance that grants the permits of a backend server.
type Owner struct {
	Name    string
	Address string // where it receives messages; "": it is this instance
}

// Counts are the numbers of this instance's permit requests that were granted, denied and not
// answered.
type Counts struct{ Granted, Denied, Unanswered int64 }

// Limiter holds the rate limits of backend servers that one instance knows. The exported fields
// are set before use.
type Limiter struct {
	Now func() time.Duration
	// Owner returns the owner of an incarnation of a backend server in a region, or one without a
	// name if it is not known.
	Owner func(region string, incarnationHash uint64) Owner
	// Instances returns how many instances may be live; zero: not known yet.
	Instances func() int
	// Send sends a message to an address. Messages may be lost.
	Send func(address string, message []byte)
	// OnLimit, if set, is called when a limit starts, changes or, with zero, ends. own is set if
	// the backend server named it in a response to this instance. It must not call the limiter.
	OnLimit func(backend string, limit float64, own bool)

	random         func() float64 // nil: rand.Float64
	active         atomic.Bool    // there is state of backend servers
	mu             sync.Mutex
	backends       map[uint64]*backend
	pending        map[uint32]*pendingRequest
	seq            uint32
	maxInstances   int           // largest number of instances lately
	maxInstancesAt time.Duration // when there were last so many
	counts         Counts
}

// backend is the state of one incarnation of a backend server.
type backend struct {
	Backend
	observed    observedLimit
	lastUsed    time.Duration
	reportsLeft int // reports of the end of its limit that are still to be sent
	// Until blockedUntil, no requests of priority or less urgent ones may request a permit.
	blockedUntil  time.Duration
	priority      int
	unusedPermits []time.Duration // when permits were granted that were not used
	bucket        *bucket         // nil unless this instance is the owner
}

// pendingRequest is a permit request that waits for its response.
type pendingRequest struct {
	backend   *backend
	priority  int
	sentAt    time.Duration
	abandoned bool      // no request waits any more: a permit is kept for another one
	result    chan bool // whether it was granted; buffers the one response
}

// RecordResponse records the limit that a response of a backend server named, zero: none. sent is
// when its request was sent.
func (l *Limiter) RecordResponse(b Backend, limit float64, sent time.Duration) {
	if limit == 0 && !l.active.Load() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.backends[b.IncarnationHash]
	if k == nil {
		if limit == 0 {
			return
		}
		k = l.add(b.IncarnationHash)
	}
	k.Backend = b
	l.update(k, observedLimit{limit: float64(float32(limit)), from: sent, to: l.Now()}, true) // rounded as on the wire
}

// ApplyLimited applies gossip that a backend server was limited at a time.
func (l *Limiter) ApplyLimited(b Backend, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.backends[b.IncarnationHash]
	if k == nil {
		k = l.add(b.IncarnationHash)
	}
	k.Backend = b
	l.update(k, gossipedLimit(at), false)
}

// add creates the state of an incarnation of a backend server. The caller holds the lock.
func (l *Limiter) add(incarnationHash uint64) *backend {
	if l.backends == nil {
		l.backends = make(map[uint64]*backend)
		l.pending = make(map[uint32]*pendingRequest)
		l.seq = rand.Uint32()
	}
	k := &backend{Backend: Backend{IncarnationHash: incarnationHash}, lastUsed: l.Now()}
	l.backends[incarnationHash] = k
	l.active.Store(true)
	return k
}

// update merges an observed limit into the state of a backend server. The caller holds the lock.
func (l *Limiter) update(k *backend, o observedLimit, own bool) {
	before := k.observed
	k.observed = o.merge(before)
	if k.observed == before {
		return
	}
	k.lastUsed = l.Now()
	if o.limit == before.limit {
		return
	}
	if o.limit == 0 {
		k.blockedUntil = 0
		if own {
			k.reportsLeft = endReports
		}
	}
	if l.OnLimit != nil && k.Name != "" && (o.limit != unknownLimit || before.limit == 0) {
		l.OnLimit(k.Name, o.limit, own)
	}
}

// Limited reports whether an incarnation of a backend server is limited.
func (l *Limiter) Limited(incarnationHash uint64) bool {
	if !l.active.Load() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.backends[incarnationHash]
	return k != nil && k.observed.limited(l.Now())
}

// Blocked returns for how long requests of a priority will get no permit for an incarnation of a
// backend server; zero: it is not limited, or a permit may be requested.
func (l *Limiter) Blocked(incarnationHash uint64, priority int) time.Duration {
	if !l.active.Load() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.backends[incarnationHash]
	now := l.Now()
	if k == nil || !k.observed.limited(now) || k.hasUnusedPermit(now) {
		return 0
	}
	return k.blockedFor(priority, now)
}

func (k *backend) blockedFor(priority int, now time.Duration) time.Duration {
	if priority < k.priority {
		return 0
	}
	return max(0, k.blockedUntil-now)
}

func (k *backend) block(priority int, d, now time.Duration) {
	if now >= k.blockedUntil || priority < k.priority {
		k.priority = priority
	}
	k.blockedUntil = max(k.blockedUntil, now+d)
}

// hasUnusedPermit drops expired permits and reports whether there is a valid one that was not
// used.
func (k *backend) hasUnusedPermit(now time.Duration) bool {
	for len(k.unusedPermits) > 0 && now-k.unusedPermits[0] >= permitTTL {
		k.unusedPermits = k.unusedPermits[1:]
	}
	return len(k.unusedPermits) > 0
}

// Acquire gets a permit for a request of a priority to a backend server, for which it may wait a
// moment, and returns the time from which it is valid. A backend server that is not limited needs
// none.
func (l *Limiter) Acquire(ctx context.Context, b Backend, priority int) (at time.Duration, ok bool) {
	l.mu.Lock()
	now := l.Now()
	d := l.decide(b, priority, now)
	l.mu.Unlock()
	if d.pending == nil {
		return d.at, d.granted
	}
	for _, wait := range []time.Duration{resendAfter, responseTimeout - resendAfter} {
		l.Send(d.address, d.request)
		select {
		case granted := <-d.pending.result:
			return l.Now(), granted
		case <-ctx.Done():
			l.abandon(d.pending)
			return 0, false
		case <-time.After(wait):
		}
	}
	return l.Now(), l.timeOut(d.pending)
}

// decision is the result for a request that needs a permit: granted, not granted, or a permit
// request that has not been sent yet.
type decision struct {
	granted bool
	at      time.Duration // from when it is valid
	pending *pendingRequest
	address string
	request []byte
}

// decide decides on a request, or creates a permit request. The caller holds the lock.
func (l *Limiter) decide(b Backend, priority int, now time.Duration) decision {
	k := l.backends[b.IncarnationHash]
	if k == nil || !k.observed.limited(now) {
		return decision{granted: true, at: now}
	}
	k.Backend = b
	k.lastUsed = now
	if k.hasUnusedPermit(now) {
		at := k.unusedPermits[0]
		k.unusedPermits = k.unusedPermits[1:]
		return decision{granted: true, at: at}
	}
	if k.blockedFor(priority, now) > 0 {
		return decision{}
	}
	o := l.Owner(b.Region, b.IncarnationHash)
	switch {
	case o.Name == "" || l.liveShare(now) == 0:
		k.block(priority, ownerRetryDelay, now)
		return decision{}
	case o.Address == "":
		status, wait := l.grant(k, o.Name, priority, now)
		l.countResult(status)
		if status != granted {
			k.block(priority, wait, now)
			return decision{}
		}
		return decision{granted: true, at: now}
	}
	l.seq++
	p := &pendingRequest{backend: k, priority: priority, sentAt: now, result: make(chan bool, 1)}
	l.pending[l.seq] = p
	x := permitRequest{seq: l.seq, incarnationHash: b.IncarnationHash, priority: byte(min(priority, 0xff)), observed: k.observed, region: b.Region}
	return decision{pending: p, address: o.Address, request: x.encode(kindRequest, now)}
}

// grant decides on a permit request as the owner. The caller holds the lock.
func (l *Limiter) grant(k *backend, instance string, priority int, now time.Duration) (status, time.Duration) {
	share := l.liveShare(now)
	if share == 0 {
		return denied, ownerRetryDelay
	}
	if !k.observed.limited(now) {
		return granted, 0
	}
	if k.bucket == nil {
		k.bucket = newBucket(now)
	}
	ok, wait := k.bucket.take(instance, priority, k.observed.limit, share, now, l.randomFloat())
	if !ok {
		return denied, wait
	}
	return granted, 0
}

// liveShare returns the share of the recent fleet that is known to be live now, zero while the
// other instances are not known. The caller holds the lock.
func (l *Limiter) liveShare(now time.Duration) float64 {
	n := l.Instances()
	if n >= l.maxInstances || now-l.maxInstancesAt > fleetSizeWindow {
		l.maxInstances = n
		l.maxInstancesAt = now
	}
	if n == 0 {
		return 0
	}
	return float64(n) / float64(l.maxInstances)
}

// abandon records that no request waits for the response any more, and reports whether the response
// is still to come.
func (l *Limiter) abandon(p *pendingRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.abandoned = len(p.result) == 0
	return p.abandoned
}

// timeOut ends a permit request that was not answered in time, and reports whether it was granted
// at the last moment.
func (l *Limiter) timeOut(p *pendingRequest) bool {
	if !l.abandon(p) {
		return <-p.result
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Unanswered++
	p.backend.block(p.priority, ownerRetryDelay/2+time.Duration(l.randomFloat()*float64(ownerRetryDelay)), l.Now())
	return false
}

// randomFloat returns a random number in [0, 1).
func (l *Limiter) randomFloat() float64 {
	if l.random != nil {
		return l.random()
	}
	return rand.Float64()
}

// countResult counts the result of a permit request. The caller holds the lock.
func (l *Limiter) countResult(s status) {
	if s == granted {
		l.counts.Granted++
	} else {
		l.counts.Denied++
	}
}

// Valid reports whether a request to an incarnation of a backend server may be sent now with a
// permit that is valid from a time.
func (l *Limiter) Valid(incarnationHash uint64, at time.Duration) bool {
	return !l.Limited(incarnationHash) || at != 0 && l.Now()-at < permitTTL
}

// Return returns a permit that was not used.
func (l *Limiter) Return(incarnationHash uint64, at time.Duration) {
	if at == 0 || !l.active.Load() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if k := l.backends[incarnationHash]; k != nil && k.observed.limited(l.Now()) {
		k.unusedPermits = append(k.unusedPermits, at)
	}
}

// Counts returns the results of this instance's permit requests.
func (l *Limiter) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// LimitedCount returns the number of backend servers that are limited.
func (l *Limiter) LimitedCount() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	for _, k := range l.backends {
		if k.observed.limited(now) {
			n++
		}
	}
	return n
}

// LastLimited returns when an incarnation of a backend server was last known to be limited. ok is
// false if that need not be announced to other instances.
func (l *Limiter) LastLimited(incarnationHash uint64) (at time.Duration, ok bool) {
	if !l.active.Load() {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.backends[incarnationHash]
	now := l.Now()
	if k == nil || !k.observed.limited(now) || now-k.observed.lastLimited() >= announceFor {
		return 0, false
	}
	return k.observed.lastLimited(), true
}
