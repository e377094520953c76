// SPDX-License-Identifier: MIT

package edge

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"shalewick/conn"
	"shalewick/process/balance"
	"shalewick/process/cluster"
	"shalewick/process/state"
	"shalewick/version"
)

// newFleetMember returns an instance of a fleet in one region, of which every tenth instance is
// large, and its clock. The instance is small unless large is set.
func newFleetMember(t *testing.T, instances int, large bool) (*Edge, *time.Duration) {
	t.Helper()
	now := 2 * spareStartTime
	clock := func() time.Duration { return now }
	member := func(i int) cluster.Member {
		m := testMember(i, 1)
		m.Cores, m.Link, m.Front = 0.16, 20, "10.0.0.1:"+strconv.Itoa(8000+i)
		if i%10 == 0 {
			m.Cores, m.Link = 1.6, 1000
		}
		return m
	}
	self := member(1)
	if large {
		self = member(10)
	}
	e := &Edge{log: zerolog.Nop(), settings: Settings{Instance: self.Name, Region: "r0"}, deployment: Deployment{
		BackendTable: "backends", OperatorTable: "operator", InstanceTable: "instances", RecordTable: "records", Clock: clock,
	}}
	e.table = &balance.Table{Now: e.now}
	e.members = cluster.NewMembers(self, e.now)
	e.follower = &state.Follower{Tables: map[string]*state.Table{
		"backends": state.NewTable(), "operator": state.NewTable(), "records": state.NewTable(), "instances": state.NewTable(),
	}}
	e.followsInstances.Store(instances > smallFleet)
	for i := range instances {
		if m := member(i); m.Name != self.Name {
			e.members.Merge(false, m)
		}
	}
	return e, &now
}

// TestSmallInstancesOfLargeFleetAreSpare checks which instances do without the backend servers.
func TestSmallInstancesOfLargeFleetAreSpare(t *testing.T) {
	for _, x := range []struct {
		instances   int
		large, want bool
	}{{30, false, false}, {30, true, false}, {100, false, false}, {330, false, true}, {330, true, false}, {985, false, true}} {
		e, _ := newFleetMember(t, x.instances, x.large)
		assert.Equal(t, e.isSpare(), x.want, "%d instances, large %t", x.instances, x.large)
		assert.Equal(t, e.subscribesTo("backends"), !x.want)
		assert.Assert(t, e.subscribesTo("operator"))
	}
}

// TestSpareInstanceActivates checks that a spare instance follows the backend servers once callers
// send keys, a rollout begins or few large instances are free, and for a while after that.
func TestSpareInstanceActivates(t *testing.T) {
	const instances = 330
	busy := func(e *Edge, busy bool) {
		for _, m := range e.members.NotLeaving() {
			if m.Cores > 1 {
				m.Busy = busy
				m.Incarnation++
				e.members.Merge(true, m)
			}
		}
	}
	for name, x := range map[string]struct{ begin, end func(*Edge) }{
		"keys":          {func(e *Edge) { e.spare.usesKeys.Store(true) }, func(e *Edge) { e.spare.usesKeys.Store(false) }},
		"a rollout":     {func(e *Edge) { e.rolloutState.followRecords.Store(true) }, func(e *Edge) { e.rolloutState.followRecords.Store(false) }},
		"large busy":    {func(e *Edge) { busy(e, true) }, func(e *Edge) { busy(e, false) }},
		"few instances": {func(e *Edge) { e.followsInstances.Store(false) }, func(e *Edge) { e.followsInstances.Store(true) }},
	} {
		t.Run(name, func(t *testing.T) {
			e, now := newFleetMember(t, instances, false)
			assert.Assert(t, e.isSpare())
			x.begin(e)
			*now += spareCheckInterval
			assert.Assert(t, !e.isSpare())
			x.end(e)
			*now += spareDelay / 2
			assert.Assert(t, !e.isSpare(), "too soon")
			*now += spareDelay
			assert.Assert(t, e.isSpare())
		})
	}
}

// TestSpareInstanceForwards checks that a spare instance has large instances of its region in place
// of each service's backend servers, although each of them has the same address for all services.
func TestSpareInstanceForwards(t *testing.T) {
	e, _ := newFleetMember(t, 330, false)
	assert.Assert(t, e.isSpare())
	c := &version.Config{Seq: 1, Resources: make(map[version.Key]version.Resource)}
	put := func(r version.Resource) { c.Resources[r.Key] = r }
	put(version.Resource{Key: version.Key{Kind: version.KindRegion, Name: "r0"}, Region: &version.Region{}})
	put(version.Resource{Key: version.Key{Kind: version.KindHall, Name: "hall-0"}, Hall: &version.Hall{Region: "r0"}})
	for _, name := range []string{"s", "t"} {
		put(version.Resource{Key: version.Key{Kind: version.KindService, Name: name}, Service: &version.Service{}})
		put(version.Resource{Key: version.Key{Kind: version.KindRoute, Name: name}, Route: &version.Route{
			Host: name, Prefix: "/", Timeout: version.Duration(time.Second), Objective: version.Duration(time.Second),
			Split: []version.WeightedService{{Service: name, Weight: 1}},
		}})
	}
	e.spare.addForwardTargets(c)
	r := version.CompileRouting(c, nil)
	assert.Equal(t, len(r.Services), 2)
	for _, s := range r.Services {
		assert.Equal(t, len(s.Backends), maxForwardTargets)
	}
	k, refusal := func() (*balance.Pick, balance.Refusal) {
		e.table.Install(r)
		e.table.MemberIndex = func() (int, int) { return 0, 1 }
		e.table.NewPool = func(address string) *conn.Pool { return &conn.Pool{Address: address} }
		return e.table.Pick(&balance.Query{Route: r.Route("t", "/"), Left: time.Second})
	}()
	assert.Assert(t, k != nil, "%v", refusal)
	assert.Assert(t, strings.HasPrefix(k.Name, "t/"), k.Name)
}
