// SPDX-License-Identifier: MIT

package rollout

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// TickInterval is the time between two calls of Tick.
const TickInterval = 50 * time.Millisecond

// Bounds are the limits set by operators.
type Bounds struct {
	// Share is the fraction of a service's requests, from the order to its deadline, that the
	// target may get. Slack is a number of requests that it may get in addition.
	Share float64
	Slack float64
	// StopWithin is how long after its 50th bad response the target may still get requests. Zero:
	// there is no such limit.
	StopWithin time.Duration
}

// lease returns how long a lease lasts.
func (b *Bounds) lease() time.Duration {
	if b.StopWithin == 0 {
		return maxLeaseTime
	}
	return min(maxLeaseTime, time.Duration(leaseFraction*float64(b.StopWithin)))
}

// Owner is the instance that decides on a service's rollout.
type Owner struct {
	Name    string // "": unknown
	Address string // where it receives messages; "": it is this instance
}

// here reports whether this instance is the owner.
func (o Owner) here() bool { return o.Name != "" && o.Address == "" }

// Service is what the tables say about a service's rollout.
type Service struct {
	Name  string
	Order *Order // nil: none
	// Record is the rollout's row, and Revision that of its last write. They are nil and zero if
	// there is none.
	Record   *Record
	Revision int64
	// RecordLost is set if the store has lost the record, or has only an older version of it.
	RecordLost bool
	// InForce is the version in force, as selected by SelectVersions.
	InForce string
	// InForceSlots is the number of slots of the version in force's backend servers that accept
	// requests. Homes are the backend servers of the target that do.
	InForceSlots int
	Homes        []Home
	// Unknown is set if the configuration has no such service.
	Unknown bool
}

// Home is a backend server of the target.
type Home struct {
	Hash  uint64
	Slots int
}

// Proposal is a step that an owner wants to write to the store.
type Proposal struct {
	Record Record
	// Revision is the revision of the row to replace. Zero: there must be no row.
	Revision int64
}

// Event is an event for operators, such as a stop, the expiry of a lease or a step.
type Event struct {
	Service string
	What    string // "target-stopped", "instance-stopped", "lease-lapsed", "message-skipped" or "step-PHASE"
	Cause   string
	Target  Counts
	Base    Counts
	// Age is the age of the newest data that led to the event.
	Age time.Duration
	// SchedulingDelay is the largest recent scheduling delay of this instance's process.
	SchedulingDelay time.Duration
}

// Controller runs the rollouts of all services at one instance. The exported fields are set before
// use.
type Controller struct {
	Now    func() time.Duration
	Bounds Bounds
	// Incarnation distinguishes this process from earlier ones at the same address.
	Incarnation int64
	// Owner returns the owner of a service's rollout. It is called at each tick.
	Owner func(service string) Owner
	// Live returns the addresses of the live instances, "" for this one.
	Live func() []string
	// InFlight returns how many requests this instance has in flight at backend servers of the
	// version in force.
	InFlight func(service string) int
	// Send sends a message to an address. Messages may be lost.
	Send func(address string, message []byte)
	// Announce, if set, announces this instance, and whether it is cut off from the store, to the
	// instance at an address. It is called when the two don't agree on the owner.
	Announce func(address string)
	// Log, if set, receives the events. It must not call the Controller.
	Log func(e Event)
	// SchedulingDelay, if set, returns the largest recent scheduling delay of this process.
	SchedulingDelay func() time.Duration
	// Random, if set, returns a random number from zero to one.
	Random func() float64

	// active is set while any service has an order or a running rollout. Requests skip all other
	// work if it is not set.
	active atomic.Bool

	mu              sync.Mutex
	installedAt     time.Duration // time of the first Install; zero: none yet
	services        map[string]*service
	byHash          map[uint64]*service
	live            []string
	maxLive         int           // highest number of live instances in the present span of fleetSizeMemory
	previousMaxLive int           // the same for the previous span
	maxLiveSince    time.Duration // when the present span began
	liveAt          time.Duration // when live was last updated
	storeOffset     time.Duration // store clock minus this instance's clock
	storeKnown      bool
	events          []Event         // to be logged once the lock is released
	skipped         map[string]bool // senders of messages that could not be processed
}

// service is the rollout of one service at this instance.
type service struct {
	Service
	hash    uint64
	removed bool // the tables have no rollout of it any more
	// orderSeenAt is when this instance first saw the present order. Zero: the order was there when
	// the instance started.
	orderSeenAt time.Duration
	rotation    rotation
	owner       Owner
	// ownerSince is when this instance became the owner, if it is. announcedAt is when it last
	// announced itself to instances that have not reported to it.
	ownerSince, announcedAt time.Duration
	// lostOwnership is set when another instance has become the owner, until this one has announced
	// itself to those that reported to it.
	lostOwnership bool
	// inFlightToPrevious is the number of attempts at the previous version that have not ended.
	inFlightToPrevious int
	stats              *localStats
	gate               gate
	reportState        reportState
	ownerState         ownerState
}

// Install applies the tables' state of all services that have an order, or a record of a rollout
// that has not ended.
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

// install applies the tables' state of one service. The caller holds the lock.
func (r *Controller) install(s *service, x Service, now time.Duration) {
	if s.Revision > x.Revision {
		x.Record, x.Revision = s.Record, s.Revision // this instance wrote a newer one
	}
	old := s.Order
	continues := old != nil && x.Order != nil && old.Target == x.Order.Target && !ended(s.Record) && !ended(x.Record)
	unchanged := old != nil && x.Order != nil && x.Order.sameAs(old)
	if x.Order != nil && !unchanged {
		s.orderSeenAt = r.orderSeenTime(now)
	}
	s.Service = x
	s.rotation.set(x.Homes)
	switch {
	case x.Order == nil:
		s.stats = nil
		return
	case unchanged && s.stats != nil:
	case continues && s.stats != nil:
		s.gate = s.gate.forNewOrder()
	default:
		r.resetStats(s, now)
	}
	r.applyRecord(s, now)
}

// orderSeenTime returns now, or zero for an order that was there when the process started.
func (r *Controller) orderSeenTime(now time.Duration) time.Duration {
	if now == r.installedAt {
		return 0
	}
	return now
}

func ended(r *Record) bool { return r != nil && r.Phase.Ended() }

// resetStats starts measuring a target about which nothing is known yet.
func (r *Controller) resetStats(s *service, now time.Duration) {
	s.stats = &localStats{routes: make(map[string]*routeStats), analysis: newAnalysis(localAlarmThreshold(r.fleetSize()))}
	s.gate = gate{}
	if now-r.installedAt >= minUptimeForSlack {
		s.gate.slack = slackFraction * r.Bounds.Slack / float64(r.fleetSize())
		s.gate.credit = s.gate.slack
	}
	s.ownerState = newOwnerState(now)
}

// applyRecord applies the record of the present order, if there is one.
func (r *Controller) applyRecord(s *service, now time.Duration) {
	if !s.Record.isFor(s.Order) {
		return
	}
	startedAt := int64(s.Record.StartedAt)
	if s.stats.rolloutStartedAt != 0 && s.stats.rolloutStartedAt != startedAt {
		r.resetStats(s, now) // the measurements are of a rollout that has ended meanwhile
	}
	s.stats.rolloutStartedAt = startedAt
	s.gate.advanceTo(s.Record.Phase)
	if s.Record.Phase == Promote {
		s.ownerState.markPromoted(now)
	}
}

// inProgress reports whether requests of the service are part of a rollout. After the last step
// they still are until the target is in force at this instance.
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

// unlock releases the lock and logs the events that occurred under it.
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

// logEvent queues an event of a service for unlock.
func (r *Controller) logEvent(s *service, what, cause string, a *analysis, age time.Duration) {
	r.events = append(r.events, Event{
		Service: s.Name, What: what, Cause: cause, Target: a.all.total.target, Base: a.all.total.base, Age: age, SchedulingDelay: r.schedulingDelay(),
	})
}
