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

// TestMisdirectedRowComesBack guards against a row that has given way for good although the row in its place is misdirected too.
func TestMisdirectedRowComesBack(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:80")
	newer, older := version.NewAnnouncedBackend("newer", 2, &version.Backend{Address: address}), version.NewAnnouncedBackend("older", 1, &version.Backend{Address: address})
	e := new(Edge)
	compile := func() (names []string) {
		c := &version.Config{Announced: []*version.AnnouncedBackend{newer, older}}
		e.removeMisdirected(c)
		e.lastAnnounced = c.Announced
		for _, x := range c.Announced {
			names = append(names, x.Name)
		}
		return names
	}
	assert.DeepEqual(t, compile(), []string{"newer", "older"})
	assert.Assert(t, e.addMisdirected("newer"))
	assert.DeepEqual(t, compile(), []string{"older"})
	assert.Assert(t, !e.addMisdirected("newer"))
	assert.Assert(t, e.addMisdirected("older"), "the rows are not compiled again")
	assert.DeepEqual(t, compile(), []string{"newer", "older"})
	assert.Assert(t, !e.addMisdirected("older"))
}
