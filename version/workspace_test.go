// SPDX-License-Identifier: MIT

package version

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"shalewick/request"
)

// keyedConfig returns a configuration with a route, three regions and the given workspaces.
func keyedConfig(workspaces map[string]*Workspace) *Config {
	c := &Config{Seq: 1, Resources: make(map[Key]Resource)}
	put := func(r Resource) { c.Resources[r.Key] = r }
	for i := range 3 {
		region := fmt.Sprintf("r%d", i)
		put(Resource{Key: Key{KindRegion, region}, Region: &Region{}})
		put(Resource{Key: Key{KindHall, region + "-a"}, Hall: &Hall{Region: region}})
	}
	put(Resource{Key: Key{KindService, "s"}, Service: &Service{}})
	put(Resource{Key: Key{KindRoute, "r"}, Route: &Route{
		Host: "a", Prefix: "/", Class: request.ClassRead, Timeout: 1, Homes: []string{"r0", "r1"}, Split: []WeightedService{{Service: "s", Weight: 1}},
	}})
	for name, w := range workspaces {
		put(Resource{Key: Key{KindWorkspace, name}, Workspace: w})
	}
	return c
}

// TestFindMatchesMap compares the lookup of keys with a plain map, over sequences of versions
// that reuse each other's workspaces.
func TestFindMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var old *Routing
		for range rapid.IntRange(1, 4).Draw(t, "versions") {
			workspaceOf := make(map[string]string) // key to workspace
			workspaces := make(map[string]*Workspace)
			for _, key := range rapid.SliceOfNDistinct(rapid.StringN(1, 200, -1), 0, 20, rapid.ID).Draw(t, "keys") {
				name := fmt.Sprintf("w%d", rapid.IntRange(0, 5).Draw(t, "workspace"))
				workspaceOf[key] = name
				if workspaces[name] == nil {
					workspaces[name] = &Workspace{}
				}
				workspaces[name].Keys = append(workspaces[name].Keys, HashKey(key))
			}
			c := keyedConfig(workspaces)
			assert.NilError(t, c.CheckRoutes())
			r := CompileRouting(c, old)
			for key, name := range workspaceOf {
				assert.Equal(t, r.Workspaces.Find(key).Name, name)
			}
			other := rapid.String().Draw(t, "other")
			if workspaceOf[other] == "" {
				assert.Assert(t, r.Workspaces.Find(other) == nil)
			}
			assert.Equal(t, r.Workspaces.Empty(), len(workspaces) == 0)
			old = r
		}
	})
}

// TestDuplicateKeyIsRejected checks that a key of two workspaces is rejected, and that the
// error does not contain its hash.
func TestDuplicateKeyIsRejected(t *testing.T) {
	shared := HashKey("key")
	c := keyedConfig(map[string]*Workspace{"a": {Keys: []KeyHash{shared}}, "b": {Keys: []KeyHash{shared}}})
	err := c.CheckRoutes()
	assert.ErrorContains(t, err, "spec.keys[0]: is already used by workspace/a")
	hash, _ := shared.MarshalText()
	assert.Assert(t, !strings.Contains(err.Error(), string(hash)))
}

func TestWorkspaceValidation(t *testing.T) {
	for field, w := range map[string]*Workspace{
		"spec.rate":     {Rate: -1},
		"spec.burst":    {Burst: -1},
		"spec.priority": {Priority: -1},
		"spec.homes[0]": {Homes: []string{"nowhere"}},
	} {
		assert.ErrorContains(t, keyedConfig(map[string]*Workspace{"a": w}).CheckRoutes(), field)
	}
}

// TestHomesOfRouteAndWorkspaceIntersect checks that only regions that are homes of both the
// route and the workspace may serve, and that workspaces with the same homes share a view.
func TestHomesOfRouteAndWorkspaceIntersect(t *testing.T) {
	c := keyedConfig(map[string]*Workspace{
		"a": {Keys: []KeyHash{HashKey("a")}, Homes: []string{"r1", "r2"}},
		"b": {Keys: []KeyHash{HashKey("b")}, Homes: []string{"r2", "r1"}},
		"c": {Keys: []KeyHash{HashKey("c")}},
	})
	r := CompileRouting(c, nil)
	route := r.Route("a", "/x")
	restrict := func(key string) *RouteView { return r.RestrictRoute(route, r.Workspaces.Find(key)) }
	assert.DeepEqual(t, restrict("a").Home, []bool{false, true, false})
	assert.Assert(t, restrict("a") == restrict("b"))
	assert.Assert(t, restrict("c") == route)
	assert.Assert(t, r.RestrictRoute(route, nil) == route)
	assert.DeepEqual(t, route.Home, []bool{true, true, false})
}

// TestUnchangedWorkspacesAreShared checks that workspaces are compiled again only if one of
// them has changed.
func TestUnchangedWorkspacesAreShared(t *testing.T) {
	same := &Workspace{Keys: []KeyHash{HashKey("a")}}
	one := CompileRouting(keyedConfig(map[string]*Workspace{"a": same}), nil)
	two := CompileRouting(keyedConfig(map[string]*Workspace{"a": same}), one)
	assert.Assert(t, two.Workspaces == one.Workspaces)
	three := CompileRouting(keyedConfig(map[string]*Workspace{"a": {}}), two)
	assert.Assert(t, three.Workspaces.Find("a") == nil)
}

// TestWorkspacePriorityOverridesRoute checks which priorities count as urgent with and
// without workspaces.
func TestWorkspacePriorityOverridesRoute(t *testing.T) {
	r := CompileRouting(keyedConfig(map[string]*Workspace{"a": {Priority: 1}, "b": {Priority: 3}}), nil)
	s := &r.Services[0]
	assert.Assert(t, s.Urgent(1) && !s.Urgent(3) && !s.Urgent(0))
	r = CompileRouting(keyedConfig(nil), nil)
	assert.Assert(t, !r.Services[0].Urgent(0), "there is only one priority")
}

func TestKeyHashRoundTrip(t *testing.T) {
	r := Resource{Key: Key{KindWorkspace, "a"}, Workspace: &Workspace{Keys: []KeyHash{HashKey("k")}, Rate: 2}}
	text, err := json.Marshal(r)
	assert.NilError(t, err)
	var decoded Resource
	assert.NilError(t, json.Unmarshal(text, &decoded))
	assert.DeepEqual(t, decoded.Workspace, r.Workspace)
	assert.ErrorContains(t, json.Unmarshal([]byte(`{"kind":"workspace","name":"a","spec":{"keys":["short"]}}`), &decoded), "64 hexadecimal digits")
}

// BenchmarkFindKey measures finding a key among few and among many; both should cost the
// same.
func BenchmarkFindKey(b *testing.B) {
	for _, n := range []int{80, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := &Workspace{}
			for i := range n {
				w.Keys = append(w.Keys, HashKey(fmt.Sprintf("key-%020d", i)))
			}
			r := CompileRouting(keyedConfig(map[string]*Workspace{"a": w}), nil)
			key := fmt.Sprintf("key-%020d", n/2)
			b.ReportAllocs()
			for b.Loop() {
				if r.Workspaces.Find(key) == nil {
					b.Fatal("not found")
				}
			}
		})
	}
}
