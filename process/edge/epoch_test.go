// SPDX-License-Identifier: MIT

package edge

import (
	"testing"

	"gotest.tools/v3/assert"

	"shalewick/version"
)

// TestLaterStartsAreKept guards against a copy that has backend servers as they were before they
// started again.
func TestKeepLaterStarts(t *testing.T) {
	start := func(name string, born int64) *version.Announced {
		return version.NewAnnounced(name, born, &version.Backend{Incarnation: born})
	}
	before := []*version.Announced{start("a", 5), start("b", 5), start("d", 5), start("e", 5)}
	now := []*version.Announced{start("a", 4), start("b", 6), start("c", 1), start("d", 0), start("f", 1)}
	keepLaterStarts(now, before)
	var got []int64
	for _, x := range now {
		got = append(got, x.Backend.Incarnation)
	}
	assert.DeepEqual(t, got, []int64{5, 6, 1, 0, 1})
}
