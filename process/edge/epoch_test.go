// SPDX-License-Identifier: MIT

package edge

import (
	"testing"

	"gotest.tools/v3/assert"

	"shalewick/version"
)

// TestKeepLaterStarts guards against a restored store that has backend servers as they were before
// their last start.
func TestKeepLaterStarts(t *testing.T) {
	announced := func(name string, incarnation int64) *version.AnnouncedBackend {
		return version.NewAnnouncedBackend(name, incarnation, &version.Backend{Incarnation: incarnation})
	}
	before := []*version.AnnouncedBackend{announced("a", 5), announced("b", 5), announced("d", 5), announced("e", 5)}
	now := []*version.AnnouncedBackend{announced("a", 4), announced("b", 6), announced("c", 1), announced("d", 0), announced("f", 1)}
	keepLaterStarts(now, before)
	var got []int64
	for _, x := range now {
		got = append(got, x.Backend.Incarnation)
	}
	assert.DeepEqual(t, got, []int64{5, 6, 1, 0, 1})
}
