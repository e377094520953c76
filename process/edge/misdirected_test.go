// SPDX-License-Identifier: MIT

package edge

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"shalewick/version"
)

// TestMisdirectedRowGivesWay guards against a row that keeps a backend server at the same address from being used, and
// against one that stays out of use after it has changed or has no other row to give way to.
func TestMisdirectedRowGivesWay(t *testing.T) {
	announced := func(name string, v int64, port uint16) *version.AnnouncedBackend {
		return version.NewAnnouncedBackend(name, v, &version.Backend{Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port)})
	}
	e := new(Edge)
	remaining := func(xs ...*version.AnnouncedBackend) (names []string) {
		c := &version.Config{Announced: xs}
		problems := e.removeMisdirected(c)
		assert.Equal(t, len(problems)+len(c.Announced), len(xs))
		for _, x := range c.Announced {
			names = append(names, x.Name)
		}
		return names
	}
	own, odd, other := announced("own", 1, 80), announced("odd", 2, 80), announced("other", 3, 81)
	assert.DeepEqual(t, remaining(odd, other, own), []string{"odd", "other", "own"})
	e.misdirected = map[string]int64{"odd": 2, "other": 3, "gone": 9}
	assert.DeepEqual(t, remaining(odd, other, own), []string{"other", "own"}) // no other row names the address of "other"
	assert.DeepEqual(t, remaining(odd, other), []string{"odd", "other"})
	e.misdirected = map[string]int64{"odd": 2, "own": 1}
	assert.DeepEqual(t, remaining(odd, own), []string{"odd", "own"})
	assert.DeepEqual(t, remaining(announced("odd", 5, 80), own), []string{"odd"}) // its row has changed
	assert.Equal(t, len(e.misdirected), 1)
}
