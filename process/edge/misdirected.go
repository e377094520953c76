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
	e.compileMu.Lock()
	at, found := slices.BinarySearchFunc(e.lastAnnounced, name, func(x *version.AnnouncedBackend, name string) int { return cmp.Compare(x.Name, name) })
	isNew := found && e.misdirected[name] != e.lastAnnounced[at].Version
	shared := false
	if isNew {
		x := e.lastAnnounced[at]
		if e.misdirected == nil {
			e.misdirected = make(map[string]int64)
		}
		e.misdirected[name] = x.Version
		// With several recorded, the one that answers may have been removed from lastAnnounced.
		shared = len(e.misdirected) > 1 || slices.ContainsFunc(e.lastAnnounced, func(o *version.AnnouncedBackend) bool { return o != x && o.Backend.Address == x.Backend.Address })
	}
	e.compileMu.Unlock()
	if shared {
		e.recompile()
	}
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
