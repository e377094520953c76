// SPDX-License-Identifier: MIT

package member

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"shalewick/process/peer"
	"shalewick/process/platform"
)

// LapseTime is how long a beat must stand still for a member to count as
// lapsed. Where there are many members, who then poll less often, it is
// lapsePerMember for each.
const (
	LapseTime      = 8 * time.Second
	lapsePerMember = 200 * time.Millisecond
)

// SeenTime is how long after a direct answer a member counts as live.
const SeenTime = 3 * time.Second

// forgetTime is how long a dead member is remembered.
const forgetTime = 10 * time.Minute

// Registry keeps the members that are known. All times are durations on the
// process's clock.
type Registry struct {
	mu       sync.Mutex
	self     *peer.Member
	members  map[string]*entry
	listed   map[string]bool // instances in the platform's list
	listRead bool
	// reading is since when the platform's rows were read without a failure.
	reading  time.Duration
	readable bool
	// digest is kept until changed is set, or it is too old.
	digest    uint64
	digestAt  time.Duration
	digestSet bool
	changed   bool
}

type entry struct {
	info      *peer.Member
	beatSince time.Duration // when the present beat was first seen in a row
	inRows    bool
	seen      time.Duration // last direct answer
	known     time.Duration // first heard of
	everSeen  bool
	failed    time.Duration // last call to it that failed
	deadSince time.Duration
	dead      bool
}

// NewRegistry returns a registry that knows only the member itself.
func NewRegistry(self *peer.Member) *Registry {
	return &Registry{self: self, members: make(map[string]*entry)}
}

func (r *Registry) lapse() time.Duration {
	return max(LapseTime, time.Duration(len(r.members))*lapsePerMember)
}

// Self returns a copy of the own member.
func (r *Registry) Self() *peer.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return proto.CloneOf(r.self)
}

// Leaving reports whether the own member is leaving.
func (r *Registry) Leaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self.GetLeaving()
}

// UpdateSelf changes the own member.
func (r *Registry) UpdateSelf(f func(*peer.Member)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.self)
	r.changed = true
}

// Merge takes up what a peer or a row says of members. Fields that only ever
// change one way (leaving, gone, successor) never change back.
func (r *Registry) Merge(ms []*peer.Member, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range ms {
		r.merge(m, now)
	}
}

func (r *Registry) merge(m *peer.Member, now time.Duration) *entry {
	if m.GetId() == "" || m.GetId() == r.self.GetId() {
		return nil
	}
	e := r.members[m.GetId()]
	if e == nil {
		e = &entry{info: proto.CloneOf(m), known: now}
		r.members[m.GetId()] = e
		r.changed = true
		return e
	}
	told := e.info.GetLeaving() != m.GetLeaving() || e.info.GetGone() != m.GetGone() || e.info.GetSuccessor() != m.GetSuccessor()
	r.changed = r.changed || told
	e.info.Leaving = e.info.Leaving || m.GetLeaving()
	e.info.Gone = e.info.Gone || m.GetGone()
	e.info.Successor = cmp.Or(e.info.GetSuccessor(), m.GetSuccessor())
	return e
}

// Rows takes up a read of the members' rows.
func (r *Registry) Rows(ms []*peer.Member, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.readable {
		r.readable = true
		r.reading = now
	}
	for _, m := range ms {
		e := r.merge(m, now)
		if e == nil {
			continue
		}
		if !e.inRows || m.GetBeat() > e.info.GetBeat() {
			e.inRows = true
			e.beatSince = now
			e.info.Beat = m.GetBeat()
		}
	}
}

// Unreadable notes that the platform could not be read; no beat lapses until
// it was readable for LapseTime again.
func (r *Registry) Unreadable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readable = false
}

// List takes up the platform's list of instances.
func (r *Registry) List(list []platform.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listRead = true
	r.listed = make(map[string]bool, len(list))
	for _, i := range list {
		r.listed[i.Name] = true
		if i.State == platform.StateLeaving {
			r.leaving(i.Name)
		}
	}
}

// Absent returns the names of instances that the platform's list has, but of
// which no member is known.
func (r *Registry) Absent() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := map[string]bool{r.self.GetInstance(): true}
	for _, e := range r.members {
		if !e.info.GetGone() {
			known[e.info.GetInstance()] = true
		}
	}
	var out []string
	for name := range r.listed {
		if !known[name] {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// leaving marks the members of an instance as leaving.
func (r *Registry) leaving(instance string) {
	if r.self.GetInstance() == instance {
		r.changed = r.changed || !r.self.GetLeaving()
		r.self.Leaving = true
	}
	for _, e := range r.members {
		if e.info.GetInstance() == instance {
			r.changed = r.changed || !e.info.GetLeaving()
			e.info.Leaving = true
		}
	}
}

// Seen notes a direct answer of a member.
func (r *Registry) Seen(id string, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.members[id]; e != nil {
		e.seen = now
		e.everSeen = true
	}
}

// Unreachable notes that the member at a peer address did not answer.
func (r *Registry) Unreachable(address string, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.members {
		if e.info.GetPeer() == address {
			e.failed = now
		}
	}
}

// Find returns a copy of a member, or nil.
func (r *Registry) Find(id string) *peer.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id == r.self.GetId() {
		return proto.CloneOf(r.self)
	}
	if e := r.members[id]; e != nil {
		return proto.CloneOf(e.info)
	}
	return nil
}

// All returns copies of all known members that are not dead, self included,
// ordered by id.
func (r *Registry) All(now time.Duration) []*peer.Member {
	return r.selectMembers(func(e *entry) bool { return !r.isDead(e, now) })
}

// Gossip returns copies of the members to tell others of, self included: those
// that are not dead, and those that are gone but named a successor for their
// tickets.
func (r *Registry) Gossip(now time.Duration) []*peer.Member {
	return r.selectMembers(func(e *entry) bool {
		return !r.isDead(e, now) || e.info.GetGone() && e.info.GetSuccessor() != ""
	})
}

// Settled reports whether all members are known: the platform's rows have been
// read without a failure for LapseTime. A member that is not known then has
// ended.
func (r *Registry) Settled(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readable && now-r.reading >= r.lapse()
}

// Live returns copies of the members that can be reached, self included unless
// it is gone, ordered by id.
func (r *Registry) Live(now time.Duration) []*peer.Member {
	return r.selectMembers(func(e *entry) bool { return r.isLive(e, now) })
}

func (r *Registry) selectMembers(match func(*entry) bool) []*peer.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*peer.Member
	if !r.self.GetGone() {
		out = append(out, proto.CloneOf(r.self))
	}
	for _, e := range r.members {
		if match(e) {
			out = append(out, proto.CloneOf(e.info))
		}
	}
	slices.SortFunc(out, func(a, b *peer.Member) int { return cmp.Compare(a.GetId(), b.GetId()) })
	return out
}

func (r *Registry) isLive(e *entry, now time.Duration) bool {
	if e.info.GetGone() {
		return false
	}
	if e.failed > e.seen {
		return false
	}
	direct := e.everSeen && now-e.seen < SeenTime
	beats := e.inRows && now-e.beatSince < r.lapse()
	return direct || beats
}

// Dead returns the ids of the members whose tokens may be split anew.
func (r *Registry) Dead(now time.Duration) map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]bool)
	for id, e := range r.members {
		if r.isDead(e, now) {
			out[id] = true
			r.markDead(id, e, now)
		}
	}
	return out
}

func (r *Registry) markDead(id string, e *entry, now time.Duration) {
	if !e.dead {
		e.dead = true
		e.deadSince = now
	}
	if now-e.deadSince > forgetTime && e.info.GetSuccessor() == "" {
		delete(r.members, id)
	}
}

func (r *Registry) isDead(e *entry, now time.Duration) bool {
	if e.info.GetGone() {
		return true
	}
	if !r.readable || !r.listRead || now-r.reading < r.lapse() {
		return false
	}
	since := max(e.beatSince, e.known)
	if now-since < r.lapse() || e.everSeen && now-e.seen < LapseTime {
		return false
	}
	return !r.listed[e.info.GetInstance()] || r.replaced(e)
}

// replaced reports whether the member's instance runs a newer member, which
// has the same address, so that the old process has surely ended.
func (r *Registry) replaced(old *entry) bool {
	if r.self.GetInstance() == old.info.GetInstance() && r.self.GetPeer() == old.info.GetPeer() {
		return true
	}
	for _, e := range r.members {
		same := e.info.GetInstance() == old.info.GetInstance() && e.info.GetPeer() == old.info.GetPeer()
		if same && e.known > old.known && e.everSeen {
			return true
		}
	}
	return false
}

// digestLife is how long a digest is kept when no member has changed; that a
// member died of old age can take so long to show.
const digestLife = 2 * time.Second

// Digest is equal where the same members in the same states are known.
func (r *Registry) Digest(now time.Duration) uint64 {
	r.mu.Lock()
	fresh := !r.changed && r.digestSet && now-r.digestAt < digestLife
	sum := r.digest
	r.changed = false
	r.mu.Unlock()
	if fresh {
		return sum
	}
	sum = 0
	for _, m := range r.Gossip(now) {
		m.Beat = 0
		b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
		if err == nil {
			sum ^= xxhash.Sum64(b)
		}
	}
	r.mu.Lock()
	r.digest, r.digestAt, r.digestSet = sum, now, true
	r.mu.Unlock()
	return sum
}
