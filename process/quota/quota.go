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

// TickInterval is the interval at which Tick is called. In the simulation an owner learned
// of a flood one burst too late at twice the interval.
const TickInterval = 250 * time.Millisecond

const (
	// Shards is the number of groups of workspaces. The workspaces of a shard have the same
	// owner, so that an instance needs few datagrams for many workspaces.
	Shards = 16
	// probeInterval is the interval at which unresponsive owners are probed, for probeTime.
	// After that an owner is gone, or has restarted and announced it.
	probeInterval = time.Second
	probeTime     = 2 * time.Minute
	// firstStartTime is the time after the first start of all instances during which an
	// owner assumes that no tokens were granted before.
	firstStartTime = 20 * time.Second
)

// Tolerance is the excess over a limit that operators accept: in each Window, Over as a
// fraction of what the limit allows, plus Slack requests. It covers prefetched tokens, up
// to a quarter of it, and is not used to admit more.
type Tolerance struct {
	Window time.Duration
	Over   float64
	Slack  float64
}

// Owner is an instance that grants tokens.
type Owner struct {
	Name    string
	Address string // of its peer socket; "" is this instance
}

// Quota enforces the rate limits of all workspaces at one instance. The exported fields
// must be set before use.
type Quota struct {
	Now       func() time.Duration
	Tolerance Tolerance
	// Owners returns the owner of each shard, without a name while none is known. It is
	// called on each tick.
	Owners func() [Shards]Owner
	// Instances returns the number of instances that receive requests; 0 if not yet known.
	Instances func() int
	// Send sends a message to an address. Messages may be lost.
	Send func(address string, message []byte)
	// OnOwnerResponsive, if set, is called when an owner stops responding and when it
	// responds again. It must not call the Quota.
	OnOwnerResponsive func(name string, ok bool)
	// FirstStart is set if all instances start for the first time, so that no tokens were
	// granted before.
	FirstStart bool

	mu           sync.Mutex
	startedAt    time.Duration // time of the first Install; 0 before it
	workspaces   *version.Workspaces
	limits       map[uint64]limit // by hash of the workspace name; only workspaces with a rate
	owners       [Shards]Owner
	instances    int                      // recent maximum, see updateInstances
	countedAt    time.Duration            // when instances was last reached
	ownedSince   map[uint64]time.Duration // shards owned by this instance
	accounts     map[uint64]*account
	unresponsive map[string]unresponsiveOwner // owners that do not respond, by address
	probedAt     time.Duration                // when unresponsive owners were last probed
	buckets      map[uint64]*bucket           // of workspaces for which this instance received token requests
}

// limit is the rate limit of a workspace.
type limit struct {
	rate       float64 // requests per second
	depth      float64 // bucket capacity
	slack      float64 // part of depth beyond the burst
	prefetched float64 // tokens that instances may hold in addition to a full bucket
	fallback   float64 // fraction of its share that an instance uses while no owner responds
	window     time.Duration
}

// Install applies the limits of a configuration version.
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

// limit returns the rate limit of a workspace.
func (t Tolerance) limit(v *version.WorkspaceView) limit {
	l := limit{rate: v.Rate, depth: max(1, v.Burst+t.bucketSlack()), slack: t.bucketSlack(), window: t.Window}
	l.prefetched = t.excess(l) / 4
	l.fallback = t.fallback(l)
	return l
}

// fallback returns the fraction of its share that an instance uses while no owner responds.
func (t Tolerance) fallback(l limit) float64 {
	usualRequests := usualExcess * l.rate * t.Window.Seconds()
	if usualRequests == 0 {
		return fallbackFraction
	}
	return min(maxFallbackFraction, fallbackFraction*t.excess(l)/usualRequests)
}

// bucketSlack returns the bucket capacity beyond the burst.
func (t Tolerance) bucketSlack() float64 { return t.Slack / 4 }

// excess returns the number of requests by which a limit may be exceeded per window.
func (t Tolerance) excess(l limit) float64 {
	return t.Over*(l.rate*t.Window.Seconds()+l.depth-t.bucketSlack()) + t.Slack
}

func hashOf(workspace string) uint64 { return xxhash.Sum64String(workspace) }

// Take admits a request of a workspace, or returns why it is refused. If a pending token
// request may yield a token, it waits for the response for up to maxWait. A nil workspace
// has no limit.
func (q *Quota) Take(ctx context.Context, w *version.WorkspaceView) (ok bool, refusal Refusal) {
	if w == nil || w.Rate == 0 {
		return true, Refusal{}
	}
	var deadline <-chan time.Time
	for first := true; ; first = false {
		d := q.decide(w, first)
		if d.response == nil {
			return d.admitted, d.refusal
		}
		if deadline == nil {
			t := time.NewTimer(maxWait)
			defer t.Stop()
			deadline = t.C
		}
		select {
		case <-d.response:
		case <-deadline:
			d = q.decide(w, false) // the fallback share applies if the owner has not responded
			return d.admitted, d.refusal
		case <-ctx.Done():
			return false, d.refusal
		}
	}
}

// decision is the result of trying to admit a request.
type decision struct {
	admitted bool
	refusal  Refusal         // valid unless admitted
	response <-chan struct{} // closed with the next response, if it is worth waiting for
}

// decide tries to admit a request. First is false if the request has already waited.
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
	admitted := a.admit(now)
	var out []message
	if a.needsTokens(now) {
		out = q.requestTokens([]*account{a}, now)
		admitted = admitted || a.admit(now) // this instance may be the owner
	}
	d := decision{admitted: admitted}
	if !admitted {
		d.refusal = a.refusal(now)
		d.response = a.awaitResponse(now)
	}
	q.mu.Unlock()
	q.send(out)
	return d
}

// Return returns the token of a request that was admitted and has not run.
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

// CountRetry counts another run of a request that was admitted.
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

// account returns the account of a workspace, or nil if it has no limit. The caller must
// hold q.mu.
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
	excess := q.Tolerance.excess(l) / float64(max(1, q.instances))
	a.creditAllowed = q.instances > 0 && excess/2 >= minCredit
	a.maxCredit = max(minCredit, excess/4)
	return a
}

// equalShare returns the rate of an instance if all instances had the same usage.
func (q *Quota) equalShare(l limit) float64 {
	n := q.instances
	if n == 0 {
		return 0
	}
	return l.rate / float64(n)
}

// fallbackRate returns the rate of an instance without an owner if all instances had the
// same usage.
func (q *Quota) fallbackRate(l limit) float64 { return l.fallback * q.equalShare(l) }
