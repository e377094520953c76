// SPDX-License-Identifier: MIT

package balance

import (
	"fmt"
	"math"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/request"
	"shalewick/version"
)

func TestObjectStaysAtItsBackend(t *testing.T) {
	p := newFixture(12)
	for i := range 12 {
		p.backend(fmt.Sprintf("u%d", i), i%3, nil)
	}
	p.install()
	for object := range uint64(50) {
		first := p.pick(t, object+1)
		for range 5 {
			again := p.pick(t, object+1)
			assert.Equal(t, again.Name, first.Name)
			assert.Equal(t, again.Region, "r0", "capacity is even, so nothing leaves the region")
			again.Done(Answered, &Report{Running: 1, Slots: 6})
		}
		first.Done(Answered, &Report{Running: 1, Slots: 6})
	}
}

// TestOverloadKeepsObjectsOnFewBackends checks that a burst beyond the capacity does not spread
// the objects over all backend servers, where each would be processed as unseen.
func TestOverloadKeepsObjectsOnFewBackends(t *testing.T) {
	p := newFixture(1)
	for i := range 20 {
		p.backend(fmt.Sprintf("u%d", i), i%3, nil)
	}
	p.install()
	backendsOf := make(map[uint64]map[string]bool)
	refused := 0
	for i := range 2000 {
		object := uint64(i%70 + 1)
		k, refusal := p.Pick(p.query(object))
		if k == nil {
			assert.Equal(t, refusal.Code, request.QueueFull)
			assert.Assert(t, refusal.RetryAfter > 0)
			refused++
			continue
		}
		if backendsOf[object] == nil {
			backendsOf[object] = make(map[string]bool)
		}
		backendsOf[object][k.Name] = true
	}
	assert.Assert(t, refused > 0)
	for object, names := range backendsOf {
		assert.Assert(t, len(names) <= p.Policy.NearChoices+p.Policy.FarChoices, "object %d at %v", object, names)
	}
}

// TestWarmingRateHoldsAcrossInstances simulates many instances that learn of a cold backend server
// at the same moment.
func TestWarmingRateHoldsAcrossInstances(t *testing.T) {
	const rate, overage, slack = 9, 1.5, 5
	for _, instances := range []int{1, 3, 12, 89} {
		var sent []time.Duration
		for i := range instances {
			p := newFixture(instances)
			p.index = i
			p.backend("cold", 0, func(u *version.Backend) { u.Cold = version.Duration(3 * time.Second) })
			p.install()
			for step := range 300 {
				p.now = time.Hour + time.Duration(step)*10*time.Millisecond
				for object := range uint64(3) {
					if k, _ := p.Pick(p.query(object + 1)); k != nil {
						sent = append(sent, p.now)
						k.Done(Answered, &Report{Running: 1, Slots: 6})
					}
				}
			}
		}
		peak := maxPerSecond(sent)
		assert.Assert(t, float64(peak) <= rate*overage+slack, "%d instances sent %d in one second", instances, peak)
		assert.Assert(t, len(sent) > rate, "%d instances sent only %d in three seconds", instances, len(sent))
	}
}

// maxPerSecond returns the largest number of times within a second.
func maxPerSecond(times []time.Duration) int {
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	highest, from := 0, 0
	for i := range times {
		for times[i]-times[from] >= time.Second {
			from++
		}
		highest = max(highest, i-from+1)
	}
	return highest
}

func TestBackendIsColdAfterADrain(t *testing.T) {
	p := newFixture(12)
	p.backend("u", 0, nil)
	drain := version.Resource{Key: version.Key{Kind: version.KindDrain, Name: "d"}, Drain: &version.Drain{Hall: "hr0"}}
	p.put(drain)
	p.install()
	k, refusal := p.Pick(p.query(1))
	assert.Assert(t, k == nil)
	assert.Equal(t, refusal.Code, request.NoBackend)
	delete(p.config.Resources, drain.Key)
	p.install()
	sent := 0
	for object := range uint64(40) {
		if k, _ := p.Pick(p.query(object + 1)); k != nil {
			sent++
			k.Done(Answered, &Report{Running: 1, Slots: 6})
		}
	}
	assert.Assert(t, sent <= 1, "%d at once", sent)
	p.now += p.Policy.ColdAfterDrain
	p.pick(t, 1)
}

// TestRequestBeyondObjectiveIsRefused checks that requests queue as long as they can be answered
// within their objective, and that further ones are refused at once with a retry-after time.
func TestRequestBeyondObjectiveIsRefused(t *testing.T) {
	p := newFixture(1)
	p.backend("a", 0, func(u *version.Backend) { u.Slots = 1 })
	p.install()
	p.pick(t, 1)
	p.pick(t, 1) // waits for 200 ms; with 200 ms of processing this is the objective of 400 ms
	k, refusal := p.Pick(p.query(1))
	assert.Assert(t, k == nil)
	assert.Equal(t, refusal.Code, request.QueueFull)
	assert.Assert(t, refusal.RetryAfter >= p.Policy.MinRetryAfter)
}

// TestUnknownBackendUsesServiceEstimate checks that after a start the first responses of some
// backend servers set the assumed processing time of the others.
func TestUnknownBackendUsesServiceEstimate(t *testing.T) {
	p := newFixture(1)
	p.backend("a", 0, nil)
	p.backend("b", 0, nil)
	p.install()
	for object := range uint64(200) {
		k := p.pick(t, object+1)
		p.now += 100 * time.Millisecond
		if k.Name == "b" {
			k.Done(Abandoned, nil)
			continue
		}
		k.Done(Answered, nil)
	}
	work := p.stateOf("b").typicalWork()
	assert.Assert(t, work > 80*time.Millisecond && work < 130*time.Millisecond, "%s", work)
}

// TestUrgentRequestIsAcceptedWhereOthersAreRefused checks that the priority of routes decides when
// their requests compete for a busy backend server.
func TestUrgentRequestIsAcceptedWhereOthersAreRefused(t *testing.T) {
	p := newFixture(1)
	p.backend("a", 0, func(u *version.Backend) { u.Slots = 4 })
	route := func(name, prefix string, priority int) {
		p.put(version.Resource{Key: version.Key{Kind: version.KindRoute, Name: name}, Route: &version.Route{
			Host: "a", Prefix: prefix, Class: request.ClassRead, Sticky: true, Priority: priority,
			Timeout: version.Duration(time.Second), Objective: version.Duration(400 * time.Millisecond),
			Split: []version.WeightedService{{Service: "s", Weight: 1}},
		}})
	}
	route("urgent", "/now/", 0)
	route("other", "/later/", 2)
	p.install()
	query := func(path string) *Query {
		route := p.Routing().Route("a", path)
		return &Query{Route: route, Priority: route.Priority, Object: 1, Left: time.Second}
	}
	for { // until the less urgent ones are refused
		k, refusal := p.Pick(query("/later/"))
		if k == nil {
			assert.Equal(t, refusal.Code, request.QueueFull)
			break
		}
	}
	k, _ := p.Pick(query("/now/"))
	assert.Assert(t, k != nil)
}

// TestRequestNearDeadlineIsNotSent checks that a request with less time left than its backend
// server needs is refused as one that was not run.
func TestRequestNearDeadlineIsNotSent(t *testing.T) {
	p := newFixture(1)
	p.backend("a", 0, nil)
	p.install()
	for range 40 {
		k := p.pick(t, 1)
		p.now += 100 * time.Millisecond
		k.Done(Answered, nil)
	}
	q := p.query(1)
	q.Left = 60 * time.Millisecond
	k, refusal := p.Pick(q)
	assert.Assert(t, k == nil)
	assert.Equal(t, refusal.Code, request.DeadlineNear)
	q.Left = 150 * time.Millisecond
	k, _ = p.Pick(q)
	assert.Assert(t, k != nil)
}

// TestConnectionsAreShared checks that an instance uses no more than its share of the connections
// that a backend server accepts.
func TestConnectionsAreShared(t *testing.T) {
	p := newFixture(12)
	p.put(version.Resource{Key: version.Key{Kind: version.KindService, Name: "s"}, Service: &version.Service{MaxConnections: 36}})
	p.backend("u", 0, func(u *version.Backend) { u.Slots = 100 })
	p.install()
	for object := range uint64(3) {
		p.pick(t, object+1)
	}
	k, _ := p.Pick(p.query(9))
	assert.Assert(t, k == nil)
}

func TestTriedBackendsAndForeignRegionsAreExcluded(t *testing.T) {
	p := newFixture(1)
	p.backend("a", 0, nil)
	p.backend("b", 1, nil)
	p.install()
	q := p.query(1)
	q.Tried = []string{"a"}
	k, _ := p.Pick(q)
	assert.Equal(t, k.Name, "b")
	q = p.query(1)
	home := *q.Route
	home.Home = []bool{false, true, false}
	q.Route = &home
	k, _ = p.Pick(q)
	assert.Equal(t, k.Name, "b")
}

func TestSplitHoldsAfterEveryFewRequests(t *testing.T) {
	p := newFixture(1)
	p.route(version.WeightedService{Service: "s", Weight: 90}, version.WeightedService{Service: "t", Weight: 10})
	p.install()
	v := p.Routing().Route("a", "/")
	counts := make([]float64, 2)
	for range 300 {
		counts[p.Split(v)]++
	}
	assert.Assert(t, math.Abs(counts[1]-30) <= 1, "%v", counts)
	p.route(version.WeightedService{Service: "s", Weight: 0}, version.WeightedService{Service: "t", Weight: 1})
	p.install()
	for range 10 {
		assert.Equal(t, p.Split(p.Routing().Route("a", "/")), 1, "weight 0 gets nothing")
	}
}

// TestQueryOfAnOlderRoutingIsSafe checks that a request that started before its service was
// removed is refused.
func TestQueryOfAnOlderRoutingIsSafe(t *testing.T) {
	p := newFixture(1)
	p.backend("a", 0, nil)
	p.install()
	q := p.query(1)
	delete(p.config.Resources, version.Key{Kind: version.KindService, Name: "s"})
	delete(p.config.Resources, version.Key{Kind: version.KindBackend, Name: "a"})
	p.route(version.WeightedService{Service: "t", Weight: 1})
	p.install()
	k, refusal := p.Pick(q)
	assert.Assert(t, k == nil)
	assert.Equal(t, refusal.Code, request.NoBackend)
}
