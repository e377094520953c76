// SPDX-License-Identifier: MIT

package rollout

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// TickTime is the pause between two calls of Tick.
const TickInterval = 50 * time.Millisecond

// Bounds are what operators allow.
type Bounds struct {
	// Share is the part of a service's requests, from the order to its deadline, that
	// the target may get, and Slack a number of requests besides.
	Share float64
	Slack float64
	// StopWithin is the time after the target's 50th bad answer from which it must get
	// nothing. Zero: there is no bound.
	StopWithin time.Duration
}

// lease is how long a lease lasts.
func (b *Bounds) lease() time.Duration {
	if b.StopWithin == 0 {
		return maxLeaseTime
	}
	return min(maxLeaseTime, time.Duration(leaseFraction*float64(b.StopWithin)))
}

// Owner is the instance that decides on a service's roll-out.
type Owner struct {
	Name    string // "": nobody is known
	Address string // where it takes messages. "": it is this instance
}

// here reports whether this instance is the owner.
func (o Owner) here() bool { return o.Name != "" && o.Address == "" }

// Service is what the tables say of a service's roll-out.
type Service struct {
	Name  string
	Order *Order // nil: there is none
	// Record is the row, and Revision that of its last write; nil and zero: there is
	// none.
	Record   *Record
	Revision int64
	// Held is set if the store has lost the record, or has it as it was before.
	RecordLost bool
	// InForce is the version that serves, as Admit said.
	InForce string
	// InForceSlots are those of the version in force's backend servers that take work, and
	// Homes are the target's.
	InForceSlots int
	Homes        []Home
	// Unknown is set for a service that the configuration does not have.
	Unknown bool
}

// Home is a backend server of the target.
type Home struct {
	Hash  uint64
	Slots int
}

// Proposal is a step that an owner wants written.
type Proposal struct {
	Record Record
	// Revision is that of the row that it replaces. Zero: there must be none.
	Revision int64
}

// Event is what operators should see: a stop, a lease that lapsed, a verdict.
type Event struct {
	Service string
	What    string // "target-stopped", "instance-stopped", "lease-lapsed", "message-skipped" or "step-PHASE"
	Cause   string
	Target  Counts
	Base    Counts
	// Age is how old the newest of what it was decided on is.
	Age time.Duration
	// Late is by how much the machine gave this instance its turns late within the last moments.
	SchedulingDelay time.Duration
}

// Rollouts is the roll-outs of all services at one instance. The fields are set before
// use.
type Controller struct {
	Now    func() time.Duration
	Bounds Bounds
	// Incarnation tells this process from the one before at the same address.
	Incarnation int64
	// Owner returns who decides on a service. It is asked at each tick.
	Owner func(service string) Owner
	// Live returns the addresses of the instances that live, "" for this one.
	Live func() []string
	// InFlight returns the number of this instance's requests at backend servers of
	// the version in force.
	InFlight func(service string) int
	// Send sends a message to an address. Messages may be lost.
	Send func(address string, message []byte)
	// Introduce, if set, tells the instance at an address who this one is, and whether it is cut
	// off from the store: the two do not agree on the owner.
	Announce func(address string)
	// Log, if set, is told of what operators should see. It must not call the
	// roll-outs.
	Log func(e Event)
	// Late, if set, returns by how much the machine gave this process its turns late within
	// the last moments.
	SchedulingDelay func() time.Duration
	// Random, if set, returns a number from zero to one.
	Random func() float64

	// running is set while there is an order, so that requests cost nothing else.
	active atomic.Bool

	mu              sync.Mutex
	installedAt     time.Duration // of the first Install. Zero: there was none
	services        map[string]*service
	byHash          map[uint64]*service
	live            []string
	maxLive         int           // the most instances that lived at once lately
	previousMaxLive int           // ... in the span of time before
	maxLiveSince    time.Duration // since when mostLive counts
	liveAt          time.Duration // when live was asked last
	storeOffset     time.Duration // the store's clock, less this instance's
	storeKnown      bool
	events          []Event         // to be logged once the lock is free
	skipped         map[string]bool // senders of messages that could not be taken up
}

// service is the roll-out of one service at this instance.
type service struct {
	Service
	hash    uint64
	removed bool // the tables have no roll-out of it any more
	// seen is when this instance saw the present order. Zero: it was there at its start.
	orderSeenAt time.Duration
	rotation    rotation
	owner       Owner
	// ownsSince is since when this instance is the owner, if it is, and introduced when it told
	// who it is to those that had not reported to it since, last.
	ownerSince, announcedAt time.Duration
	// gaveUp: another instance is the owner now, and those that reported to this one may not know
	// it.
	lostOwnership bool
	// toBefore is the number of attempts at the version before that have not ended.
	inFlightToPrevious int
	stats              *localStats
	gate               gate
	reporting          reportState
	ownerState         ownerState
}

// Install takes up what the tables say of all services that have an order or a record
// of one that has not ended.
func (r *Controller) Install(services []Service) {
	live := r.Live()
	r.mu.Lock()
	defer r.unlock()
	now := r.Now()
	r.setLive(live, now)
	if r.installedAt == 0 {
		r.installedAt = now
	}
	old := r.services
	r.services = make(map[string]*service, len(services))
	r.byHash = make(map[uint64]*service, len(services))
	for _, s := range old {
		s.removed = true
	}
	for _, x := range services {
		s := old[x.Name]
		if s == nil {
			s = &service{hash: hashOfService(x.Name)}
		}
		s.removed = false
		r.services[x.Name] = s
		r.byHash[s.hash] = s
		r.install(s, x, now)
	}
	r.active.Store(len(services) > 0)
}

// install takes up what the tables say of one service. The caller holds the lock.
func (r *Controller) install(s *service, x Service, now time.Duration) {
	if s.Revision > x.Revision {
		x.Record, x.Revision = s.Record, s.Revision // this instance wrote it
	}
	old := s.Order
	goesOn := old != nil && x.Order != nil && old.Target == x.Order.Target && !ended(s.Record) && !ended(x.Record)
	same := old != nil && x.Order != nil && x.Order.sameAs(old)
	if x.Order != nil && !same {
		s.orderSeenAt = r.orderSeenTime(now)
	}
	s.Service = x
	s.rotation.set(x.Homes)
	switch {
	case x.Order == nil:
		s.stats = nil
		return
	case same && s.stats != nil:
	case goesOn && s.stats != nil:
		s.gate = s.gate.forNewOrder()
	default:
		r.resetStats(s, now)
	}
	r.applyRecord(s, now)
}

// seenAt is now, or zero for what was there when the process started.
func (r *Controller) orderSeenTime(now time.Duration) time.Duration {
	if now == r.installedAt {
		return 0
	}
	return now
}

func ended(r *Record) bool { return r != nil && r.Phase.Ended() }

// try begins with an order whose target is not known yet.
func (r *Controller) resetStats(s *service, now time.Duration) {
	s.stats = &localStats{routes: make(map[string]*routeStats), analysis: newAnalysis(localAlarmThreshold(r.fleetSize()))}
	s.gate = gate{}
	if now-r.installedAt >= minUptimeForSlack {
		s.gate.slack = slackFraction * r.Bounds.Slack / float64(r.fleetSize())
		s.gate.credit = s.gate.slack
	}
	s.ownerState = newOwnerState(now)
}

// noteRecord takes up the record of the present order, if there is one.
func (r *Controller) applyRecord(s *service, now time.Duration) {
	if !s.Record.isFor(s.Order) {
		return
	}
	began := int64(s.Record.StartedAt)
	if s.stats.rolloutStartedAt != 0 && s.stats.rolloutStartedAt != began {
		r.resetStats(s, now) // what was known is of a roll-out that has ended meanwhile
	}
	s.stats.rolloutStartedAt = began
	s.gate.advanceTo(s.Record.Phase)
	if s.Record.Phase == Promote {
		s.ownerState.markPromoted(now)
	}
}

// runs reports whether requests of the service are part of a roll-out. After the last
// step they are until the version that serves here is the target, too.
func (s *service) inProgress() bool {
	return !s.removed && s.stats != nil && s.Order.Target != s.InForce && !(s.Record.isFor(s.Order) && s.Record.Phase == Reverted)
}

func (r *Controller) schedulingDelay() time.Duration {
	if r.SchedulingDelay == nil {
		return 0
	}
	return r.SchedulingDelay()
}

func (r *Controller) random() float64 {
	if r.Random != nil {
		return r.Random()
	}
	return rand.Float64()
}

// unlock frees the lock, and logs what has happened under it.
func (r *Controller) unlock() {
	events := r.events
	r.events = nil
	r.mu.Unlock()
	for _, e := range events {
		if r.Log != nil {
			r.Log(e)
		}
	}
}

// note notes an event of a service.
func (r *Controller) logEvent(s *service, what, cause string, v *analysis, age time.Duration) {
	r.events = append(r.events, Event{
		Service: s.Name, What: what, Cause: cause, Target: v.all.total.target, Base: v.all.total.base, Age: age, SchedulingDelay: r.schedulingDelay(),
	})
}
