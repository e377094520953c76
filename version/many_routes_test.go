// SPDX-License-Identifier: MIT

package version_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"shalewick/request"
	"shalewick/version"
)

// manyRoutes returns a configuration of one service with the given number of routes, all of
// one host, and of backend servers, in three regions.
func manyRoutes(routes, backends int) *version.Config {
	c := &version.Config{Seq: 1, Resources: map[version.Key]version.Resource{}}
	add := func(r version.Resource) { c.Resources[r.Key] = r }
	for i := range 3 {
		region, hall := fmt.Sprintf("r%d", i), fmt.Sprintf("h%d", i)
		add(version.Resource{Key: version.Key{Kind: version.KindRegion, Name: region}, Region: &version.Region{}})
		add(version.Resource{Key: version.Key{Kind: version.KindHall, Name: hall}, Hall: &version.Hall{Region: region}})
	}
	add(version.Resource{Key: version.Key{Kind: version.KindService, Name: "s"}, Service: &version.Service{}})
	for i := range routes {
		add(version.Resource{Key: version.Key{Kind: version.KindRoute, Name: fmt.Sprintf("route-%d", i)}, Route: &version.Route{
			Host: "a.example", Prefix: fmt.Sprintf("/path%d/part/", i), Class: request.ClassRead,
			Timeout: version.Duration(time.Second), Split: []version.WeightedService{{Service: "s", Weight: 1}},
		}})
	}
	for i := range backends {
		add(version.Resource{Key: version.Key{Kind: version.KindBackend, Name: fmt.Sprintf("b-%d", i)}, Backend: &version.Backend{
			Service: "s", Hall: fmt.Sprintf("h%d", i%3), Slots: 4,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 80),
		}})
	}
	return c
}

// BenchmarkCompileManyRoutes measures compiling a version, which an instance does whenever a
// backend server is added or removed.
func BenchmarkCompileManyRoutes(b *testing.B) {
	for _, routes := range []int{4, 100, 1000} {
		c := manyRoutes(routes, 270)
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				version.CompileRouting(c, nil)
			}
		})
	}
}

// BenchmarkFindManyRoutes measures finding the route of a request.
func BenchmarkFindManyRoutes(b *testing.B) {
	for _, routes := range []int{4, 100, 1000} {
		r := version.CompileRouting(manyRoutes(routes, 3), nil)
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if r.Route("a.example", "/path3/part/one") == nil {
					b.Fatal("no route")
				}
			}
		})
	}
}
