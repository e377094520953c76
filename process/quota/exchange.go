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
	q.noteInstances(now)
	q.noteOwners(now)
	var due []*account
	for h, a := range q.accounts {
		a.equal = q.equalShare(a.limit)
		if a.due(now) {
			due = append(due, a)
		}
		if a.idle(now) > forgetAfter {
			delete(q.accounts, h)
		}
	}
	out := append(q.ask(due, now), q.tryAgain(now)...)
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
func (q *Quota) noteInstances(now time.Duration) {
	n := q.Instances()
	if n >= q.instances || now-q.countedAt > sharedFor {
		q.instances = n
		q.countedAt = now
	}
}

// noteOwners notes who owns each group, and since when this instance owns some. The
// caller holds the lock.
func (q *Quota) noteOwners(now time.Duration) {
	q.owners = q.Owners()
	for i, o := range q.owners {
		shard := uint64(i)
		_, before := q.owned[shard]
		switch mine := o.Name != "" && o.Address == ""; {
		case before && !mine:
			delete(q.owned, shard)
			q.handOver(shard, now)
		case mine && !before:
			q.owned[shard] = now
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
	b := &bucket{at: now, since: now, tokens: min(l.depth, l.spare), askers: make(map[string]*asker)}
	if since, ok := q.owned[hash%Shards]; ok {
		b.at = since
		b.since = since
		b.owned = true
	}
	if q.First && now-q.began < bootTime {
		b.tokens = l.depth
		b.since = now - l.window
	}
	return b
}

// message is a message and where it goes.
type message struct {
	address string
	text    []byte
}

func (q *Quota) send(out []message) {
	for _, m := range out {
		q.Send(m.address, m.text)
	}
}

// ask makes the asks of some accounts: those whose owner is this instance are
// answered at once, the others are gathered by owner. The caller holds the lock.
func (q *Quota) ask(due []*account, now time.Duration) []message {
	asks := make(map[string][]ask) // by address
	for _, a := range due {
		o := q.owners[a.hash%Shards]
		if a.turnTo(o, now) {
			q.noteSilent(o, now)
		}
		if o.Name == "" {
			continue
		}
		x := a.ask(now)
		if o.Address == "" {
			a.hear(q.answer(o.Name, x, now), now)
			continue
		}
		asks[o.Address] = append(asks[o.Address], x)
	}
	var out []message
	for address, list := range asks {
		for len(list) > 0 {
			n := min(len(list), mostEntries)
			out = append(out, message{address, encodeAsks(list[:n])})
			list = list[n:]
		}
	}
	return out
}

// silence is that of an owner that does not answer.
type silence struct {
	name  string
	since time.Duration
}

// noteSilent notes an owner that does not answer. The caller holds the lock.
func (q *Quota) noteSilent(o Owner, now time.Duration) {
	if _, known := q.silent[o.Address]; known || q.Answers == nil {
		return
	}
	q.silent[o.Address] = silence{name: o.Name, since: now}
	q.Answers(o.Name, false)
}

// tryAgain returns messages to the owners that did not answer, if it is time for them:
// instances that take one for dead while others do not have two owners between them.
// The caller holds the lock.
func (q *Quota) tryAgain(now time.Duration) (out []message) {
	if now-q.triedAt < tryPause {
		return nil
	}
	q.triedAt = now
	for address, x := range q.silent {
		if now-x.since > tryFor {
			delete(q.silent, address)
			continue
		}
		out = append(out, message{address, encodeAsks(nil)})
	}
	return out
}

// heard notes that an owner answers again. The caller holds the lock.
func (q *Quota) heard(from string) {
	if x, known := q.silent[from]; known {
		delete(q.silent, from)
		q.Answers(x.name, true)
	}
}

// Hear takes up a message from an address.
func (q *Quota) Hear(from string, text []byte) {
	asks, answers, err := decode(text)
	if err != nil {
		return // it is of no instance of this version
	}
	q.mu.Lock()
	now := q.Now()
	q.heard(from)
	for _, x := range answers {
		if a := q.accounts[x.hash]; a != nil {
			a.hear(x, now)
		}
	}
	var out []answer
	for _, x := range asks {
		out = append(out, q.answer(from, x, now))
	}
	q.mu.Unlock()
	if text[0] == kindAsk {
		q.Send(from, encodeAnswers(out))
	}
}

// answer answers an ask as the owner. A workspace that is not known here, since the
// version is on its way, gets nothing yet. The caller holds the lock.
func (q *Quota) answer(from string, x ask, now time.Duration) answer {
	l, ok := q.limits[x.hash]
	if !ok {
		return answer{hash: x.hash, seq: x.seq, scarce: true}
	}
	b := q.buckets[x.hash]
	if b == nil {
		b = q.newBucket(x.hash, l, now)
		q.buckets[x.hash] = b
	}
	b.alone = q.aloneRate(l)
	return b.answer(from, x, l, now)
}
