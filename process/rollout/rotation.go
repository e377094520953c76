// SPDX-License-Identifier: MIT

package rollout

import (
	"cmp"
	"math"
	"slices"
)

// rotation divides the target's backend servers into sets that are active in successive rounds.
type rotation struct {
	homes        []Home // by hash
	roundsPerSet int64  // how many of its active rounds a set keeps before the next set replaces it
	slots        int    // of all backend servers
	maxSlots     int    // of the largest backend server
	// The set of the last selected round, which is count homes from first on.
	round    int64
	fraction float64
	first    int
	count    int
}

// set sets the backend servers of the target that accept requests.
func (r *rotation) set(homes []Home) {
	*r = rotation{homes: slices.Clone(homes), round: -1, roundsPerSet: defaultRoundsPerSet}
	slices.SortFunc(r.homes, func(a, b Home) int { return cmp.Compare(a.Hash, b.Hash) })
	for _, h := range r.homes {
		r.slots += h.Slots
		r.maxSlots = max(r.maxSlots, h.Slots)
	}
}

// isActive reports whether a backend server is active in a round, where the active ones get a
// fraction of all requests.
func (r *rotation) isActive(hash uint64, round int64, fraction float64) bool {
	if len(r.homes) == 0 {
		return false
	}
	if round != r.round || fraction != r.fraction {
		r.selectSet(round, fraction)
	}
	i, found := slices.BinarySearchFunc(r.homes, hash, func(h Home, x uint64) int { return cmp.Compare(h.Hash, x) })
	if !found {
		return false
	}
	return (i-r.first+len(r.homes))%len(r.homes) < r.count
}

// roundInterval returns in one of how many rounds backend servers are active. If the largest has
// more than the given fraction of the slots, the rounds in between have an empty set.
func (r *rotation) roundInterval(fraction float64) int64 {
	if r.maxSlots == 0 || fraction <= 0 {
		return 1
	}
	return max(1, int64(math.Ceil(float64(r.maxSlots)/(fraction*float64(r.slots))-roundingError)))
}

// roundingError is the tolerance for floating-point errors in a quotient.
const roundingError = 1e-9

// selectSet selects the set of a round: as many backend servers as have the given fraction of the
// slots, and at least one.
func (r *rotation) selectSet(round int64, fraction float64) {
	r.round, r.fraction = round, fraction
	r.count = 0
	interval := r.roundInterval(fraction)
	if round%interval != 0 {
		return
	}
	n := len(r.homes)
	step := max(1, int64(fraction*float64(n)))
	r.first = int(round / interval / r.roundsPerSet * step % int64(n))
	slots := 0
	for r.count < n {
		slots += r.homes[(r.first+r.count)%n].Slots
		if r.count > 0 && float64(slots) > fraction*float64(r.slots) {
			return
		}
		r.count++
	}
}
