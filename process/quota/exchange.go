// SPDX-License-Identifier: MIT

package quota

import "time"

// Tick asks the owners for tokens where they run short, and tells them what was used.
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

// noteInstances notes how many instances there are: the most that there were lately,
// since one that is cut off takes few for alive, and each of those behind a cut would
// take the share of all others for its own. The caller holds the lock.
func (q *Quota) updateInstances(now time.Duration) {
	n := q.Instances()
	if n >= q.instances || now-q.countedAt > shareCapTime {
		q.instances = n
		q.countedAt = now
	}
}

// noteOwners notes who owns each group, and since when this instance owns some. The
// caller holds the lock.
func (q *Quota) updateOwners(now time.Duration) {
	q.owners = q.Owners()
	for i, o := range q.owners {
		shard := uint64(i)
		_, before := q.ownedSince[shard]
		switch mine := o.Name != "" && o.Address == ""; {
		case before && !mine:
			delete(q.ownedSince, shard)
			q.handOver(shard, now)
		case mine && !before:
			q.ownedSince[shard] = now
			q.dropBuckets(shard)
		}
	}
}

// handOver notes that another instance owns a group now. The caller holds the lock.
func (q *Quota) handOver(shard uint64, now time.Duration) {
	for h, b := range q.buckets {
		if h%Shards == shard {
			b.handOver(q.limits[h], now)
		}
	}
}

// dropBuckets forgets the buckets of a group that this instance did not own until now:
// they may be full, whatever the owner before has given. The caller holds the lock.
func (q *Quota) dropBuckets(shard uint64) {
	for h := range q.buckets {
		if h%Shards == shard {
			delete(q.buckets, h)
		}
	}
}

// newBucket returns the bucket of a workspace that nobody asked this instance for
// since it owns it, or that it does not own. What the owner before has given is not known,
// so the bucket fills from nearly nothing since then. The caller holds the lock.
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

// message is a message and where it goes.
type message struct {
	address string
	payload []byte
}

func (q *Quota) send(out []message) {
	for _, m := range out {
		q.Send(m.address, m.payload)
	}
}

// ask makes the asks of some accounts: those whose owner is this instance are
// answered at once, the others are gathered by owner. The caller holds the lock.
func (q *Quota) requestTokens(due []*account, now time.Duration) []message {
	asks := make(map[string][]tokenRequest) // by address
	for _, a := range due {
		o := q.owners[a.hash%Shards]
		if a.setOwner(o, now) {
			q.markUnresponsive(o, now)
		}
		if o.Name == "" {
			continue
		}
		x := a.nextRequest(now)
		if o.Address == "" {
			a.handleResponse(q.handleRequest(o.Name, x, now), now)
			continue
		}
		asks[o.Address] = append(asks[o.Address], x)
	}
	var out []message
	for address, list := range asks {
		for len(list) > 0 {
			n := min(len(list), maxEntries)
			out = append(out, message{address, encodeRequests(list[:n])})
			list = list[n:]
		}
	}
	return out
}

// silence is that of an owner that does not answer.
type unresponsiveOwner struct {
	name  string
	since time.Duration
}

// noteSilent notes an owner that does not answer. The caller holds the lock.
func (q *Quota) markUnresponsive(o Owner, now time.Duration) {
	if _, known := q.unresponsive[o.Address]; known || q.OnOwnerResponsive == nil {
		return
	}
	q.unresponsive[o.Address] = unresponsiveOwner{name: o.Name, since: now}
	q.OnOwnerResponsive(o.Name, false)
}

// tryAgain returns messages to the owners that did not answer, if it is time for them:
// instances that take one for dead while others do not have two owners between them.
// The caller holds the lock.
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

// heard notes that an owner answers again. The caller holds the lock.
func (q *Quota) markResponsive(from string) {
	if x, known := q.unresponsive[from]; known {
		delete(q.unresponsive, from)
		q.OnOwnerResponsive(x.name, true)
	}
}

// Hear takes up a message from an address.
func (q *Quota) Receive(from string, text []byte) {
	asks, answers, err := decode(text)
	if err != nil {
		return // it is of no instance of this version
	}
	q.mu.Lock()
	now := q.Now()
	q.markResponsive(from)
	for _, x := range answers {
		if a := q.accounts[x.hash]; a != nil {
			a.handleResponse(x, now)
		}
	}
	var out []tokenResponse
	for _, x := range asks {
		out = append(out, q.handleRequest(from, x, now))
	}
	q.mu.Unlock()
	if text[0] == kindRequest {
		q.Send(from, encodeResponses(out))
	}
}

// answer answers an ask as the owner. A workspace that is not known here, since the
// version is on its way, gets nothing yet. The caller holds the lock.
func (q *Quota) handleRequest(from string, x tokenRequest, now time.Duration) tokenResponse {
	l, ok := q.limits[x.hash]
	if !ok {
		return tokenResponse{hash: x.hash, seq: x.seq, scarce: true}
	}
	b := q.buckets[x.hash]
	if b == nil {
		b = q.newBucket(x.hash, l, now)
		q.buckets[x.hash] = b
	}
	b.fallbackRate = q.fallbackRate(l)
	return b.handleRequest(from, x, l, now)
}
