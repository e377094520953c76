// SPDX-License-Identifier: MIT

package version_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"shalewick/standin/fleet"
	"shalewick/version"
)

// testView returns the view of the fleet that fleet.Caroni describes.
func testView(t testing.TB) *version.View {
	t.Helper()
	s := fleet.Caroni()
	var addresses []netip.AddrPort
	for i := range s.Backends() {
		addresses = append(addresses, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+i)))
	}
	cfg, _, err := (&version.Config{}).Propose(version.Change{Operation: "test", Puts: s.Resources(addresses)})
	assert.NilError(t, err)
	v, err := version.Compile(cfg)
	assert.NilError(t, err)
	return v
}

func BenchmarkDecide(b *testing.B) {
	v := testView(b)
	n := version.NewCounters(v)
	for i := range n.Free {
		n.Free[i].Store(2)
	}
	q := version.Query{Service: v.Service("catalogue"), Region: 0, Exclude: [2]int32{version.None, version.None}}
	b.ReportAllocs()
	for b.Loop() {
		q.Random += 0x9E3779B97F4A7C15
		if c := v.Decide(&q, n); c.Backend == version.None {
			b.Fatal("no backend server found")
		}
	}
}

func TestDecideDoesNotAllocate(t *testing.T) {
	v := testView(t)
	n := version.NewCounters(v)
	q := version.Query{Service: 0, Exclude: [2]int32{version.None, version.None}}
	assert.Equal(t, testing.AllocsPerRun(100, func() { v.Decide(&q, n) }), 0.0)
}

// randomConfig generates a small valid configuration.
func randomConfig(t *rapid.T) *version.Config {
	var rs []version.Resource
	add := func(kind version.Kind, name string, set func(*version.Resource)) {
		r := version.Resource{Key: version.Key{Kind: kind, Name: name}}
		set(&r)
		rs = append(rs, r)
	}
	regions := []string{"r0", "r1", "r2"}[:rapid.IntRange(1, 3).Draw(t, "regions")]
	for i, name := range regions {
		add(version.KindRegion, name, func(r *version.Resource) { r.Region = &version.Region{} })
		add(version.KindHall, "h"+name, func(r *version.Resource) { r.Hall = &version.Hall{Region: regions[i]} })
	}
	route := version.ServiceRoute{Prefix: "/", Class: 2, Repeatable: true, Deadline: version.Duration(time.Second)}
	add(version.KindService, "s", func(r *version.Resource) { r.Service = &version.Service{Routes: []version.ServiceRoute{route}} })
	for i := range rapid.IntRange(0, 6).Draw(t, "backends") {
		region := rapid.SampledFrom(regions).Draw(t, "region")
		name := "u" + string(rune('a'+i))
		add(version.KindBackend, name, func(r *version.Resource) {
			r.Backend = &version.Backend{
				Service: "s", Hall: "h" + region, Slots: 2,
				Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+i)),
			}
		})
		if rapid.IntRange(0, 4).Draw(t, "drained") == 0 {
			add(version.KindDrain, name, func(r *version.Resource) { r.Drain = &version.Drain{Backend: name} })
		}
	}
	for _, from := range regions {
		for _, to := range regions {
			if from == to || rapid.Bool().Draw(t, "link") {
				continue
			}
			ms := rapid.IntRange(0, 50).Draw(t, "latency")
			add(version.KindLink, from+to, func(r *version.Resource) {
				r.Link = &version.Link{From: from, To: to, Cap: 2, Latency: version.Duration(time.Duration(ms) * time.Millisecond)}
			})
		}
	}
	for _, l := range rs {
		if l.Link == nil || l.Link.From != "r0" || rapid.Bool().Draw(t, "shift") {
			continue
		}
		add(version.KindShift, "shift", func(r *version.Resource) {
			r.Shift = &version.Shift{Service: "s", From: "r0", To: l.Link.To, Share: 0.5, Cap: 2, Rate: rapid.IntRange(0, 2).Draw(t, "rate")}
		})
		break
	}
	cfg, _, err := (&version.Config{}).Propose(version.Change{Operation: "test", Puts: rs})
	assert.NilError(t, err)
	return cfg
}

// naiveDecide is a slow reference implementation of Decide that works on resources and
// names. It returns all backend servers that are equally good, and the pools that are
// needed in addition to the backend server's.
func naiveDecide(c *version.Config, from string, shifted bool, free, cost map[string]int, closed map[string]bool) (backends map[string]bool, pools []string) {
	within := func(region string) map[string]bool {
		best, out := 0, map[string]bool{}
		for _, r := range c.List(version.KindBackend) {
			_, drained := c.Resources[version.Key{Kind: version.KindDrain, Name: r.Name}]
			if c.Resources[version.Key{Kind: version.KindHall, Name: r.Backend.Hall}].Hall.Region != region ||
				drained || closed[r.Name] || free["upstream/"+r.Name] <= 0 {
				continue
			}
			if len(out) == 0 || cost[r.Name] < best {
				best, out = cost[r.Name], map[string]bool{}
			}
			if cost[r.Name] == best {
				out[r.Name] = true
			}
		}
		return out
	}
	var shift *version.Shift
	for _, r := range c.List(version.KindShift) {
		if r.Shift.From == from {
			shift = r.Shift
		}
	}
	cross := func(l *version.Resource) (map[string]bool, []string) {
		found := within(l.Link.To)
		need := []string{l.Key.String()}
		if shift != nil && shift.To == l.Link.To {
			need = append(need, "shift/shift")
			if shift.Rate > 0 {
				need = append(need, "shift/shift/rate")
			}
		}
		for _, p := range need {
			if free[p] <= 0 {
				return nil, nil
			}
		}
		return found, need
	}
	var links []version.Resource
	for _, l := range c.List(version.KindLink) {
		if l.Link.From == from {
			links = append(links, l)
		}
	}
	for i := range links {
		if shifted && shift != nil && links[i].Link.To == shift.To {
			if found, need := cross(&links[i]); len(found) > 0 {
				return found, need
			}
		}
	}
	if found := within(from); len(found) > 0 {
		return found, nil
	}
	for len(links) > 0 {
		nearest := 0
		for i := range links {
			if links[i].Link.Latency < links[nearest].Link.Latency {
				nearest = i
			}
		}
		if found, need := cross(&links[nearest]); len(found) > 0 {
			return found, need
		}
		links = append(links[:nearest:nearest], links[nearest+1:]...)
	}
	return nil, nil
}

// TestDecideMatchesReference compares decisions on the compiled view with those of
// naiveDecide, over random configurations and counters.
func TestDecideMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := randomConfig(t)
		v, err := version.Compile(cfg)
		assert.NilError(t, err)
		n := version.NewCounters(v)
		free, cost, closed := map[string]int{}, map[string]int{}, map[string]bool{}
		for i, p := range v.Pools {
			free[p.Name] = rapid.IntRange(0, 1).Draw(t, p.Name)
			n.Free[i].Store(int32(free[p.Name]))
		}
		for i, u := range v.Backends {
			cost[u.Name] = rapid.IntRange(0, 2).Draw(t, "cost")
			closed[u.Name] = rapid.IntRange(0, 4).Draw(t, "closed") == 0
			n.Cost[i].Store(int64(cost[u.Name]))
			n.Closed[i].Store(closed[u.Name])
		}
		shifted := rapid.Bool().Draw(t, "shifted")
		// The low bits must not be a multiple of exploreInterval, so that the decision
		// does not explore; the high bits are below or above the share.
		random := uint64(rapid.IntRange(0, 1000).Draw(t, "start"))*64 + 1
		if !shifted {
			random |= 0xC0000000 << 32
		}
		region := rapid.IntRange(0, len(v.Regions)-1).Draw(t, "from")
		q := version.Query{Service: 0, Region: int32(region), Random: random, Exclude: [2]int32{version.None, version.None}}
		got := v.Decide(&q, n)
		backends, pools := naiveDecide(cfg, v.Regions[region], shifted, free, cost, closed)
		if got.Backend == version.None {
			assert.Equal(t, len(backends), 0)
			return
		}
		name := v.Backends[got.Backend].Name
		assert.Assert(t, backends[name], "chose %s, want one of %v", name, backends)
		need := map[string]bool{"upstream/" + name: true}
		for _, p := range pools {
			need[p] = true
		}
		assert.Equal(t, got.NumPools, len(need))
		for _, p := range got.Pools[:got.NumPools] {
			assert.Assert(t, need[v.Pools[p].Name], v.Pools[p].Name)
		}
	})
}
