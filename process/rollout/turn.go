// SPDX-License-Identifier: MIT

package rollout

import (
	"cmp"
	"math"
	"slices"
)

// turns are the sets of the target's backend servers that are open one after another.
type rotation struct {
	homes        []Home // by hash
	roundsPerSet int64  // turns for which a set stays, of those in which one is open
	slots        int    // of all
	maxSlots     int    // of one
	// The set of the turn that was asked for last.
	round    int64
	fraction float64
	first    int
	count    int
}

// set sets the backend servers of the target that take work.
func (t *rotation) set(homes []Home) {
	*t = rotation{homes: slices.Clone(homes), round: -1, roundsPerSet: defaultRoundsPerSet}
	slices.SortFunc(t.homes, func(a, b Home) int { return cmp.Compare(a.Hash, b.Hash) })
	for _, h := range t.homes {
		t.slots += h.Slots
		t.maxSlots = max(t.maxSlots, h.Slots)
	}
}

// open reports whether a backend server is open in a turn, if those that are open get
// a part of all requests.
func (t *rotation) isActive(hash uint64, turn int64, part float64) bool {
	if len(t.homes) == 0 {
		return false
	}
	if turn != t.round || part != t.fraction {
		t.selectSet(turn, part)
	}
	i, found := slices.BinarySearchFunc(t.homes, hash, func(h Home, x uint64) int { return cmp.Compare(h.Hash, x) })
	if !found {
		return false
	}
	return (i-t.first+len(t.homes))%len(t.homes) < t.count
}

// every is in one of how many turns any backend server is open: when one has more
// than the part, turns are left out in between.
func (t *rotation) roundInterval(part float64) int64 {
	if t.maxSlots == 0 || part <= 0 {
		return 1
	}
	return max(1, int64(math.Ceil(float64(t.maxSlots)/(part*float64(t.slots))-roundingError)))
}

// rounding is what a quotient may be off.
const roundingError = 1e-9

// choose finds the set of a turn: as many as have the part of the slots.
func (t *rotation) selectSet(turn int64, part float64) {
	t.round, t.fraction = turn, part
	t.count = 0
	every := t.roundInterval(part)
	if turn%every != 0 {
		return
	}
	n := len(t.homes)
	step := max(1, int64(part*float64(n)))
	t.first = int(turn / every / t.roundsPerSet * step % int64(n))
	slots := 0
	for t.count < n {
		slots += t.homes[(t.first+t.count)%n].Slots
		if t.count > 0 && float64(slots) > part*float64(t.slots) {
			return
		}
		t.count++
	}
}
