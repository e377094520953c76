// SPDX-License-Identifier: MIT

package balance

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"shalewick/request"
	"shalewick/version"
)

// uploadsOf returns, by hall, where the uploads of many objects go from a hall of the region r0, in
// which each of some halls has so many backend servers.
func uploadsOf(t *testing.T, class request.Class, hall string, servers map[string]int) map[string]float64 {
	t.Helper()
	p := newPlace(1)
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

// TestUploadsStayInTheHall checks that large bodies go to the hall's own backend servers, as far as
// these are the hall's share of its region, and that no more leaves the region for it. Half of
// them crossed to the other hall, for which no caller gained anything.
func TestUploadsStayInTheHall(t *testing.T) {
	even := map[string]int{"a": 8, "b": 8}
	got := uploadsOf(t, request.ClassUpload, "a", even)
	assert.Assert(t, got["b"] < 0.03 && got["a"] > 0.8, "%v", got)
	before := uploadsOf(t, request.ClassRead, "a", even)
	assert.Assert(t, before["b"] > 0.3 && before["a"] > 0.3, "%v", before)
	assert.Assert(t, got["hr1"] < before["hr1"]+0.03, "%v, others %v", got, before)
	few := uploadsOf(t, request.ClassUpload, "a", map[string]int{"a": 4, "b": 12})
	assert.Assert(t, few["a"] > 0.35 && few["a"] < 0.6, "%v", few)
	none := uploadsOf(t, request.ClassUpload, "c", even)
	assert.Assert(t, none["a"] > 0.3 && none["b"] > 0.3, "%v", none)
}
