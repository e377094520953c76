// SPDX-License-Identifier: MIT

package version

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// softwareDocs returns the documents of regions, halls, routes and the backend servers of
// the service ledger: two in each region for each of the given versions.
func softwareDocs(versions ...string) string {
	docs := routedPlaces + routedRoutes
	port := 0
	for _, v := range versions {
		for i, hall := range []string{"north-1", "south-1", "north-1", "south-1"} {
			port++
			docs += backendDoc(fmt.Sprintf("%s-%d", v, i), hall, port, ", software: "+v)
		}
	}
	return docs
}

// compileWith compiles documents with the given versions of ledger admitted.
func compileWith(t *testing.T, docs string, software Software) *Routing {
	t.Helper()
	c, err := propose(t, docs)
	assert.NilError(t, err)
	c.Software = map[string]Software{"ledger": software}
	return CompileRouting(c, nil)
}

func (r *Routing) names(s *RoutedService) []string {
	var out []string
	for _, i := range s.Backends {
		out = append(out, r.Backends[i].Name)
	}
	return out
}

func (r *Routing) serviceNamed(name string) *RoutedService {
	for i := range r.Services {
		if r.Services[i].Name == name {
			return &r.Services[i]
		}
	}
	return nil
}

// TestOnlyAdmittedVersionsAreRouted checks which backend servers a routing contains for each
// combination of a version in force and a target.
func TestOnlyAdmittedVersionsAreRouted(t *testing.T) {
	docs := softwareDocs("v1", "v2", "v3")
	for _, tc := range []struct {
		software        Software
		inForce, target string // name of the first backend server, empty if there is none
		backends        int
	}{
		{Software{InForce: "v1"}, "v1-0", "", 4},
		{Software{InForce: "v1", Target: "v2"}, "v1-0", "v2-0", 8},
		{Software{InForce: "v2", Target: "v1"}, "v2-0", "v1-0", 8},
		{Software{InForce: "v1", Target: "v1"}, "v1-0", "", 4},
		{Software{InForce: "v1", Target: "absent"}, "v1-0", "", 4},
		{Software{InForce: "absent", Target: "v2"}, "", "v2-0", 4},
		{Software{InForce: "absent"}, "", "", 0},
		{Software{}, "", "", 0},
	} {
		r := compileWith(t, docs, tc.software)
		s := r.serviceNamed("ledger")
		assert.Equal(t, first(r.names(s)), tc.inForce, "%v", tc.software)
		assert.Equal(t, len(r.Backends), tc.backends, "%v", tc.software)
		assert.Assert(t, !s.IsTarget)
		if s.Target == None {
			assert.Equal(t, tc.target, "")
			continue
		}
		target := &r.Services[s.Target]
		assert.Equal(t, first(r.names(target)), tc.target, "%v", tc.software)
		assert.Equal(t, target.Software, tc.software.Target)
		assert.Equal(t, target.Name, "ledger")
		assert.Assert(t, target.IsTarget && target.Target == None)
		assert.DeepEqual(t, target.Warming, s.Warming)
		assert.Equal(t, target.MaxConnections, s.MaxConnections)
	}
}

func first(names []string) string {
	if len(names) == 0 {
		return ""
	}
	return names[0]
}

// TestServiceWithoutAdmittedVersionsKeepsAllBackends checks that a service without an entry
// in Config.Software gets all its backend servers.
func TestServiceWithoutAdmittedVersionsKeepsAllBackends(t *testing.T) {
	c, err := propose(t, softwareDocs("v1", "v2"))
	assert.NilError(t, err)
	c.Software = map[string]Software{"intake": {InForce: "v1"}}
	r := CompileRouting(c, nil)
	assert.Equal(t, len(r.Backends), 8)
	assert.Equal(t, r.serviceNamed("ledger").Target, None)
	assert.Assert(t, r.Route("a.example", "/bids/").Parts[0].Target == nil)
}

// TestBackendOfRemovedServiceIsIgnored checks that a backend server whose service was
// removed is not assigned to another service.
func TestBackendOfRemovedServiceIsIgnored(t *testing.T) {
	c, err := propose(t, softwareDocs("v1"))
	assert.NilError(t, err)
	delete(c.Resources, Key{KindService, "ledger"})
	delete(c.Resources, Key{KindRoute, "bids"})
	assert.Equal(t, len(CompileRouting(c, nil).Backends), 0)
}

// TestTargetDoesNotChangeWeights checks that adding a target, whose backend servers may be
// distributed differently over the regions, does not change the weights of the version in
// force.
func TestTargetDoesNotChangeWeights(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		docs := routedPlaces + routedRoutes
		port := 0
		for _, v := range []string{"v1", "v2"} {
			for i := range rapid.IntRange(0, 6).Draw(rt, v) {
				port++
				hall := rapid.SampledFrom([]string{"north-1", "south-1"}).Draw(rt, "hall")
				docs += backendDoc(fmt.Sprintf("%s-%d", v, i), hall, port, ", software: "+v)
			}
		}
		alone := compileWith(t, docs, Software{InForce: "v1"})
		withTarget := compileWith(t, docs, Software{InForce: "v1", Target: "v2"})
		for _, path := range []string{"/bids/", "/"} {
			a, b := alone.Route("a.example", path), withTarget.Route("a.example", path)
			for i := range a.Parts {
				sa, sb := &alone.Services[a.Parts[i].Service], &withTarget.Services[b.Parts[i].Service]
				assert.DeepEqual(t, alone.names(sa), withTarget.names(sb))
				assert.DeepEqual(t, a.Parts[i].Weights, b.Parts[i].Weights)
				assert.Equal(t, sa.MostUrgent, sb.MostUrgent)
				assert.Equal(t, sa.LeastUrgent, sb.LeastUrgent)
			}
		}
	})
}

// TestRestrictedRouteRestrictsTarget checks that a workspace's homes apply to the target as
// well, and that the unrestricted route is not modified.
func TestRestrictedRouteRestrictsTarget(t *testing.T) {
	c, err := propose(t, softwareDocs("v1", "v2")+"---\nkind: workspace\nname: w\nspec: {homes: [north]}\n")
	assert.NilError(t, err)
	c.Resources[Key{KindWorkspace, "w"}].Workspace.Keys = []KeyHash{HashKey("k")}
	c.Resources[Key{KindRoute, "bids"}].Route.Homes = nil
	c.Software = map[string]Software{"ledger": {InForce: "v1", Target: "v2"}}
	r := CompileRouting(c, nil)
	route := r.Route("a.example", "/bids/")
	unrestricted := route.Parts[0].Target
	restricted := r.RestrictRoute(route, r.Workspaces.Find("k"))
	target := restricted.Parts[0].Target
	assert.Assert(t, target != nil && target != unrestricted && route.Parts[0].Target == unrestricted)
	assert.Equal(t, target.Service, unrestricted.Service)
	assert.Equal(t, target.Software, "v2")
	south := r.Region("south")
	for k, i := range r.Services[target.Service].Backends {
		inside := r.Backends[i].Region == r.Region("north")
		assert.Equal(t, target.Weights[south].Backends[k] > minWeight, inside, "%s", r.Backends[i].Name)
		assert.Assert(t, unrestricted.Weights[south].Backends[k] > minWeight || inside)
	}
	assert.Assert(t, restricted.Parts[1].Target == nil, "intake has no rollout")
}

// TestNewestBackendOfAddressAcrossVersions checks that a backend server whose address was
// taken over by one of another software version gets no requests, even if its own version
// is the one in force.
func TestNewestBackendOfAddressAcrossVersions(t *testing.T) {
	c, err := propose(t, softwareDocs("v1"))
	assert.NilError(t, err)
	later := *c.Resources[Key{KindBackend, "v1-0"}].Backend
	later.Software = "v2"
	c.Resources[Key{KindBackend, "later"}] = Resource{Key: Key{KindBackend, "later"}, Version: c.Seq + 1, Backend: &later}
	c.Software = map[string]Software{"ledger": {InForce: "v1"}}
	r := CompileRouting(c, nil)
	assert.DeepEqual(t, r.names(r.serviceNamed("ledger")), []string{"v1-1", "v1-2", "v1-3"})
}

func TestRolloutValidation(t *testing.T) {
	const docs = routedPlaces + routedRoutes
	rolloutDoc := func(name, spec string) string { return "---\nkind: rollout\nname: " + name + "\nspec: " + spec + "\n" }
	for _, tc := range []struct{ spec, want string }{
		{"{service: ledger, target: v2, within: 24h}", ""},
		{"{service: none, target: v2, within: 30s}", `rollout/r: spec.service: names service "none", which does not exist`},
		{"{target: v2, within: 30s}", "rollout/r: spec.service: names service"},
		{`{service: ledger, target: "", within: 30s}`, "rollout/r: spec.target: must be set"},
		{"{service: ledger, within: 30s}", "rollout/r: spec.target: must be set"},
		{"{service: ledger, target: v2, within: 0s}", "rollout/r: spec.within: must be above 0"},
		{"{service: ledger, target: v2}", "rollout/r: spec.within: must be above 0"},
		{"{service: ledger, target: v2, within: -1s}", "rollout/r: spec.within: must be above 0"},
		{"{service: ledger, target: v2, within: 24h1ms}", "rollout/r: spec.within: must be above 0 and at most 24h"},
		{"{service: ledger, target: v2, within: 30}", "a duration is text"},
		{"{service: ledger, target: v2, within: 30s, share: 5}", "unknown field"},
	} {
		_, err := propose(t, docs+rolloutDoc("r", tc.spec))
		if tc.want == "" {
			assert.NilError(t, err)
			continue
		}
		assert.ErrorContains(t, err, tc.want, tc.spec)
	}
	const spec = "{service: ledger, target: v2, within: 30s}"
	_, err := propose(t, docs+rolloutDoc("r", spec)+rolloutDoc("s", spec))
	assert.ErrorContains(t, err, "rollout/s: spec.service: roll-out of ledger is already used by rollout/r")
	_, err = propose(t, docs+rolloutDoc("r", spec)+rolloutDoc("s", "{service: intake, target: v2, within: 30s}"))
	assert.NilError(t, err)
}

func TestRolloutRoundTrip(t *testing.T) {
	r := Resource{Key: Key{KindRollout, "r"}, Rollout: &Rollout{Service: "s", Target: "v2", Within: Duration(MaxRollout)}}
	text, err := json.Marshal(r)
	assert.NilError(t, err)
	var decoded Resource
	assert.NilError(t, json.Unmarshal(text, &decoded))
	assert.DeepEqual(t, decoded.Rollout, r.Rollout)
}
