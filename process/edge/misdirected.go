// SPDX-License-Identifier: MIT

package edge

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/juju/errors"

	"shalewick/process/state"
	"shalewick/version"
)

// reasonMisdirected is the reason of a row at whose address another backend server answers.
const reasonMisdirected = "misdirected"

// recordMisdirected records that another server answers at the address of a backend server. If several rows
// name the address, the newest is held to be the right one; now an older one takes its place.
func (e *Edge) recordMisdirected(name string) {
	if e.addMisdirected(name) {
		e.recompile()
	}
}

// addMisdirected records a backend server, and reports whether another row may take its place.
func (e *Edge) addMisdirected(name string) (replaceable bool) {
	e.compileMu.Lock()
	defer e.compileMu.Unlock()
	at, found := slices.BinarySearchFunc(e.lastAnnounced, name, func(x *version.AnnouncedBackend, name string) int { return cmp.Compare(x.Name, name) })
	if !found || e.misdirected[name] == e.lastAnnounced[at].Version {
		return false
	}
	x := e.lastAnnounced[at]
	if e.misdirected == nil {
		e.misdirected = make(map[string]int64)
	}
	e.misdirected[name] = x.Version
	if len(e.misdirected) > 1 {
		return true // the other row may have been removed from lastAnnounced
	}
	return slices.ContainsFunc(e.lastAnnounced, func(o *version.AnnouncedBackend) bool { return o != x && o.Backend.Address == x.Backend.Address })
}

// removeMisdirected removes the announced backend servers at whose addresses another server answers, if other
// rows name the addresses too, and returns their rows. A row counts until it changes. The caller holds compileMu.
func (e *Edge) removeMisdirected(c *version.Config) (problems []error) {
	if len(e.misdirected) == 0 {
		return nil
	}
	recorded := make(map[string]int64)
	others := make(map[netip.AddrPort]bool) // addresses that other rows name
	for _, x := range c.Announced {
		if v, ok := e.misdirected[x.Name]; ok && v == x.Version {
			recorded[x.Name] = v
		} else {
			others[x.Backend.Address] = true
		}
	}
	e.misdirected = recorded
	kept := make([]*version.AnnouncedBackend, 0, len(c.Announced))
	for _, x := range c.Announced {
		if _, ok := recorded[x.Name]; ok && others[x.Backend.Address] {
			problems = append(problems, &state.RowError{Key: x.Name, Reason: reasonMisdirected, Err: errors.Errorf(
				"another server answers at address %s", x.Backend.Address)})
			continue
		}
		kept = append(kept, x)
	}
	c.Announced = kept
	return problems
}
