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

// software makes a backend server run a version.
func software(v string) func(*version.Backend) {
	return func(b *version.Backend) { b.Software = v }
}

// admit sets which versions of the service s may get requests.
func (p *place) admit(inForce, target string) {
	p.config.Software = map[string]version.Software{"s": {InForce: inForce, Target: target}}
	p.install()
}

// twoVersions is a place with n backend servers of each of two versions in each region.
func twoVersions(instances, n int) *place {
	p := newPlace(instances)
	for i := range n {
		for region := range 3 {
			p.backend(fmt.Sprintf("v1-%d-%d", region, i), region, software("v1"))
			p.backend(fmt.Sprintf("v2-%d-%d", region, i), region, software("v2"))
		}
	}
	return p
}

// target returns a query for the target that the service s has now.
func (p *place) target(object uint64) *Query {
	return p.targetOf(object, p.config.Software["s"].Target)
}

// targetOf returns a query for a version that a roll-out brings.
func (p *place) targetOf(object uint64, software string) *Query {
	q := p.query(object)
	q.Target = software
	return q
}

// TestChosenBackendHasAnAdmittedVersion plays roll-outs of two services with backend
// servers that come and go, and queries of the routing now or of one before. Whatever is
// chosen runs the version in force, or, for a query that may go there, the target.
func TestChosenBackendHasAnAdmittedVersion(t *testing.T) {
	versions := []string{"", "v1", "v2", "v3"}
	rapid.Check(t, func(r *rapid.T) {
		p := newPlace(3)
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
					may, bound := admitted[service]
					if q.Target != "" && k.Software != q.Target {
						r.Fatalf("%s of version %q got a request for the target %q", k.Name, k.Software, q.Target)
					}
					if bound && k.Software != may.InForce && k.Software != may.Target {
						r.Fatalf("%s of version %q got a request while %q and %q may", k.Name, k.Software, may.InForce, may.Target)
					}
					if bound && q.Target == "" && k.Software != may.InForce {
						r.Fatalf("%s of version %q got a request while %q is in force", k.Name, k.Software, may.InForce)
					}
					if !bound && q.Target != "" {
						r.Fatalf("%s got a request for a target that nobody ordered", k.Name)
					}
					if hasHome && object != 0 && q.Target != "" && q.Target == may.Target && k.Rank == 0 && k.life != home {
						r.Fatalf("the first choice %s is not the home", k.Name)
					}
					k.Done(Answered, nil)
				}
			}
		}
	})
}

// TestAttemptAtATargetThatWasCompletedIsServed checks an attempt that began while the
// version was tried, and is chosen for when the version is in force: it must not be refused.
func TestAttemptAtATargetThatWasCompletedIsServed(t *testing.T) {
	p := twoVersions(3, 1)
	p.admit("v1", "v2")
	q := p.target(7)
	p.admit("v2", "")
	k, _ := p.Pick(q)
	assert.Assert(t, k != nil)
	assert.Equal(t, k.Software, "v2")
	k.Done(Answered, nil)
	k, _ = p.Pick(p.targetOf(7, "v2")) // its route is of the new routing
	assert.Equal(t, k.Software, "v2")
	k.Done(Answered, nil)

	p.admit("v1", "v2")
	q = p.target(7)
	p.admit("v1", "") // reverted
	k, _ = p.Pick(q)
	assert.Assert(t, k == nil)
}

// TestTargetThatStandsByMovesNoChoice compares the choices with and without the backend
// servers of a target, for the same objects at the same load.
func TestTargetThatStandsByMovesNoChoice(t *testing.T) {
	alone, beside := twoVersions(3, 4), twoVersions(3, 4)
	beside.backend("v2-more", 0, software("v2"))
	alone.admit("v1", "")
	beside.admit("v1", "v2")
	for object := range uint64(3000) {
		a, b := alone.pick(t, object+1), beside.pick(t, object+1)
		assert.Equal(t, a.Name, b.Name)
		assert.Equal(t, a.Rank, b.Rank)
		if object%7 != 0 { // the others stay under way
			a.Done(Answered, &Report{Running: 2, Slots: 6})
			b.Done(Answered, &Report{Running: 2, Slots: 6})
		}
		alone.now += time.Millisecond
		beside.now += time.Millisecond
	}
}

// TestNothingIsChosenForATargetThatIsNotThere checks that a query for the target finds
// no place when no roll-out runs any more, or none of the target's servers is there.
func TestNothingIsChosenForATargetThatIsNotThere(t *testing.T) {
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

// TestRequestOfBeforeARolloutFindsItsTarget checks a query with the view of a routing that
// had no target yet, which may have to go there once nothing goes to the version before.
func TestRequestOfBeforeARolloutFindsItsTarget(t *testing.T) {
	p := twoVersions(3, 1)
	p.admit("v1", "")
	q := p.targetOf(7, "v2")
	p.admit("v1", "v2")
	k, _ := p.Pick(q)
	assert.Equal(t, k.Software, "v2")
	_, ok := p.TargetHome(q)
	assert.Assert(t, ok)
	assert.Equal(t, len(p.homes.of), 0)
	p.admit("v1", "v3")
	k, _ = p.Pick(p.target(7))
	assert.Assert(t, k == nil, "none of its backend servers is there")
}

// TestQueryForOneTargetFindsNoOther checks a query that was made for the target of an
// order that another one has replaced.
func TestQueryForOneTargetFindsNoOther(t *testing.T) {
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

// TestRequestsInFlightCountUntilTheyEnd checks that requests at the version before count
// also after its backend servers left the routing, and those at the target never.
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
	assert.Equal(t, p.InFlight("s"), 2, "a large answer is still on its way")
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
	assert.Equal(t, p.InFlight("s"), 1, "what was the target is in force")
	target.Done(Answered, nil)
	assert.Equal(t, p.InFlight("s"), 0)
}

// TestServerStartedAnewWithOtherSoftwareIsAnother checks that requests in flight count
// for the version that they were sent to, when the name and address stay.
func TestServerStartedAnewWithOtherSoftwareIsAnother(t *testing.T) {
	p := newPlace(1)
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

// TestWhatIsKnownOfTheTargetStaysWhenItIsPromoted checks the usual work, the objects
// seen, the failures and the connections of the target's backend servers.
func TestWhatIsKnownOfTheTargetStaysWhenItIsPromoted(t *testing.T) {
	p := twoVersions(3, 1)
	p.admit("v1", "v2")
	first, _ := p.Pick(p.target(7))
	p.now += 30 * time.Millisecond
	first.Done(Answered, &Report{Running: 3, Slots: 6})
	u := p.stateOf(first.Name)
	known, whole := *u, *u.service
	p.admit("v2", "")
	k := p.pick(t, 7)
	assert.Equal(t, k.Name, first.Name)
	assert.Assert(t, !k.Unseen)
	assert.Equal(t, k.Pool, first.Pool)
	assert.Equal(t, p.stateOf(k.Name), u)
	assert.Equal(t, u.work, known.work)
	assert.Equal(t, u.reported, known.reported)
	assert.Equal(t, p.service(&p.Routing().Services[0]), u.service)
	assert.Equal(t, u.service.work, whole.work)
	k.Done(Abandoned, nil)
}

// TestMemoryOfVersionsIsBounded checks that versions that are gone leave nothing behind.
func TestMemoryOfVersionsIsBounded(t *testing.T) {
	p := newPlace(1)
	for i := range 300 {
		v := fmt.Sprintf("v%d", i)
		p.backend("u", 0, software(v))
		p.admit(v, "")
		p.pick(t, 1).Done(Answered, nil)
	}
	assert.Assert(t, len(p.services) <= 2, "%d", len(p.services))
	assert.Assert(t, len(p.flights) <= 2, "%d", len(p.flights))
}

// TestVersionsToldApartLaterKeepWhatIsKnown checks that the usual work of a service
// stands for the version in force once its versions are told apart.
func TestVersionsToldApartLaterKeepWhatIsKnown(t *testing.T) {
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

// TestTargetObeysWhatBindsTheVersionInForce checks homes, drains, cold turns, connections
// and suspension for both.
func TestTargetObeysWhatBindsTheVersionInForce(t *testing.T) {
	for _, target := range []string{"", "v2"} {
		query := func(p *place, object uint64) *Query {
			q := p.query(object)
			q.Target = target
			return q
		}
		refused := func(p *place) Why {
			k, refusal := p.Pick(query(p, 7))
			assert.Assert(t, k == nil)
			return refusal.Why
		}
		one := func(change func(*version.Backend)) *place {
			p := newPlace(1)
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
		assert.Equal(t, refused(p).Foreign, 1)

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
