// SPDX-License-Identifier: MIT

package version

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const routedPlaces = `
kind: region
name: north
spec: {}
---
kind: region
name: south
spec: {}
---
kind: hall
name: north-1
spec: {region: north}
---
kind: hall
name: south-1
spec: {region: south}
---
kind: service
name: ledger
spec: {warming: {time: 3s, rate: 9}, maxConnections: 100}
---
kind: service
name: intake
spec: {}
`

const routedRoutes = `
---
kind: route
name: bids
spec:
  host: a.example
  prefix: /bids/
  class: commit
  timeout: 1s
  objective: 400ms
  attempts: 2
  sticky: true
  homes: [north]
  split: [{service: ledger, weight: 90}, {service: intake, weight: 10}]
---
kind: route
name: all
spec: {host: a.example, prefix: /, class: read, repeatable: true, timeout: 1s, split: [{service: intake, weight: 1}]}
---
kind: limits
name: limits
spec: {maxBody: 1000, idle: 15s}
`

func propose(t *testing.T, docs string) (*Config, error) {
	t.Helper()
	rs, err := Parse([]byte(docs))
	if err != nil {
		return nil, err
	}
	c, _, err := (&Config{}).Propose(Change{Operation: "o", Puts: rs})
	return c, err
}

func backendDoc(name, hall string, port int, extra string) string {
	return fmt.Sprintf("---\nkind: backend\nname: %s\nspec: {service: ledger, hall: %s, address: \"10.0.0.1:%d\", slots: 6%s}\n", name, hall, port, extra)
}

func TestRouteWithLongestPrefixIsUsed(t *testing.T) {
	c, err := propose(t, routedPlaces+routedRoutes)
	assert.NilError(t, err)
	r := CompileRouting(c, nil)
	for _, x := range []struct{ host, path, want string }{
		{"a.example", "/bids/7", "bids"}, {"a.example:80", "/bids/7", "bids"}, {"a.example", "/bidsX/7", "all"},
		{"a.example", "/", "all"}, {"b.example", "/bids/7", ""}, {"", "/", ""},
	} {
		v := r.Route(x.host, x.path)
		got := ""
		if v != nil {
			got = v.Name
		}
		assert.Equal(t, got, x.want, "%s%s", x.host, x.path)
	}
	assert.DeepEqual(t, r.HostHomes("a.example"), []bool{true, false})
	assert.Equal(t, r.Limits.MaxBody, int64(1000))
}

func TestRouteValidation(t *testing.T) {
	for _, x := range []struct{ name, route, want string }{
		{"prefix", "{host: a, prefix: /x, class: read, timeout: 1s, split: [{service: intake, weight: 1}]}", "spec.prefix"},
		{"host", "{prefix: /x/, class: read, timeout: 1s, split: [{service: intake, weight: 1}]}", "spec.host"},
		{"timeout", "{host: a, prefix: /x/, class: read, split: [{service: intake, weight: 1}]}", "spec.timeout"},
		{"service", "{host: a, prefix: /x/, class: read, timeout: 1s, split: [{service: none, weight: 1}]}", "does not exist"},
		{"weights", "{host: a, prefix: /x/, class: read, timeout: 1s, split: [{service: intake, weight: 0}]}", "spec.split"},
		{"no split", "{host: a, prefix: /x/, class: read, timeout: 1s, split: []}", "spec.split"},
		{"homes", "{host: a, prefix: /x/, class: read, timeout: 1s, homes: [moon], split: [{service: intake, weight: 1}]}", "does not exist"},
		{"attempts", "{host: a, prefix: /x/, class: read, timeout: 1s, attempts: 99, split: [{service: intake, weight: 1}]}", "spec.attempts"},
		{"unknown field", "{host: a, prefix: /x/, what: 1}", "what"},
	} {
		_, err := propose(t, routedPlaces+routedRoutes+"---\nkind: route\nname: r\nspec: "+x.route+"\n")
		assert.ErrorContains(t, err, x.want, x.name)
	}
	_, err := propose(t, routedPlaces)
	assert.ErrorContains(t, err, "must have at least one route", "a service without a route")
}

func TestDrainedAndLeavingBackendsAreClosed(t *testing.T) {
	docs := routedPlaces + routedRoutes + backendDoc("u1", "north-1", 1, "") + backendDoc("u2", "north-1", 2, ", leaving: true") +
		backendDoc("u3", "south-1", 3, ", cold: 2s") + "---\nkind: drain\nname: d\nspec: {hall: south-1}\n"
	c, err := propose(t, docs)
	assert.NilError(t, err)
	r := CompileRouting(c, nil)
	closed := []bool{r.Backends[0].Closed, r.Backends[1].Closed, r.Backends[2].Closed}
	assert.DeepEqual(t, closed, []bool{false, true, true})
	assert.Equal(t, r.Backends[2].Cold, 2*time.Second)
}

// TestNewestBackendOfAddressIsUsed checks that of two backend servers with the same address
// only the newer one gets requests.
func TestNewestBackendOfAddressIsUsed(t *testing.T) {
	c := &Config{Seq: 1, Resources: make(map[Key]Resource)}
	put := func(r Resource) { c.Resources[r.Key] = r }
	put(Resource{Key: Key{KindRegion, "north"}, Region: &Region{}})
	put(Resource{Key: Key{KindHall, "a"}, Hall: &Hall{Region: "north"}})
	put(Resource{Key: Key{KindService, "s"}, Service: &Service{}})
	put(Resource{Key: Key{KindService, "t"}, Service: &Service{}})
	at := netip.MustParseAddrPort("10.9.0.1:80")
	put(Resource{Key: Key{KindBackend, "z-old"}, Version: 3, Backend: &Backend{Service: "s", Hall: "a", Address: at, Slots: 1}})
	put(Resource{Key: Key{KindBackend, "a-new"}, Version: 5, Backend: &Backend{Service: "t", Hall: "a", Address: at, Slots: 1}})
	r := CompileRouting(c, nil)
	assert.Equal(t, len(r.Backends), 1)
	assert.Equal(t, r.Backends[0].Name, "a-new")
	assert.DeepEqual(t, r.Services[1].Backends, []int32{0})
	assert.Equal(t, len(r.Services[0].Backends), 0)
}

// TestRegionSharesUtilizeCapacityEqually checks that the shares of each region sum up to 1,
// that all capacity is utilized equally, and that no request leaves a region that has
// enough capacity.
func TestRegionSharesUtilizeCapacityEqually(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.SliceOfN(rapid.Float64Range(0, 50), 1, 6).Draw(t, "capacity")
		total := 0.0
		for _, c := range capacity {
			total += c
		}
		if total == 0 {
			return
		}
		even := total / float64(len(capacity))
		shares := regionShares(capacity)
		load := make([]float64, len(capacity))
		for i, row := range shares {
			sum := 0.0
			for j, s := range row {
				sum += s
				load[j] += s * even
			}
			if math.Abs(sum-1) > 1e-6 {
				t.Fatalf("the shares of region %d sum up to %f", i, sum)
			}
			if capacity[i] >= even && row[i] < 1-1e-9 {
				t.Fatalf("region %d has enough capacity and keeps only %f", i, row[i])
			}
		}
		for j, l := range load {
			if math.Abs(l-capacity[j]) > 1e-6*total {
				t.Fatalf("region %d of capacity %f gets %f", j, capacity[j], l)
			}
		}
	})
}

// TestDistanceFollowsWeights checks that the share of objects that rank a backend server
// first is proportional to its weight.
func TestDistanceFollowsWeights(t *testing.T) {
	backends := []RoutedBackend{{Hash: 11}, {Hash: 222}, {Hash: 3333}}
	weights := []float64{1, 2, 5}
	first := make([]float64, len(backends))
	const objects = 40000
	for o := range objects {
		best := 0
		for i := range backends {
			if backends[i].Distance(uint64(o)*0x9e3779b97f4a7c15, weights[i]) < backends[best].Distance(uint64(o)*0x9e3779b97f4a7c15, weights[best]) {
				best = i
			}
		}
		first[best]++
	}
	for i, w := range weights {
		want := w / 8
		assert.Assert(t, math.Abs(first[i]/objects-want) < 0.02, "%d: %f of %f", i, first[i]/objects, want)
	}
}

// TestRemovalMovesFewOtherObjects checks that removing a backend server moves its objects
// and fewer than 5% of the others.
func TestRemovalMovesFewOtherObjects(t *testing.T) {
	docs := routedPlaces + routedRoutes
	for i := range 10 {
		docs += backendDoc(fmt.Sprintf("u%d", i), []string{"north-1", "south-1"}[i%2], i+1, "")
	}
	before, err := propose(t, docs)
	assert.NilError(t, err)
	after, err := propose(t, docs)
	assert.NilError(t, err)
	delete(after.Resources, Key{KindBackend, "u4"})
	first := func(r *Routing, object uint64) string {
		s := &r.Services[r.Route("a.example", "/bids/").Parts[0].Service]
		w := r.Route("a.example", "/bids/").Parts[0].Weights[r.Region("north")].Backends
		best := slices.MinFunc(s.Backends, func(a, b int32) int {
			x, y := r.Backends[a].Distance(object, w[slices.Index(s.Backends, a)]), r.Backends[b].Distance(object, w[slices.Index(s.Backends, b)])
			if x < y {
				return -1
			}
			return 1
		})
		return r.Backends[best].Name
	}
	a, b := CompileRouting(before, nil), CompileRouting(after, nil)
	moved, total := 0, 0
	for o := range uint64(2000) {
		object := o * 0x9e3779b97f4a7c15
		if x := first(a, object); x != "u4" {
			total++
			if first(b, object) != x {
				moved++
			}
		}
	}
	assert.Assert(t, moved*20 < total, "%d of %d moved", moved, total)
}
