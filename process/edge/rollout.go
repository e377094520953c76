// SPDX-License-Identifier: MIT

package edge

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"shalewick/clock"
	"shalewick/process/rollout"
	"shalewick/version"
)

// rolloutState is what an instance knows about rollouts besides the tables.
type rolloutState struct {
	// followRecords is set while the table of records has to be followed, and running is the
	// number of rollouts that require it.
	followRecords atomic.Bool
	running       atomic.Int64
	// promoting is set while one of them moves all requests to its target.
	promoting atomic.Bool
	// active is open while there are services with orders or with rollouts that have not ended;
	// services holds their names.
	active   gate
	services atomic.Pointer[[]string]

	// The fields below are guarded by Edge.compileMu.
	admitted       map[string]version.Software // put in force by the last compilation
	loggedHeldBack map[string]string           // logged last, by service
	orders         map[string]*rollout.Order   // of the last compilation
	records        map[string]knownRecord      // of the last compilation
	// recordsDeadline is until when the start waits for the records; zero: it does not wait.
	recordsDeadline time.Duration
}

// newRollouts returns the rollouts of services, which the instances carry out together.
func (e *Edge) newRollouts() *rollout.Controller {
	e.rolloutState.loggedHeldBack = make(map[string]string)
	return &rollout.Controller{
		Now: e.now, Bounds: e.settings.Rollouts, Incarnation: e.startTime.UnixNano(),
		Owner: e.rolloutOwner, Live: e.messageAddresses, InFlight: e.table.InFlight,
		Send: e.heartbeats.SendMessage, Log: e.logRolloutEvent,
		Announce:        e.heartbeats.AnnounceTo,
		SchedulingDelay: func() time.Duration { return e.schedulingDelay.Max(e.now()) },
	}
}

// receiveMessage passes a message of another instance to the component that it belongs to.
func (e *Edge) receiveMessage(from string, message []byte) {
	if e.rollouts.Receive(from, message) || e.quarantine.Receive(from, message) || e.limits.Receive(from, message) {
		return
	}
	e.quota.Receive(from, message)
}

// rolloutOwner returns the owner of a service's rollout.
func (e *Edge) rolloutOwner(service string) rollout.Owner {
	m := e.members.OwnerAtStore(xxhash.Sum64String(service))
	if m.Name == e.settings.Instance {
		return rollout.Owner{Name: m.Name}
	}
	return rollout.Owner{Name: m.Name, Address: m.Peer}
}

// messageAddresses returns the message addresses of the instances that may have requests in flight,
// "" for this one.
func (e *Edge) messageAddresses() []string {
	live := e.members.Active()
	out := make([]string, 0, len(live))
	for _, m := range live {
		if m.Name == e.settings.Instance {
			out = append(out, "")
			continue
		}
		out = append(out, m.Peer)
	}
	return out
}

// subscribesTo reports whether a table has to be followed: the records of rollouts only while a
// rollout that was ordered or is known has not ended, the instances only in a large fleet, and the
// backend servers only if this instance is not spare.
func (e *Edge) subscribesTo(name string) bool {
	switch name {
	case e.deployment.RecordTable:
		return e.rolloutState.followRecords.Load() || e.recordsOutdated()
	case e.deployment.InstanceTable:
		return e.followsInstances.Load()
	case e.deployment.BackendTable:
		return !e.isSpare()
	}
	return true
}

// maxRecordsWait bounds how long a starting instance waits for the records of rollouts before it
// serves without them: other instances provide them within a few round trips, and a relay reads
// them within a second.
const maxRecordsWait = 1500 * time.Millisecond

// mustAwaitRecords reports whether a starting instance still has to wait for the records, since an
// order has not been completed: by its record another version may be in force than the rows of the
// backend servers suggest. The caller holds compileMu.
func (e *Edge) mustAwaitRecords(orders map[string]*rollout.Order, records map[string]knownRecord) bool {
	if _, known := e.records().Version(); known || countUnfinishedOrders(orders, records) == 0 {
		return false
	}
	e.rolloutState.followRecords.Store(true)
	if e.rolloutState.recordsDeadline == 0 {
		e.rolloutState.recordsDeadline = e.now() + maxRecordsWait
		time.AfterFunc(maxRecordsWait, e.recompile)
	}
	return e.now() < e.rolloutState.recordsDeadline
}

// countUnfinishedOrders returns the number of orders without a record that says how they ended.
func countUnfinishedOrders(orders map[string]*rollout.Order, records map[string]knownRecord) int {
	n := 0
	for name, o := range orders {
		if !records[name].endsOrder(o) {
			n++
		}
	}
	return n
}

// admitSoftware sets which versions of the services' software may get requests. The caller holds
// compileMu.
func (e *Edge) admitSoftware(c *version.Config, orders map[string]*rollout.Order, records map[string]knownRecord) {
	c.Software = admitVersions(c, orders, records, e.rolloutState.admitted)
	e.rolloutState.admitted = c.Software
	e.logHeldBack(c)
}

// updateRolloutState stores and logs the state of the rollouts. The caller holds compileMu.
func (e *Edge) updateRolloutState(services []rollout.Service, orders map[string]*rollout.Order, records map[string]knownRecord) {
	e.logOrderChanges(orders)
	e.logRecordChanges(records)
	e.rolloutState.orders, e.rolloutState.records = orders, records
	running := countUnfinishedOrders(orders, records) + countWithoutOrder(orders, records)
	e.rolloutState.running.Store(int64(running))
	e.rolloutState.followRecords.Store(running > 0)
	e.rolloutState.promoting.Store(anyPromoting(records))
	names := make([]string, 0, len(services))
	for _, s := range services {
		names = append(names, s.Name)
	}
	e.rolloutState.services.Store(&names)
	e.rolloutState.active.set(len(services) > 0)
}

// activeServices returns the services that have an order or a rollout that has not ended.
func (e *Edge) activeServices() []string {
	if names := e.rolloutState.services.Load(); names != nil {
		return *names
	}
	return nil
}

// rolloutServices returns the state in the tables of the services that have an order or the record
// of a rollout that has not ended.
func rolloutServices(r *version.Routing, software map[string]version.Software, orders map[string]*rollout.Order, records map[string]knownRecord) []rollout.Service {
	var out []rollout.Service
	for _, name := range activeServiceNames(orders, records) {
		s := rollout.Service{
			Name: name, Order: orders[name], Record: records[name].record, Revision: records[name].revision,
			InForce: software[name].InForce, RecordLost: records[name].lostByStore,
		}
		s.InForceSlots, s.Homes = slotsAndHomes(r, name)
		s.Unknown = !r.HasService(name)
		out = append(out, s)
	}
	return out
}

// activeServiceNames returns the services that have an order, or the record of a rollout that has
// not ended or that has to be written again.
func activeServiceNames(orders map[string]*rollout.Order, records map[string]knownRecord) []string {
	names := slices.Collect(maps.Keys(orders))
	for name, k := range records {
		if orders[name] == nil && (k.running() || k.lostByStore) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// anyPromoting reports whether a rollout moves all requests to its target.
func anyPromoting(records map[string]knownRecord) bool {
	for _, k := range records {
		if k.record.Phase == rollout.Promote {
			return true
		}
	}
	return false
}

// countWithoutOrder returns the number of rollouts that have not ended although their order is
// gone.
func countWithoutOrder(orders map[string]*rollout.Order, records map[string]knownRecord) int {
	return len(activeServiceNames(orders, records)) - len(orders)
}

// slotsAndHomes returns the slots of the backend servers that are open to requests and run the
// version in force of a service, and those that are open to requests and run the target.
func slotsAndHomes(r *version.Routing, service string) (slots int, homes []rollout.Home) {
	for i := range r.Backends {
		b := &r.Backends[i]
		s := &r.Services[b.Service]
		if s.Name != service || b.Closed {
			continue
		}
		if s.IsTarget {
			homes = append(homes, rollout.Home{Hash: b.Hash, Slots: b.Slots})
			continue
		}
		slots += b.Slots
	}
	return slots, homes
}

// tickRollouts exchanges messages with the owners of rollouts until the context ends, and measures
// the scheduling delay of this process. While no rollout is active, watchMembers does the ticks:
// which instances were live shortly before a rollout matters to it.
func (e *Edge) tickRollouts(ctx context.Context) {
	for e.rolloutState.active.wait(ctx) {
		e.schedulingDelay.BeginWait(e.now() + rollout.TickInterval)
		if !clock.Sleep(ctx, rollout.TickInterval) {
			return
		}
		e.schedulingDelay.EndWait(e.now())
		e.rollouts.Tick()
	}
}
