// SPDX-License-Identifier: MIT

package balance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"shalewick/request"
	"shalewick/version"
)

// software returns a change that sets the software version of a backend server.
func software(v string) func(*version.Backend) {
	return func(b *version.Backend) { b.Software = v }
}

// admit sets which versions of the service s may get requests.
func (p *fixture) admit(inForce, target string) {
	p.config.Software = map[string]version.Software{"s": {InForce: inForce, Target: target}}
	p.install()
}

// twoVersions returns a fixture with n backend servers of each of two versions in each region.
func twoVersions(instances, n int) *fixture {
	p := newFixture(instances)
	for i := range n {
		for region := range 3 {
			p.backend(fmt.Sprintf("v1-%d-%d", region, i), region, software("v1"))
			p.backend(fmt.Sprintf("v2-%d-%d", region, i), region, software("v2"))
		}
	}
	return p
}

// target returns a query for the current target of the service s.
func (p *fixture) target(object uint64) *Query {
	return p.targetOf(object, p.config.Software["s"].Target)
}

// targetOf returns a query for a version that a rollout introduces.
func (p *fixture) targetOf(object uint64, software string) *Query {
	q := p.query(object)
	q.Target = software
	return q
}

// TestChosenBackendHasAnAdmittedVersion simulates rollouts of two services with backend servers
// that come and go, and queries made with the current or an earlier routing. Any backend server
// that is chosen runs the version in force or, for a query for the target, the target.
func TestChosenBackendHasAnAdmittedVersion(t *testing.T) {
	versions := []string{"", "v1", "v2", "v3"}
	rapid.Check(t, func(r *rapid.T) {
		p := newFixture(3)
		p.put(version.Resource{Key: version.Key{Kind: version.KindService, Name: "a"}, Service: &version.Service{}})
		p.put(version.Resource{Key: version.Key{Kind: version.KindRoute, Name: "a"}, Route: &version.Route{
			Host: "b", Prefix: "/", Class: request.ClassRead, Sticky: true, Split: []version.WeightedService{{Service: "a", Weight: 1}},
			Timeout: version.Duration(time.Second), Objective: version.Duration(time.Second),
		}})
		p.put(version.Resource{Key: version.Key{Kind: version.KindService, Name: "b"}, Service: &version.Service{}})
		var views []*version.RouteView
		for step := range rapid.IntRange(1, 6).Draw(r, "steps") {
			for i := range rapid.IntRange(0, 5).Draw(r, "servers") {
				service := rapid.SampledFrom([]string{"a", "s"}).Draw(r, "service")
				v := rapid.SampledFrom(versions).Draw(r, "software")
				p.backend(fmt.Sprintf("%s-%d-%d", service, step, i), i%3, func(b *version.Backend) { b.Service, b.Software = service, v })
			}
			if rapid.Bool().Draw(r, "first services go") { // so that indexes move
				delete(p.config.Resources, version.Key{Kind: version.KindService, Name: "a"})
				delete(p.config.Resources, version.Key{Kind: version.KindService, Name: "b"})
				delete(p.config.Resources, version.Key{Kind: version.KindRoute, Name: "a"})
				for key, x := range p.config.Resources {
					if x.Backend != nil && x.Backend.Service == "a" {
						delete(p.config.Resources, key)
					}
				}
			}
			admitted := make(map[string]version.Software)
			for _, service := range []string{"a", "s"} {
				if rapid.IntRange(0, 4).Draw(r, "bound") > 0 {
					admitted[service] = version.Software{
						InForce: rapid.SampledFrom(versions).Draw(r, "in force"), Target: rapid.SampledFrom(versions).Draw(r, "target"),
					}
				}
			}
			p.config.Software = admitted
			p.install()
			for _, host := range []string{"a", "b"} {
				if v := p.Routing().Route(host, "/"); v != nil {
					views = append(views, v)
				}
			}
			for _, view := range views {
				for object := range uint64(8) {
					q := &Query{Route: view, Object: object, Left: time.Second, Target: rapid.SampledFrom(versions).Draw(r, "to the target")}
					home, hasHome := p.TargetHome(q)
					k, _ := p.Pick(q)
					if k == nil {
						continue
					}
					service := view.Split[0].Service
					allowed, bound := admitted[service]
					if q.Target != "" && k.Software != q.Target {
						r.Fatalf("%s of version %q got a request for the target %q", k.Name, k.Software, q.Target)
					}
					if bound && k.Software != allowed.InForce && k.Software != allowed.Target {
						r.Fatalf("%s of version %q got a request while only %q and %q may", k.Name, k.Software, allowed.InForce, allowed.Target)
					}
					if bound && q.Target == "" && k.Software != allowed.InForce {
						r.Fatalf("%s of version %q got a request while %q is in force", k.Name, k.Software, allowed.InForce)
					}
					if !bound && q.Target != "" {
						r.Fatalf("%s got a request for a target without a rollout", k.Name)
					}
					if hasHome && object != 0 && q.Target != "" && q.Target == allowed.Target && k.Rank == 0 && k.incarnationHash != home {
						r.Fatalf("the first choice %s is not the home", k.Name)
					}
					k.Done(Answered, nil)
				}
			}
		}
	})
}

// TestAttemptAtCompletedTargetIsServed checks that an attempt that started while a version was the
// target is not refused when the choice is made after it came into force.
func TestAttemptAtCompletedTargetIsServed(t *testing.T) {
	p := twoVersions(3, 1)
	p.admit("v1", "v2")
	q := p.target(7)
	p.admit("v2", "")
	k, _ := p.Pick(q)
	assert.Assert(t, k != nil)
	assert.Equal(t, k.Software, "v2")
	k.Done(Answered, nil)
	k, _ = p.Pick(p.targetOf(7, "v2")) // with the route of the new routing
	assert.Equal(t, k.Software, "v2")
	k.Done(Answered, nil)

	p.admit("v1", "v2")
	q = p.target(7)
	p.admit("v1", "") // reverted
	k, _ = p.Pick(q)
	assert.Assert(t, k == nil)
}

// TestIdleTargetChangesNoChoice compares the choices with and without the backend servers of a
// target, for the same objects at the same load.
func TestIdleTargetChangesNoChoice(t *testing.T) {
	alone, withTarget := twoVersions(3, 4), twoVersions(3, 4)
	withTarget.backend("v2-more", 0, software("v2"))
	alone.admit("v1", "")
	withTarget.admit("v1", "v2")
	for object := range uint64(3000) {
		a, b := alone.pick(t, object+1), withTarget.pick(t, object+1)
		assert.Equal(t, a.Name, b.Name)
		assert.Equal(t, a.Rank, b.Rank)
		if object%7 != 0 { // the others stay in flight
			a.Done(Answered, &Report{Running: 2, Slots: 6})
			b.Done(Answered, &Report{Running: 2, Slots: 6})
		}
		alone.now += time.Millisecond
		withTarget.now += time.Millisecond
	}
}

// TestAbsentTargetIsRefused checks that a query for the target is refused if no rollout is in
// progress any more, or the target has no backend servers.
func TestAbsentTargetIsRefused(t *testing.T) {
	p := twoVersions(3, 1)
	p.admit("v1", "v2")
	q := p.target(7)
	p.admit("v1", "")
	k, refusal := p.Pick(q)
	assert.Assert(t, k == nil)
	assert.Equal(t, refusal.Code, request.NoBackend)
	assert.Assert(t, refusal.NoRollout)
	p.admit("v1", "absent")
	k, refusal = p.Pick(p.target(7))
	assert.Assert(t, k == nil)
	assert.Assert(t, !refusal.NoRollout)
	assert.Equal(t, refusal.Code, request.NoBackend)
}

// TestQueryOlderThanRolloutFindsTarget checks a query with the route of a routing without a
// target, which may have to go to the target once the previous version gets no more requests.
func TestQueryOlderThanRolloutFindsTarget(t *testing.T) {
	p := twoVersions(3, 1)
	p.admit("v1", "")
	q := p.targetOf(7, "v2")
	p.admit("v1", "v2")
	k, _ := p.Pick(q)
	assert.Equal(t, k.Software, "v2")
	_, ok := p.TargetHome(q)
	assert.Assert(t, ok)
	assert.Equal(t, len(p.homes.byKey), 0)
	p.admit("v1", "v3")
	k, _ = p.Pick(p.target(7))
	assert.Assert(t, k == nil, "it has no backend servers")
}

// TestQueryForReplacedTargetIsRefused checks that a query for the target of a rollout that was
// replaced does not go to the new target.
func TestQueryForReplacedTargetIsRefused(t *testing.T) {
	p := twoVersions(3, 1)
	p.backend("v3", 0, software("v3"))
	p.admit("v1", "v2")
	q := p.target(7)
	p.admit("v1", "v3")
	k, _ := p.Pick(q)
	assert.Assert(t, k == nil)
	k, _ = p.Pick(p.target(7))
	assert.Equal(t, k.Software, "v3")
}

// TestRequestsInFlightCountUntilTheyEnd checks that requests at the previous version count also
// after its backend servers have left the routing, and those at the target never.
func TestRequestsInFlightCountUntilTheyEnd(t *testing.T) {
	p := twoVersions(3, 1)
	p.admit("v1", "v2")
	old, held := p.pick(t, 1), p.pick(t, 2)
	target, _ := p.Pick(p.target(3))
	assert.Equal(t, target.Software, "v2")
	assert.Equal(t, p.InFlight("s"), 2)
	assert.Equal(t, p.InFlight("t"), 0)
	held.Hold()
	held.Done(Answered, nil)
	assert.Equal(t, p.InFlight("s"), 2, "a large answer is still being transferred")
	for key, x := range p.config.Resources {
		if x.Backend != nil && x.Backend.Software == "v1" {
			delete(p.config.Resources, key)
		}
	}
	p.install()
	assert.Equal(t, p.InFlight("s"), 2)
	held.Release()
	assert.Equal(t, p.InFlight("s"), 1)
	old.Done(Lost, nil)
	assert.Equal(t, p.InFlight("s"), 0)
	p.admit("v2", "v3")
	assert.Equal(t, p.InFlight("s"), 1, "the former target is in force")
	target.Done(Answered, nil)
	assert.Equal(t, p.InFlight("s"), 0)
}

// TestRestartWithOtherSoftwareDiscardsState checks that requests in flight count for the version
// that they were sent to if a backend server is restarted with other software under the same name
// and address.
func TestRestartWithOtherSoftwareDiscardsState(t *testing.T) {
	p := newFixture(1)
	p.backend("u", 0, software("v1"))
	p.admit("v1", "v2")
	old := p.pick(t, 1)
	p.config.Resources[version.Key{Kind: version.KindBackend, Name: "u"}].Backend.Software = "v2"
	p.install()
	assert.Equal(t, p.InFlight("s"), 1)
	k, _ := p.Pick(p.target(1))
	assert.Equal(t, k.Software, "v2")
	assert.Assert(t, k.Pool != old.Pool)
	k.Done(Answered, nil)
	assert.Equal(t, p.InFlight("s"), 1)
	old.Done(Lost, nil)
	assert.Equal(t, p.InFlight("s"), 0)
}

// TestPromotedTargetKeepsState checks that the typical processing time, the objects seen, the
// failures and the connections of the target's backend servers are kept.
func TestPromotedTargetKeepsState(t *testing.T) {
	p := twoVersions(3, 1)
	p.admit("v1", "v2")
	first, _ := p.Pick(p.target(7))
	p.now += 30 * time.Millisecond
	first.Done(Answered, &Report{Running: 3, Slots: 6})
	u := p.stateOf(first.Name)
	state, serviceState := *u, *u.service
	p.admit("v2", "")
	k := p.pick(t, 7)
	assert.Equal(t, k.Name, first.Name)
	assert.Assert(t, !k.Unseen)
	assert.Equal(t, k.Pool, first.Pool)
	assert.Equal(t, p.stateOf(k.Name), u)
	assert.Equal(t, u.work, state.work)
	assert.Equal(t, u.reported, state.reported)
	assert.Equal(t, p.service(&p.Routing().Services[0]), u.service)
	assert.Equal(t, u.service.work, serviceState.work)
	k.Done(Abandoned, nil)
}

func TestStateOfRemovedVersionsIsDropped(t *testing.T) {
	p := newFixture(1)
	for i := range 300 {
		v := fmt.Sprintf("v%d", i)
		p.backend("u", 0, software(v))
		p.admit(v, "")
		p.pick(t, 1).Done(Answered, nil)
	}
	assert.Assert(t, len(p.services) <= 2, "%d", len(p.services))
	assert.Assert(t, len(p.inFlight) <= 2, "%d", len(p.inFlight))
}

// TestVersionInForceInheritsServiceState checks that the version in force inherits the typical
// processing time of a service once its versions are distinguished.
func TestVersionInForceInheritsServiceState(t *testing.T) {
	p := twoVersions(1, 1)
	p.install()
	k := p.pick(t, 1)
	p.now += 30 * time.Millisecond
	k.Done(Answered, nil)
	before := p.stateOf(k.Name).service
	p.admit("v1", "v2")
	s := p.Routing().Services
	assert.Equal(t, p.service(&s[0]), before)
	assert.Assert(t, p.service(&s[p.Routing().Services[0].Target]) != before)
}

// TestTargetObeysSameLimitsAsVersionInForce checks home regions, drains, warming, connections and
// suspension for both.
func TestTargetObeysSameLimitsAsVersionInForce(t *testing.T) {
	for _, target := range []string{"", "v2"} {
		query := func(p *fixture, object uint64) *Query {
			q := p.query(object)
			q.Target = target
			return q
		}
		refused := func(p *fixture) Explanation {
			k, refusal := p.Pick(query(p, 7))
			assert.Assert(t, k == nil)
			return refusal.Explanation
		}
		one := func(change func(*version.Backend)) *fixture {
			p := newFixture(1)
			for _, v := range []string{"v1", "v2"} {
				p.backend(v, 0, func(b *version.Backend) {
					b.Software = v
					if change != nil {
						change(b)
					}
				})
			}
			return p
		}
		p := one(nil)
		p.config.Resources[version.Key{Kind: version.KindRoute, Name: "r"}].Route.Homes = []string{"r1"}
		p.admit("v1", "v2")
		assert.Equal(t, refused(p).OutsideHomes, 1)

		p = one(nil)
		p.put(version.Resource{Key: version.Key{Kind: version.KindDrain, Name: "d"}, Drain: &version.Drain{Region: "r0"}})
		p.admit("v1", "v2")
		assert.Equal(t, refused(p).Closed, 1)

		p = one(nil)
		p.config.Resources[version.Key{Kind: version.KindService, Name: "s"}].Service.MaxConnections = 1
		p.admit("v1", "v2")
		k, _ := p.Pick(query(p, 7))
		assert.Equal(t, refused(p).Full, 1)
		k.Done(Unreachable, nil)
		assert.Equal(t, refused(p).Suspended, 1)

		p = one(func(b *version.Backend) { b.Cold = version.Duration(3 * time.Second) })
		p.admit("v1", "v2")
		sent := 0
		for range 100 {
			p.now += 10 * time.Millisecond
			if k, _ := p.Pick(query(p, 7)); k != nil {
				assert.Assert(t, k.Cold)
				sent++
				k.Done(Answered, nil)
			}
		}
		assert.Assert(t, sent >= 5 && sent <= 11, "%d in a second at a rate of 9", sent)
	}
}
