// SPDX-License-Identifier: MIT

package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"shalewick/version"
)

// TickTime is the pause between two calls of Tick. Origin: the model; at twice that
// an owner learns of a flood a burst too late.
const TickInterval = 250 * time.Millisecond

const (
	// Shards is the number of groups of workspaces that have an owner in common, so
	// that an instance asks for many workspaces in few datagrams.
	Shards = 16
	// tryPause is the pause between two messages to an owner that does not answer, and
	// tryFor how long it gets some: by then it is gone, or has started anew and said so.
	probeInterval = time.Second
	probeTime     = 2 * time.Minute
	// bootTime is how long after the first start of all instances an owner takes
	// it that nothing was used before.
	firstStartTime = 20 * time.Second
)

// Tolerance is how far above a limit operators let a workspace come: in each Window,
// a part Over of what the limit allows and Slack requests. It is used for what is
// under way, a quarter of it at most, not to let more in.
type Tolerance struct {
	Window time.Duration
	Over   float64
	Slack  float64
}

// Owner is an instance that grants tokens.
type Owner struct {
	Name    string
	Address string // where it takes messages; "": it is this instance
}

// Quota is the limits of all workspaces at one instance. The fields are set before
// use.
type Quota struct {
	Now       func() time.Duration
	Tolerance Tolerance
	// Owners returns who owns each group of workspaces; one without a name while
	// nobody is known. It is asked at each tick.
	Owners func() [Shards]Owner
	// Instances returns how many instances callers are sent to; zero: not known yet.
	Instances func() int
	// Send sends a message to an address. Messages may be lost.
	Send func(address string, message []byte)
	// Answers, if set, is told that an instance does not answer, and when it does
	// again. It must not call the quota.
	OnOwnerResponsive func(name string, ok bool)
	// First says that all instances start for the first time, so that nothing was
	// used before.
	FirstStart bool

	mu           sync.Mutex
	startedAt    time.Duration // of the first call; zero: none yet
	workspaces   *version.Workspaces
	limits       map[uint64]limit // by hash of the name; those without a bound are not there
	owners       [Shards]Owner
	instances    int                      // the most that there were lately
	countedAt    time.Duration            // when there were so many last
	ownedSince   map[uint64]time.Duration // since when this instance owns a group
	accounts     map[uint64]*account
	unresponsive map[string]unresponsiveOwner // owners that did not answer, by address
	probedAt     time.Duration                // when those were tried again last
	buckets      map[uint64]*bucket           // of the workspaces that this instance owns
}

// limit is what a workspace may use.
type limit struct {
	rate       float64 // requests a second
	depth      float64 // of the bucket: what may come at once
	slack      float64 // the part of that beyond the burst
	prefetched float64 // tokens that instances may have beside a full bucket
	fallback   float64 // the part of its share that an instance uses while no owner answers
	window     time.Duration
}

// Install puts the limits of a version in force.
func (q *Quota) Install(w *version.Workspaces) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.limits != nil && q.workspaces == w {
		return
	}
	q.workspaces = w
	q.limits = make(map[uint64]limit)
	w.Each(func(v *version.WorkspaceView) {
		if v.Rate > 0 {
			q.limits[hashOf(v.Name)] = q.Tolerance.limit(v)
		}
	})
	if q.accounts == nil {
		q.accounts = make(map[uint64]*account)
		q.unresponsive = make(map[string]unresponsiveOwner)
		q.buckets = make(map[uint64]*bucket)
		q.ownedSince = make(map[uint64]time.Duration)
		q.startedAt = q.Now()
		q.updateInstances(q.startedAt)
		q.updateOwners(q.startedAt)
	}
	for h := range q.accounts {
		if _, ok := q.limits[h]; !ok {
			delete(q.accounts, h)
		}
	}
	for h := range q.buckets {
		if _, ok := q.limits[h]; !ok {
			delete(q.buckets, h)
		}
	}
}

// limit returns what a workspace may use.
func (t Tolerance) limit(v *version.WorkspaceView) limit {
	l := limit{rate: v.Rate, depth: max(1, v.Burst+t.bucketSlack()), slack: t.bucketSlack(), window: t.Window}
	l.prefetched = t.excess(l) / 4
	l.fallback = t.fallback(l)
	return l
}

// alone is the part of its share that an instance uses while no owner answers.
func (t Tolerance) fallback(l limit) float64 {
	usual := usualExcess * l.rate * t.Window.Seconds()
	if usual == 0 {
		return fallbackFraction
	}
	return min(maxFallbackFraction, fallbackFraction*t.excess(l)/usual)
}

// spare is what a bucket holds beyond the burst.
func (t Tolerance) bucketSlack() float64 { return t.Slack / 4 }

// above is the number of requests by which a limit may be passed in a window.
func (t Tolerance) excess(l limit) float64 {
	return t.Over*(l.rate*t.Window.Seconds()+l.depth-t.bucketSlack()) + t.Slack
}

func hashOf(workspace string) uint64 { return xxhash.Sum64String(workspace) }

// Take lets a request of a workspace in, or says why not. It waits for the answer of
// the owner, for waitMost at most, where that may bring a token. A nil workspace has
// no limit.
func (q *Quota) Take(ctx context.Context, w *version.WorkspaceView) (ok bool, why Refusal) {
	if w == nil || w.Rate == 0 {
		return true, Refusal{}
	}
	var deadline <-chan time.Time
	for first := true; ; first = false {
		v := q.decide(w, first)
		if v.response == nil {
			return v.admitted, v.refusal
		}
		if deadline == nil {
			t := time.NewTimer(maxWait)
			defer t.Stop()
			deadline = t.C
		}
		select {
		case <-v.response:
		case <-deadline:
			v = q.decide(w, false) // an owner that does not answer leaves its part to this instance meanwhile
			return v.admitted, v.refusal
		case <-ctx.Done():
			return false, v.refusal
		}
	}
}

// verdict says whether a request may come in.
type decision struct {
	admitted bool
	refusal  Refusal         // if it may not
	response <-chan struct{} // if set, an answer is worth waiting for; it is closed then
}

// try decides on a request once. First is set unless it has waited already.
func (q *Quota) decide(w *version.WorkspaceView, first bool) decision {
	q.mu.Lock()
	a := q.account(hashOf(w.Name))
	if a == nil {
		q.mu.Unlock()
		return decision{admitted: true}
	}
	now := q.Now()
	if first {
		a.noteRequest(now)
	}
	in := a.admit(now)
	var out []message
	if a.needsTokens(now) {
		out = q.requestTokens([]*account{a}, now)
		in = in || a.admit(now) // this instance may be the owner
	}
	v := decision{admitted: in}
	if !in {
		v.refusal = a.refusal(now)
		v.response = a.awaitResponse(now)
	}
	q.mu.Unlock()
	q.send(out)
	return v
}

// Return gives the token of a request back that was let in and has not run.
func (q *Quota) Return(w *version.WorkspaceView) {
	if w == nil || w.Rate == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if a := q.account(hashOf(w.Name)); a != nil {
		a.refund()
	}
}

// Again counts a request that was let in and runs once more.
func (q *Quota) CountRetry(w *version.WorkspaceView) {
	if w == nil || w.Rate == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if a := q.account(hashOf(w.Name)); a != nil {
		a.unreported++
	}
}

// account returns that of a workspace, or nil if it has no limit. The caller holds
// the lock.
func (q *Quota) account(hash uint64) *account {
	l, ok := q.limits[hash]
	if !ok {
		return nil
	}
	a := q.accounts[hash]
	if a == nil {
		a = &account{hash: hash, rand: rand.Float64, seq: byte(rand.Uint32())}
		a.equalShare = q.equalShare(l)
		q.accounts[hash] = a
	}
	a.limit = l
	above := q.Tolerance.excess(l) / float64(max(1, q.instances))
	a.creditAllowed = q.instances > 0 && above/2 >= minCredit
	a.maxCredit = max(minCredit, above/4)
	return a
}

// equalShare is the rate of an instance if all use equally much.
func (q *Quota) equalShare(l limit) float64 {
	n := q.instances
	if n == 0 {
		return 0
	}
	return l.rate / float64(n)
}

// aloneRate is the rate of an instance without an owner if all use equally much.
func (q *Quota) fallbackRate(l limit) float64 { return l.fallback * q.equalShare(l) }
