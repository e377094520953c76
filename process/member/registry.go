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

// HeartbeatTimeout is the time without an increase after which a member's heartbeat
// counts as expired. With many members, which then poll less often, the timeout is
// heartbeatTimeoutPerMember times their number.
const (
	HeartbeatTimeout          = 8 * time.Second
	heartbeatTimeoutPerMember = 200 * time.Millisecond
)

// ContactTimeout is how long after a direct response a member counts as live.
const ContactTimeout = 3 * time.Second

// downRetention is how long a member that is down is remembered.
const downRetention = 10 * time.Minute

// Registry records the known members. All times are durations on the process's
// clock.
type Registry struct {
	mu       sync.Mutex
	self     *peer.Member
	members  map[string]*entry
	listed   map[string]bool // instances in the platform's list
	listRead bool
	// readableSince is the start of the current period without a failed read of the
	// platform's rows.
	readableSince time.Duration
	readable      bool
	// digest is cached until changed is set or it is older than digestTTL.
	digest      uint64
	digestAt    time.Duration
	digestValid bool
	changed     bool
}

type entry struct {
	info          *peer.Member
	beatChangedAt time.Duration // when the current beat was first read in a row
	inRows        bool
	lastContact   time.Duration // last direct response
	firstSeen     time.Duration // when the member became known
	contacted     bool
	lastFailure   time.Duration // last failed call to it
	downSince     time.Duration
	down          bool
}

// NewRegistry returns a registry that knows only the member itself.
func NewRegistry(self *peer.Member) *Registry {
	return &Registry{self: self, members: make(map[string]*entry)}
}

func (r *Registry) heartbeatTimeout() time.Duration {
	return max(HeartbeatTimeout, time.Duration(len(r.members))*heartbeatTimeoutPerMember)
}

// Self returns a copy of the local member.
func (r *Registry) Self() *peer.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return proto.CloneOf(r.self)
}

// Leaving reports whether the local member is leaving.
func (r *Registry) Leaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self.GetLeaving()
}

// UpdateSelf changes the local member.
func (r *Registry) UpdateSelf(f func(*peer.Member)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.self)
	r.changed = true
}

// Merge applies what a peer or a row says about members. Fields that change in one
// direction only (leaving, gone, successor) are never reset.
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
		e = &entry{info: proto.CloneOf(m), firstSeen: now}
		r.members[m.GetId()] = e
		r.changed = true
		return e
	}
	differs := e.info.GetLeaving() != m.GetLeaving() || e.info.GetGone() != m.GetGone() || e.info.GetSuccessor() != m.GetSuccessor()
	r.changed = r.changed || differs
	e.info.Leaving = e.info.Leaving || m.GetLeaving()
	e.info.Gone = e.info.Gone || m.GetGone()
	e.info.Successor = cmp.Or(e.info.GetSuccessor(), m.GetSuccessor())
	return e
}

// ApplyRows applies a read of the members' rows.
func (r *Registry) ApplyRows(ms []*peer.Member, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.readable {
		r.readable = true
		r.readableSince = now
	}
	for _, m := range ms {
		e := r.merge(m, now)
		if e == nil {
			continue
		}
		if !e.inRows || m.GetBeat() > e.info.GetBeat() {
			e.inRows = true
			e.beatChangedAt = now
			e.info.Beat = m.GetBeat()
		}
	}
}

// PlatformUnreadable records that the platform could not be read. No heartbeat
// expires until the platform has been readable for HeartbeatTimeout again.
func (r *Registry) PlatformUnreadable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readable = false
}

// ApplyInstanceList applies the platform's list of instances.
func (r *Registry) ApplyInstanceList(list []platform.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listRead = true
	r.listed = make(map[string]bool, len(list))
	for _, i := range list {
		r.listed[i.Name] = true
		if i.State == platform.StateLeaving {
			r.setLeaving(i.Name)
		}
	}
}

// MissingInstances returns the names of instances that the platform lists but of
// which no member is known.
func (r *Registry) MissingInstances() []string {
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

// setLeaving marks the members of an instance as leaving.
func (r *Registry) setLeaving(instance string) {
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

// RecordContact records a direct response of a member.
func (r *Registry) RecordContact(id string, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.members[id]; e != nil {
		e.lastContact = now
		e.contacted = true
	}
}

// RecordUnreachable records that the member at a peer address did not answer.
func (r *Registry) RecordUnreachable(address string, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.members {
		if e.info.GetPeer() == address {
			e.lastFailure = now
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

// All returns copies of all known members that are not down, including the local one
// unless it is gone, ordered by id.
func (r *Registry) All(now time.Duration) []*peer.Member {
	return r.selectMembers(func(e *entry) bool { return !r.isDown(e, now) })
}

// GossipMembers returns copies of the members to send to others, including the local
// one unless it is gone: those that are not down, and those that are gone but have
// named a successor for their tickets.
func (r *Registry) GossipMembers(now time.Duration) []*peer.Member {
	return r.selectMembers(func(e *entry) bool {
		return !r.isDown(e, now) || e.info.GetGone() && e.info.GetSuccessor() != ""
	})
}

// Complete reports whether all members are known: the platform's rows have been read
// without a failure for the heartbeat timeout. A member that is unknown by then has
// ended.
func (r *Registry) Complete(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readable && now-r.readableSince >= r.heartbeatTimeout()
}

// Live returns copies of the members that can be reached, including the local one
// unless it is gone, ordered by id.
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
	if e.lastFailure > e.lastContact {
		return false
	}
	inContact := e.contacted && now-e.lastContact < ContactTimeout
	beating := e.inRows && now-e.beatChangedAt < r.heartbeatTimeout()
	return inContact || beating
}

// Down returns the ids of the members whose tokens may be assigned to others.
func (r *Registry) Down(now time.Duration) map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]bool)
	for id, e := range r.members {
		if r.isDown(e, now) {
			out[id] = true
			r.markDown(id, e, now)
		}
	}
	return out
}

func (r *Registry) markDown(id string, e *entry, now time.Duration) {
	if !e.down {
		e.down = true
		e.downSince = now
	}
	if now-e.downSince > downRetention && e.info.GetSuccessor() == "" {
		delete(r.members, id)
	}
}

func (r *Registry) isDown(e *entry, now time.Duration) bool {
	if e.info.GetGone() {
		return true
	}
	if !r.readable || !r.listRead || now-r.readableSince < r.heartbeatTimeout() {
		return false
	}
	since := max(e.beatChangedAt, e.firstSeen)
	if now-since < r.heartbeatTimeout() || e.contacted && now-e.lastContact < HeartbeatTimeout {
		return false
	}
	return !r.listed[e.info.GetInstance()] || r.replaced(e)
}

// replaced reports whether the member's instance runs a newer member on the same
// address, which means that the old process has ended.
func (r *Registry) replaced(old *entry) bool {
	if r.self.GetInstance() == old.info.GetInstance() && r.self.GetPeer() == old.info.GetPeer() {
		return true
	}
	for _, e := range r.members {
		sameAddress := e.info.GetInstance() == old.info.GetInstance() && e.info.GetPeer() == old.info.GetPeer()
		if sameAddress && e.firstSeen > old.firstSeen && e.contacted {
			return true
		}
	}
	return false
}

// digestTTL is how long a digest is cached while no member changes. It bounds the
// delay until a member that goes down by timeout shows in the digest.
const digestTTL = 2 * time.Second

// Digest returns a hash that is equal where the same members in the same states are
// known.
func (r *Registry) Digest(now time.Duration) uint64 {
	r.mu.Lock()
	fresh := !r.changed && r.digestValid && now-r.digestAt < digestTTL
	sum := r.digest
	r.changed = false
	r.mu.Unlock()
	if fresh {
		return sum
	}
	sum = 0
	for _, m := range r.GossipMembers(now) {
		m.Beat = 0
		b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
		if err == nil {
			sum ^= xxhash.Sum64(b)
		}
	}
	r.mu.Lock()
	r.digest, r.digestAt, r.digestValid = sum, now, true
	r.mu.Unlock()
	return sum
}
