// SPDX-License-Identifier: MIT

package quota

import "time"

// Tick requests tokens where they run short, and reports usage to the owners.
func (q *Quota) Tick() {
	q.mu.Lock()
	if len(q.limits) == 0 {
		q.mu.Unlock()
		return
	}
	now := q.Now()
	q.updateInstances(now)
	q.updateOwners(now)
	var due []*account
	for h, a := range q.accounts {
		a.equalShare = q.equalShare(a.limit)
		if a.requestDue(now) {
			due = append(due, a)
		}
		if a.idleTime(now) > evictAfter {
			delete(q.accounts, h)
		}
	}
	out := append(q.requestTokens(due, now), q.probeUnresponsive(now)...)
	for h, b := range q.buckets {
		if b.idle(now) {
			delete(q.buckets, h)
		}
	}
	q.mu.Unlock()
	q.send(out)
}

// updateInstances updates the number of instances to its recent maximum: a partitioned
// instance considers few others live, and each instance of a partition would take the
// share of all others. The caller must hold q.mu.
func (q *Quota) updateInstances(now time.Duration) {
	n := q.Instances()
	if n >= q.instances || now-q.countedAt > shareCapTime {
		q.instances = n
		q.countedAt = now
	}
}

// updateOwners updates the owner of each shard, and since when this instance owns some.
// The caller must hold q.mu.
func (q *Quota) updateOwners(now time.Duration) {
	q.owners = q.Owners()
	for i, o := range q.owners {
		shard := uint64(i)
		_, owned := q.ownedSince[shard]
		switch local := o.Name != "" && o.Address == ""; {
		case owned && !local:
			delete(q.ownedSince, shard)
			q.handOver(shard, now)
		case local && !owned:
			q.ownedSince[shard] = now
			q.dropBuckets(shard)
		}
	}
}

// handOver marks the buckets of a shard as owned by another instance. The caller must
// hold q.mu.
func (q *Quota) handOver(shard uint64, now time.Duration) {
	for h, b := range q.buckets {
		if h%Shards == shard {
			b.handOver(q.limits[h], now)
		}
	}
}

// dropBuckets drops the buckets of a shard that this instance did not own until now: they
// may be full, whatever the previous owner has granted. The caller must hold q.mu.
func (q *Quota) dropBuckets(shard uint64) {
	for h := range q.buckets {
		if h%Shards == shard {
			delete(q.buckets, h)
		}
	}
}

// newBucket returns the bucket of a workspace that no instance has requested tokens for
// since this instance became its owner, or that it does not own. The grants of a previous
// owner are unknown, so the bucket starts nearly empty at the change of owner. The caller
// must hold q.mu.
func (q *Quota) newBucket(hash uint64, l limit, now time.Duration) *bucket {
	b := &bucket{refilledAt: now, ownedSince: now, tokens: min(l.depth, l.slack), requesters: make(map[string]*requester)}
	if since, ok := q.ownedSince[hash%Shards]; ok {
		b.refilledAt = since
		b.ownedSince = since
		b.owned = true
	}
	if q.FirstStart && now-q.startedAt < firstStartTime {
		b.tokens = l.depth
		b.ownedSince = now - l.window
	}
	return b
}

// message is a datagram to send once q.mu is released.
type message struct {
	address string
	payload []byte
}

func (q *Quota) send(out []message) {
	for _, m := range out {
		q.Send(m.address, m.payload)
	}
}

// requestTokens sends a token request for each account. Those owned by this instance are
// answered at once; the others are grouped by owner, and the messages returned. The caller
// must hold q.mu.
func (q *Quota) requestTokens(due []*account, now time.Duration) []message {
	requests := make(map[string][]tokenRequest) // by address
	for _, a := range due {
		o := q.owners[a.hash%Shards]
		if a.setOwner(o, now) {
			q.markUnresponsive(o, now)
		}
		if o.Name == "" {
			continue
		}
		r := a.nextRequest(now)
		if o.Address == "" {
			a.handleResponse(q.handleRequest(o.Name, r, now), now)
			continue
		}
		requests[o.Address] = append(requests[o.Address], r)
	}
	var out []message
	for address, list := range requests {
		for len(list) > 0 {
			n := min(len(list), maxEntries)
			out = append(out, message{address, encodeRequests(list[:n])})
			list = list[n:]
		}
	}
	return out
}

// unresponsiveOwner is an owner that does not respond.
type unresponsiveOwner struct {
	name  string
	since time.Duration
}

// markUnresponsive records that an owner does not respond. The caller must hold q.mu.
func (q *Quota) markUnresponsive(o Owner, now time.Duration) {
	if _, known := q.unresponsive[o.Address]; known || q.OnOwnerResponsive == nil {
		return
	}
	q.unresponsive[o.Address] = unresponsiveOwner{name: o.Name, since: now}
	q.OnOwnerResponsive(o.Name, false)
}

// probeUnresponsive returns probes for the unresponsive owners, if they are due. A shard has
// two owners if some instances consider an owner down and others do not. The caller must
// hold q.mu.
func (q *Quota) probeUnresponsive(now time.Duration) (out []message) {
	if now-q.probedAt < probeInterval {
		return nil
	}
	q.probedAt = now
	for address, x := range q.unresponsive {
		if now-x.since > probeTime {
			delete(q.unresponsive, address)
			continue
		}
		out = append(out, message{address, encodeRequests(nil)})
	}
	return out
}

// markResponsive records that an owner responds again. The caller must hold q.mu.
func (q *Quota) markResponsive(from string) {
	if x, known := q.unresponsive[from]; known {
		delete(q.unresponsive, from)
		q.OnOwnerResponsive(x.name, true)
	}
}

// Receive processes a message from an address.
func (q *Quota) Receive(from string, payload []byte) {
	requests, responses, err := decode(payload)
	if err != nil {
		return // not a message of this version
	}
	q.mu.Lock()
	now := q.Now()
	q.markResponsive(from)
	for _, r := range responses {
		if a := q.accounts[r.hash]; a != nil {
			a.handleResponse(r, now)
		}
	}
	var out []tokenResponse
	for _, r := range requests {
		out = append(out, q.handleRequest(from, r, now))
	}
	q.mu.Unlock()
	if payload[0] == kindRequest {
		q.Send(from, encodeResponses(out))
	}
}

// handleRequest answers a token request as the owner. A workspace that is not known here,
// since its version has not arrived yet, is granted nothing. The caller must hold q.mu.
func (q *Quota) handleRequest(from string, r tokenRequest, now time.Duration) tokenResponse {
	l, ok := q.limits[r.hash]
	if !ok {
		return tokenResponse{hash: r.hash, seq: r.seq, scarce: true}
	}
	b := q.buckets[r.hash]
	if b == nil {
		b = q.newBucket(r.hash, l, now)
		q.buckets[r.hash] = b
	}
	b.fallbackRate = q.fallbackRate(l)
	return b.handleRequest(from, r, l, now)
}
