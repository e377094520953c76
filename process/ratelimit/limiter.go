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
	// TickTime is the pause between two calls of Tick.
	TickTime = 250 * time.Millisecond
	// resendAfter is how long after an ask it is sent once more, above the way to another region and
	// back, and answerWithin how long a request waits for the answer.
	resendAfter   = 80 * time.Millisecond
	answerTimeout = 160 * time.Millisecond
	// retryOwner is how long no permit is asked for after an owner did not answer, or was none.
	ownerRetryDelay = 200 * time.Millisecond
	// permitFor is how long a permit is good.
	permitTTL = time.Second
	// reports is how often the owner is told that a limit has ended.
	endReports = 3
	// countedFor is how long the largest number of instances counts for the size of the fleet, so
	// that one side of a cut does not take the limit of both.
	fleetSizeWindow = time.Minute
	// forgetAfter is how long a backend server is remembered that nobody asks about.
	forgetAfter = 10 * time.Minute
)

// Backend is one start of a backend server.
type Backend struct {
	Start  uint64 // identifies the start
	Name   string
	Region string
}

// Owner is the instance that gives the permits of a backend server.
type Owner struct {
	Name    string
	Address string // where it takes messages; "": it is this instance
}

// Counts are how many asks of this instance were granted, denied and not answered.
type Counts struct{ Granted, Denied, Unanswered int64 }

// Limiter is the rate limits at one instance. The fields are set before use.
type Limiter struct {
	Now func() time.Duration
	// Owner returns the owner of a start of a backend server in a region; one without a name while
	// nobody is known.
	Owner func(region string, start uint64) Owner
	// Instances returns how many instances may be at work; zero: not known yet.
	Instances func() int
	// Send sends a message to an address. Messages may be lost.
	Send func(address string, message []byte)
	// OnLimit, if set, is told of a limit that begins, changes or, with zero, ends; own: the
	// backend server told it to this instance. It must not call the limiter.
	OnLimit func(backend string, limit float64, own bool)

	random         func() float64 // rand.Float64, but in a model
	active         atomic.Bool    // a backend server is known that is limited, or was lately
	mu             sync.Mutex
	backends       map[uint64]*backend
	pending        map[uint32]*pendingRequest
	seq            uint32
	maxInstances   int           // the most instances that there were lately
	maxInstancesAt time.Duration // when there were so many last
	counts         Counts
}

// backend is what is known of one start of a backend server.
type backend struct {
	Backend
	observed    observedLimit
	lastUsed    time.Duration // when it was last of use
	reportsLeft int           // that are still to be sent of the end of its limit
	// Until blocked, no request that is as urgent as priority or less may ask for a permit.
	blockedUntil  time.Duration
	priority      int
	unusedPermits []time.Duration // when permits were given that were not used
	bucket        *bucket         // nil unless this instance is the owner
}

// pending is an ask that waits for its answer.
type pendingRequest struct {
	backend   *backend
	priority  int
	sentAt    time.Duration
	abandoned bool      // nobody waits any more: a permit is for another request
	result    chan bool // whether it was granted; has room for the one answer
}

// Answered takes up what an answer of a backend server said of its limit, zero: none. Its request was
// sent at a time.
func (l *Limiter) RecordAnswer(b Backend, limit float64, sent time.Duration) {
	if limit == 0 && !l.active.Load() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.backends[b.Start]
	if k == nil {
		if limit == 0 {
			return
		}
		k = l.add(b.Start)
	}
	k.Backend = b
	l.update(k, observedLimit{limit: float64(float32(limit)), from: sent, to: l.Now()}, true) // as it is on the wire
}

// HearLimited takes up that another instance knows of a limit, told some time ago.
func (l *Limiter) ApplyLimited(b Backend, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.backends[b.Start]
	if k == nil {
		k = l.add(b.Start)
	}
	k.Backend = b
	l.update(k, gossipedLimit(at), false)
}

// add begins to keep a start of a backend server. The caller holds the lock.
func (l *Limiter) add(start uint64) *backend {
	if l.backends == nil {
		l.backends = make(map[uint64]*backend)
		l.pending = make(map[uint32]*pendingRequest)
		l.seq = rand.Uint32()
	}
	k := &backend{Backend: Backend{Start: start}, lastUsed: l.Now()}
	l.backends[start] = k
	l.active.Store(true)
	return k
}

// learn takes up a word if it is newer. The caller holds the lock.
func (l *Limiter) update(k *backend, w observedLimit, own bool) {
	before := k.observed
	k.observed = w.merge(before)
	if k.observed == before {
		return
	}
	k.lastUsed = l.Now()
	if w.limit == before.limit {
		return
	}
	if w.limit == 0 {
		k.blockedUntil = 0
		if own {
			k.reportsLeft = endReports
		}
	}
	if l.OnLimit != nil && k.Name != "" && (w.limit != unknownLimit || before.limit == 0) {
		l.OnLimit(k.Name, w.limit, own)
	}
}

// Limited reports whether a start of a backend server is limited.
func (l *Limiter) Limited(start uint64) bool {
	if !l.active.Load() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.backends[start]
	return k != nil && k.observed.limited(l.Now())
}

// Blocked returns for how long requests of a priority get no permit for a start of a backend
// server; zero: it takes them, or may be asked.
func (l *Limiter) Blocked(start uint64, priority int) time.Duration {
	if !l.active.Load() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.backends[start]
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

// hasSpare reports whether there is a permit that was not used.
func (k *backend) hasUnusedPermit(now time.Duration) bool {
	for len(k.unusedPermits) > 0 && now-k.unusedPermits[0] >= permitTTL {
		k.unusedPermits = k.unusedPermits[1:]
	}
	return len(k.unusedPermits) > 0
}

// Acquire gets a permit for a request of a priority to a backend server, for which it may wait a
// moment, and returns as of when it holds. One that is not limited needs none.
func (l *Limiter) Acquire(ctx context.Context, b Backend, priority int) (at time.Duration, ok bool) {
	l.mu.Lock()
	now := l.Now()
	d := l.decide(b, priority, now)
	l.mu.Unlock()
	if d.pending == nil {
		return d.at, d.granted
	}
	for _, pause := range []time.Duration{resendAfter, answerTimeout - resendAfter} {
		l.Send(d.address, d.request)
		select {
		case granted := <-d.pending.result:
			return l.Now(), granted
		case <-ctx.Done():
			l.abandon(d.pending)
			return 0, false
		case <-time.After(pause):
		}
	}
	return l.Now(), l.timeOut(d.pending)
}

// decision is what becomes of a request that wants a permit: granted or not, or an ask that was not
// sent yet.
type decision struct {
	granted bool
	at      time.Duration // as of when it is
	pending *pendingRequest
	address string
	request []byte
}

// decide decides on a request, or makes an ask. The caller holds the lock.
func (l *Limiter) decide(b Backend, priority int, now time.Duration) decision {
	k := l.backends[b.Start]
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
	o := l.Owner(b.Region, b.Start)
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
	x := permitRequest{seq: l.seq, start: b.Start, priority: byte(min(priority, 0xff)), observed: k.observed, region: b.Region}
	return decision{pending: p, address: o.Address, request: x.encode(kindRequest, now)}
}

// grant decides on a request as the owner. The caller holds the lock.
func (l *Limiter) grant(k *backend, from string, priority int, now time.Duration) (status, time.Duration) {
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
	ok, wait := k.bucket.take(from, priority, k.observed.limit, share, now, l.randomFloat())
	if !ok {
		return denied, wait
	}
	return granted, 0
}

// share returns the part of the instances that there were lately which this one knows to be at work
// now; zero while it does not know the others. The caller holds the lock.
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

// leave notes that nobody waits for the answer to an ask any more, and reports whether it is still to
// come.
func (l *Limiter) abandon(p *pendingRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.abandoned = len(p.result) == 0
	return p.abandoned
}

// giveUp ends an ask that was not answered in time, and reports whether it was granted in the last
// moment.
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

// draw returns a random number below 1.
func (l *Limiter) randomFloat() float64 {
	if l.random != nil {
		return l.random()
	}
	return rand.Float64()
}

// count counts what became of an ask. The caller holds the lock.
func (l *Limiter) countResult(s status) {
	if s == granted {
		l.counts.Granted++
	} else {
		l.counts.Denied++
	}
}

// Valid reports whether a request to a start of a backend server may leave now with a permit that
// holds as of a time.
func (l *Limiter) Valid(start uint64, at time.Duration) bool {
	return !l.Limited(start) || at != 0 && l.Now()-at < permitTTL
}

// Return gives back a permit that was not used.
func (l *Limiter) Return(start uint64, at time.Duration) {
	if at == 0 || !l.active.Load() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if k := l.backends[start]; k != nil && k.observed.limited(l.Now()) {
		k.unusedPermits = append(k.unusedPermits, at)
	}
}

// Counts returns what became of the asks of this instance.
func (l *Limiter) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// Known returns the number of backend servers that are limited.
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

// ToldAt returns when a start of a backend server said that it is limited, if others should hear of
// that.
func (l *Limiter) LastLimited(start uint64) (at time.Duration, ok bool) {
	if !l.active.Load() {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.backends[start]
	now := l.Now()
	if k == nil || !k.observed.limited(now) || now-k.observed.lastLimited() >= announceFor {
		return 0, false
	}
	return k.observed.lastLimited(), true
}
