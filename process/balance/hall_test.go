// SPDX-License-Identifier: MIT

package balance

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"shalewick/request"
	"shalewick/version"
)

// hallShares returns the share of requests that goes to each hall, from an instance in one hall of
// the region r0. servers holds the number of backend servers in each hall.
func hallShares(t *testing.T, class request.Class, hall string, servers map[string]int) map[string]float64 {
	t.Helper()
	p := newFixture(1)
	p.Hall = hall
	for name, n := range servers {
		p.put(version.Resource{Key: version.Key{Kind: version.KindHall, Name: name}, Hall: &version.Hall{Region: "r0"}})
		for i := range n {
			p.backend(fmt.Sprintf("%s-%d", name, i), 0, func(u *version.Backend) { u.Hall = name })
		}
	}
	p.backend("far", 1, nil)
	p.config.Resources[version.Key{Kind: version.KindRoute, Name: "r"}].Route.Class = class
	p.install()
	out := make(map[string]float64)
	const objects = 2000
	for object := range uint64(objects) {
		k := p.pick(t, object+1)
		out[p.routing.Backends[p.routing.FindBackend(k.Name)].Hall] += 1.0 / objects
		k.Done(Abandoned, nil)
	}
	return out
}

// TestUploadsStayInTheHall checks that large bodies go to the backend servers of the hall, up to
// the hall's share of the region's capacity, and that no more requests leave the region because of
// it. Without the preference half of them crossed to the other hall, without benefit to any
// caller.
func TestUploadsStayInTheHall(t *testing.T) {
	even := map[string]int{"a": 8, "b": 8}
	uploads := hallShares(t, request.ClassUpload, "a", even)
	assert.Assert(t, uploads["b"] < 0.03 && uploads["a"] > 0.8, "%v", uploads)
	reads := hallShares(t, request.ClassRead, "a", even)
	assert.Assert(t, reads["b"] > 0.3 && reads["a"] > 0.3, "%v", reads)
	assert.Assert(t, uploads["hr1"] < reads["hr1"]+0.03, "%v, reads %v", uploads, reads)
	few := hallShares(t, request.ClassUpload, "a", map[string]int{"a": 4, "b": 12})
	assert.Assert(t, few["a"] > 0.35 && few["a"] < 0.6, "%v", few)
	none := hallShares(t, request.ClassUpload, "c", even)
	assert.Assert(t, none["a"] > 0.3 && none["b"] > 0.3, "%v", none)
}
