// SPDX-License-Identifier: MIT

package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/process/rollout"
	"shalewick/process/state"
	"shalewick/version"
)

// testConfig returns a configuration of services with backend servers, each given as its service
// and the version of its software.
func testConfig(backends ...[2]string) *version.Config {
	c := &version.Config{Seq: 1, Resources: make(map[version.Key]version.Resource)}
	add := func(r version.Resource) { c.Resources[r.Key] = r }
	add(version.Resource{Key: version.Key{Kind: version.KindRegion, Name: "north"}, Region: &version.Region{}})
	add(version.Resource{Key: version.Key{Kind: version.KindHall, Name: "north-a"}, Hall: &version.Hall{Region: "north"}})
	for i, b := range backends {
		add(version.Resource{Key: version.Key{Kind: version.KindService, Name: b[0]}, Service: &version.Service{}})
		add(version.Resource{Key: version.Key{Kind: version.KindBackend, Name: fmt.Sprint("b-", i)}, Version: int64(i + 1), Backend: &version.Backend{
			Service: b[0], Software: b[1], Hall: "north-a", Slots: 4,
			Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1)),
		}})
	}
	return c
}

func testRecords(r ...rollout.Record) map[string]knownRecord {
	out := make(map[string]knownRecord)
	for i, x := range r {
		out[x.Service] = knownRecord{record: &x, revision: int64(100 + i)}
	}
	return out
}

// TestAdmitOnlyServicesReportingVersions checks for which services versions are held back, and that
// this also applies to a service after all of its backend servers are gone.
func TestAdmitOnlyServicesReportingVersions(t *testing.T) {
	c := testConfig([2]string{"s", "v1"}, [2]string{"s", "v2"}, [2]string{"t", ""}, [2]string{"u", ""}, [2]string{"u", "v1"})
	got := admitVersions(c, nil, nil, nil)
	assert.DeepEqual(t, got, map[string]version.Software{"s": {InForce: "v1"}, "u": {InForce: ""}})
	for key, x := range c.Resources {
		if x.Backend != nil && x.Backend.Service == "s" {
			delete(c.Resources, key)
		}
	}
	assert.Equal(t, admitVersions(c, nil, nil, got)["s"], version.Software{InForce: "v1"})
}

// TestRecordOverridesRunningVersions checks that a starting instance follows the record if the rows
// of both versions are present.
func TestRecordOverridesRunningVersions(t *testing.T) {
	c := testConfig([2]string{"s", "v1"}, [2]string{"s", "v2"})
	done := testRecords(rollout.Record{Service: "s", Target: "v2", Previous: "v1", Phase: rollout.Completed})
	assert.Equal(t, admitVersions(c, nil, done, nil)["s"], version.Software{InForce: "v2"})
}

func TestHeldBack(t *testing.T) {
	c := testConfig([2]string{"s", "v1"}, [2]string{"s", "v2"}, [2]string{"s", "v3"}, [2]string{"s", "v3"})
	a := runningVersionsByService(c)["s"]
	assert.DeepEqual(t, a.heldBack(version.Software{InForce: "v1", Target: "v2"}), map[string]int{"v3": 2})
	assert.Equal(t, sumCounts(a.heldBack(version.Software{InForce: "v1"})), 3)
}

// TestRolloutServices checks the state that the rollouts get: that of services with an order or a
// running record, and the slots of backend servers that are open to requests.
func TestRolloutServices(t *testing.T) {
	c := testConfig([2]string{"s", "v1"}, [2]string{"s", "v2"}, [2]string{"s", "v2"}, [2]string{"s", "v1"}, [2]string{"t", "v1"}, [2]string{"u", "v1"})
	leaving := c.Resources[version.Key{Kind: version.KindBackend, Name: "b-2"}]
	leaving.Backend.Leaving = true
	records := testRecords(
		rollout.Record{Service: "s", Order: 7, Target: "v2", Previous: "v1", Phase: rollout.Canary},
		rollout.Record{Service: "t", Order: 3, Target: "v2", Previous: "v1", Phase: rollout.Promote},
		rollout.Record{Service: "u", Order: 2, Target: "v1", Previous: "v0", Phase: rollout.Completed},
	)
	orders := map[string]*rollout.Order{"s": {ID: 7, Target: "v2", Within: time.Minute}}
	c.Software = admitVersions(c, orders, records, nil)
	r := version.CompileRouting(c, nil)
	got := rolloutServices(r, c.Software, orders, records)
	assert.Equal(t, len(got), 2, "%v", got)
	s := got[0]
	assert.Equal(t, s.Name, "s")
	assert.Equal(t, s.InForce, "v1")
	assert.Equal(t, s.Revision, int64(100))
	assert.Equal(t, s.InForceSlots, 8)
	assert.Equal(t, len(s.Homes), 1)
	assert.Equal(t, s.Homes[0].Slots, 4)
	for _, b := range r.Backends {
		assert.Equal(t, b.Hash == s.Homes[0].Hash, b.Name == "b-1")
	}
	assert.Equal(t, got[1].Name, "t")
	assert.Assert(t, got[1].Order == nil && anyPromoting(records))
	assert.Equal(t, countUnfinishedOrders(orders, records)+countWithoutOrder(orders, records), 2)
}

// TestRunningRollouts checks which orders and records count as running.
func TestRunningRollouts(t *testing.T) {
	order := map[string]*rollout.Order{"s": {ID: 7, Target: "v2", Within: time.Minute}}
	running := func(orders map[string]*rollout.Order, records map[string]knownRecord) int {
		return countUnfinishedOrders(orders, records) + countWithoutOrder(orders, records)
	}
	at := func(order int64, p rollout.Phase) map[string]knownRecord {
		return testRecords(rollout.Record{Service: "s", Order: order, Target: "v2", Phase: p})
	}
	assert.Equal(t, running(nil, nil), 0)
	assert.Equal(t, running(order, nil), 1)
	assert.Equal(t, running(order, at(7, rollout.Canary)), 1)
	assert.Equal(t, running(order, at(7, rollout.Completed)), 0)
	assert.Equal(t, running(order, at(6, rollout.Completed)), 1, "the record is of an earlier order")
	assert.Equal(t, running(nil, at(7, rollout.Promote)), 1, "withdrawn")
	assert.Equal(t, running(nil, at(7, rollout.Reverted)), 0)
}

func TestUnreadableRecordsSkipped(t *testing.T) {
	good, err := json.Marshal(rollout.Record{Service: "other", Order: 7, Target: "v2", Phase: rollout.Canary, Deadline: version.Duration(time.Minute)})
	assert.NilError(t, err)
	table := state.NewTable()
	table.Apply(state.Delta{Full: true, Version: 5, Rows: []state.Row{{Key: "s", Value: good, Version: 4}, {Key: "t", Value: []byte("{"), Version: 5}}}, time.Hour)
	got, problems := knownRecords(table)
	assert.Equal(t, len(problems), 1)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got["s"].revision, int64(4))
	assert.Equal(t, got["s"].record.Service, "s")
	assert.Equal(t, time.Duration(got["s"].record.Deadline), time.Minute)
}

// TestGate checks waiting, opening and the end of the context.
func TestGate(t *testing.T) {
	var g gate
	ctx, cancel := context.WithCancel(context.Background())
	passed := make(chan bool, 2)
	for range 2 {
		go func() { passed <- g.wait(ctx) }()
	}
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, len(passed), 0)
	g.set(true)
	for range 2 {
		assert.Assert(t, <-passed)
	}
	assert.Assert(t, g.isOpen())
	g.set(false)
	go func() { passed <- g.wait(ctx) }()
	cancel()
	assert.Assert(t, !<-passed)
}
