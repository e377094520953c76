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

// rolling is what an instance knows of roll-outs besides the tables.
type rolloutState struct {
	// wanted says that the records have to be followed, and running how many roll-outs
	// that is for.
	followRecords atomic.Bool
	running       atomic.Int64
	// promotes is set while one of them moves all requests.
	promoting atomic.Bool
	// open while there are orders, or roll-outs that have not ended: of services.
	active   gate
	services atomic.Pointer[[]string]

	// What follows is guarded by Edge.compiling.
	admitted       map[string]version.Software // that was put in force last
	loggedHeldBack map[string]string           // what was written of it last, by service
	orders         map[string]*rollout.Order   // as they were seen last
	records        map[string]knownRecord      // as they were seen last
	// recordsUntil is until when the start waits for the records; zero: it does not.
	recordsDeadline time.Duration
}

// newRollouts returns the roll-outs of services, made together with the other instances.
func (e *Edge) newRollouts() *rollout.Rollouts {
	e.rolloutState.loggedHeldBack = make(map[string]string)
	return &rollout.Rollouts{
		Now: e.now, Bounds: e.settings.Rollouts, Incarnation: e.startTime.UnixNano(),
		Owner: e.rolloutOwner, Live: e.messageAddresses, InFlight: e.table.InFlight,
		Send: e.heartbeats.SendMessage, Log: e.logRolloutEvent,
		Introduce: e.heartbeats.Introduce,
		Late:      func() time.Duration { return e.schedulingDelay.Most(e.now()) },
	}
}

// hearMessage passes a message of another instance on to the part that it is for.
func (e *Edge) receiveMessage(from string, text []byte) {
	if e.rollouts.Hear(from, text) || e.quarantine.Receive(from, text) || e.limits.Hear(from, text) {
		return
	}
	e.quota.Receive(from, text)
}

// rolloutOwner returns who decides on the roll-out of a service.
func (e *Edge) rolloutOwner(service string) rollout.Owner {
	m := e.members.OwnerAtStore(xxhash.Sum64String(service))
	if m.Name == e.settings.Instance {
		return rollout.Owner{Name: m.Name}
	}
	return rollout.Owner{Name: m.Name, Address: m.Peer}
}

// liveAddresses returns where the instances take messages that may have requests in
// flight, "" for this one.
func (e *Edge) messageAddresses() []string {
	live := e.members.AtWork()
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

// wantsTable reports whether a table is to be followed: the records of roll-outs only
// while an order waits for its end, or a roll-out is known that has not ended, and the instances
// in a large fleet.
func (e *Edge) wantsTable(name string) bool {
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

// ordersAndRecords returns the operators' orders and the records of roll-outs, by service.
func (e *Edge) ordersAndRecords(c *version.Config) (map[string]*rollout.Order, map[string]knownRecord) {
	records, problems := knownRecords(e.records())
	for _, p := range problems {
		e.log.Warn().Err(p).Msg("rollout-record-skipped")
	}
	return ordersOf(c), records
}

// recordsWait is how long an instance that starts waits for the records of roll-outs
// before it serves without them: others tell it within a few round trips, and a relay
// reads them within a second.
const maxRecordsWait = 1500 * time.Millisecond

// awaitsRecords reports whether an instance that starts has to know the records first,
// since an order waits for its end: the record may say that another version is in force
// than the one that looks so. The caller holds compiling.
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

// unanswered returns the number of orders of which no record says how they ended.
func countUnfinishedOrders(orders map[string]*rollout.Order, records map[string]knownRecord) int {
	n := 0
	for name, o := range orders {
		if !records[name].endsOrder(o) {
			n++
		}
	}
	return n
}

// admitSoftware sets which versions of the services' software may get requests. The
// caller holds compiling.
func (e *Edge) admitSoftware(c *version.Config, orders map[string]*rollout.Order, records map[string]knownRecord) {
	c.Software = admitVersions(c, orders, records, e.rolloutState.admitted)
	e.rolloutState.admitted = c.Software
	e.logHeldBack(c)
}

// noteRollouts notes and writes what the roll-outs were told. The caller holds compiling.
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

// rollingServices returns the services that have an order, or a roll-out that has not
// ended.
func (e *Edge) activeServices() []string {
	if names := e.rolloutState.services.Load(); names != nil {
		return *names
	}
	return nil
}

// rolloutServices returns what the tables say of the services that have an order, or a
// record of a roll-out that has not ended.
func rolloutServices(r *version.Routing, software map[string]version.Software, orders map[string]*rollout.Order, records map[string]knownRecord) []rollout.Service {
	var out []rollout.Service
	for _, name := range activeServiceNames(orders, records) {
		s := rollout.Service{
			Name: name, Order: orders[name], Record: records[name].record, Revision: records[name].revision,
			InForce: software[name].InForce, Held: records[name].lostByStore,
		}
		s.InForceSlots, s.Homes = slotsAndHomes(r, name)
		s.Unknown = !r.HasService(name)
		out = append(out, s)
	}
	return out
}

// rollingNames returns the services that have an order, or a record of a roll-out that
// has not ended or has to be written again.
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

// promotes reports whether a roll-out moves all requests.
func anyPromoting(records map[string]knownRecord) bool {
	for _, k := range records {
		if k.record.Phase == rollout.Promote {
			return true
		}
	}
	return false
}

// withoutOrder returns the number of roll-outs that have not ended though there is no
// order any more.
func countWithoutOrder(orders map[string]*rollout.Order, records map[string]knownRecord) int {
	return len(activeServiceNames(orders, records)) - len(orders)
}

// slotsAndHomes returns the slots of the backend servers that take work of the version
// in force of a service, and those that take work of a target.
func slotsAndHomes(r *version.Routing, service string) (slots int, homes []rollout.Home) {
	for i := range r.Backends {
		b := &r.Backends[i]
		s := &r.Services[b.Service]
		if s.Name != service || b.Closed {
			continue
		}
		if s.OfTarget {
			homes = append(homes, rollout.Home{Hash: b.Hash, Slots: b.Slots})
			continue
		}
		slots += b.Slots
	}
	return slots, homes
}

// tickRollouts tells and asks the owners of roll-outs until the context ends, and notes how late
// the machine gives this process its turns. While there is no roll-out watchMembers ticks, since
// what lived shortly before one matters.
func (e *Edge) tickRollouts(ctx context.Context) {
	for e.rolloutState.active.wait(ctx) {
		e.schedulingDelay.Waits(e.now() + rollout.TickTime)
		if !clock.Sleep(ctx, rollout.TickTime) {
			return
		}
		e.schedulingDelay.Wakes(e.now())
		e.rollouts.Tick()
	}
}
