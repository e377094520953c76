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

// keyedConfig is a configuration with a route, three regions and workspaces.
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

// TestKeysFindTheirWorkspace compares the compiled look-up with a plain table, over
// versions that come in any order.
func TestKeysFindTheirWorkspace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var old *Routing
		for range rapid.IntRange(1, 4).Draw(t, "versions") {
			naive := make(map[string]string) // key to workspace
			workspaces := make(map[string]*Workspace)
			for _, key := range rapid.SliceOfNDistinct(rapid.StringN(1, 200, -1), 0, 20, rapid.ID).Draw(t, "keys") {
				name := fmt.Sprintf("w%d", rapid.IntRange(0, 5).Draw(t, "workspace"))
				naive[key] = name
				if workspaces[name] == nil {
					workspaces[name] = &Workspace{}
				}
				workspaces[name].Keys = append(workspaces[name].Keys, HashKey(key))
			}
			c := keyedConfig(workspaces)
			assert.NilError(t, c.CheckRoutes())
			r := CompileRouting(c, old)
			for key, name := range naive {
				assert.Equal(t, r.Workspaces.Find(key).Name, name)
			}
			other := rapid.String().Draw(t, "other")
			if naive[other] == "" {
				assert.Assert(t, r.Workspaces.Find(other) == nil)
			}
			assert.Equal(t, r.Workspaces.Empty(), len(workspaces) == 0)
			old = r
		}
	})
}

// TestKeyOfTwoWorkspacesIsRefused checks that, and that the error tells neither the
// key nor its hash.
func TestKeyOfTwoWorkspacesIsRefused(t *testing.T) {
	shared := HashKey("key")
	c := keyedConfig(map[string]*Workspace{"a": {Keys: []KeyHash{shared}}, "b": {Keys: []KeyHash{shared}}})
	err := c.CheckRoutes()
	assert.ErrorContains(t, err, "spec.keys[0]: is already used by workspace/a")
	hash, _ := shared.MarshalText()
	assert.Assert(t, !strings.Contains(err.Error(), string(hash)))
}

func TestWorkspaceIsChecked(t *testing.T) {
	for field, w := range map[string]*Workspace{
		"spec.rate":     {Rate: -1},
		"spec.burst":    {Burst: -1},
		"spec.priority": {Priority: -1},
		"spec.homes[0]": {Homes: []string{"nowhere"}},
	} {
		assert.ErrorContains(t, keyedConfig(map[string]*Workspace{"a": w}).CheckRoutes(), field)
	}
}

// TestHomesOfRouteAndWorkspaceBothBind checks the regions that may serve, and that
// workspaces with the same homes share a view.
func TestHomesOfRouteAndWorkspaceBothBind(t *testing.T) {
	c := keyedConfig(map[string]*Workspace{
		"a": {Keys: []KeyHash{HashKey("a")}, Homes: []string{"r1", "r2"}},
		"b": {Keys: []KeyHash{HashKey("b")}, Homes: []string{"r2", "r1"}},
		"c": {Keys: []KeyHash{HashKey("c")}},
	})
	r := CompileRouting(c, nil)
	route := r.Route("a", "/x")
	narrow := func(key string) *RouteView { return r.RestrictRoute(route, r.Workspaces.Find(key)) }
	assert.DeepEqual(t, narrow("a").HomeRegions, []bool{false, true, false})
	assert.Assert(t, narrow("a") == narrow("b"))
	assert.Assert(t, narrow("c") == route)
	assert.Assert(t, r.RestrictRoute(route, nil) == route)
	assert.DeepEqual(t, route.HomeRegions, []bool{true, true, false})
}

// TestVersionThatChangesNoWorkspaceSharesThem checks that they are compiled anew
// only when one has changed.
func TestVersionThatChangesNoWorkspaceSharesThem(t *testing.T) {
	same := &Workspace{Keys: []KeyHash{HashKey("a")}}
	one := CompileRouting(keyedConfig(map[string]*Workspace{"a": same}), nil)
	two := CompileRouting(keyedConfig(map[string]*Workspace{"a": same}), one)
	assert.Assert(t, two.Workspaces == one.Workspaces)
	three := CompileRouting(keyedConfig(map[string]*Workspace{"a": {}}), two)
	assert.Assert(t, three.Workspaces.Find("a") == nil)
}

// TestWorkspaceRanksBeforeItsRoute checks whose requests count as urgent.
func TestWorkspaceRanksBeforeItsRoute(t *testing.T) {
	r := CompileRouting(keyedConfig(map[string]*Workspace{"a": {Priority: 1}, "b": {Priority: 3}}), nil)
	s := &r.Services[0]
	assert.Assert(t, s.Urgent(1) && !s.Urgent(3) && !s.Urgent(0))
	r = CompileRouting(keyedConfig(nil), nil)
	assert.Assert(t, !r.Services[0].Urgent(0), "there are no others")
}

func TestKeyHashIsWrittenAndRead(t *testing.T) {
	r := Resource{Key: Key{KindWorkspace, "a"}, Workspace: &Workspace{Keys: []KeyHash{HashKey("k")}, Rate: 2}}
	text, err := json.Marshal(r)
	assert.NilError(t, err)
	var back Resource
	assert.NilError(t, json.Unmarshal(text, &back))
	assert.DeepEqual(t, back.Workspace, r.Workspace)
	assert.ErrorContains(t, json.Unmarshal([]byte(`{"kind":"workspace","name":"a","spec":{"keys":["short"]}}`), &back), "64 hexadecimal digits")
}

// BenchmarkFindKey shows that finding a key costs the same however many there are.
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
