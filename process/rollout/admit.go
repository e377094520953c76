// SPDX-License-Identifier: MIT

package rollout

import "shalewick/version"

// Running is one version of a service's software as backend servers announce it.
type Running struct {
	Software string
	Backends int
	// Oldest is the lowest version of their rows.
	Oldest int64
}

// Admit decides which versions of a service's software may get requests. Order and
// record may be nil. Before is what was in force at this instance until now, "" at
// its start. Where nothing else tells, the version whose backend servers announced
// themselves first is in force.
func Admit(order *Order, record *Record, running []Running, before string) version.Software {
	out := admitted(order, record, running, before)
	if order == nil || runs(out.InForce, running) || !runs(order.Target, running) {
		return out
	}
	if record.isFor(order) && record.Phase == Reverted {
		return out
	}
	return version.Software{InForce: order.Target}
}

// admitted decides it by order and record, whether or not backend servers are left.
func admitted(order *Order, record *Record, running []Running, before string) version.Software {
	switch {
	case record.isFor(order) && !record.Phase.Ended():
		return version.Software{InForce: record.Before, Target: record.Target}
	case record != nil:
		return version.Software{InForce: record.InForce()}
	case order != nil:
		return version.Software{InForce: besides(order.Target, running, before)}
	case before != "" && runs(before, running):
		return version.Software{InForce: before}
	}
	return version.Software{InForce: oldest(running, nil)}
}

// besides returns the version that serves beside an ordered one of which there is no
// record. That is the ordered one itself if it was in force and is the oldest: then
// the other ones stand by, and nobody ordered them.
func besides(target string, running []Running, before string) string {
	if before != "" && before != target {
		return before
	}
	if before == target && oldest(running, nil) == target {
		return target
	}
	return oldest(running, &target)
}

// oldest returns the version whose backend servers announced themselves first, but for
// one.
func oldest(running []Running, but *string) string {
	var first *Running
	for i, x := range running {
		if x.Backends == 0 || but != nil && x.Software == *but {
			continue
		}
		if first == nil || x.Oldest < first.Oldest {
			first = &running[i]
		}
	}
	if first == nil {
		return ""
	}
	return first.Software
}

// runs reports whether backend servers of a version are there.
func runs(software string, running []Running) bool {
	for _, x := range running {
		if x.Software == software && x.Backends > 0 {
			return true
		}
	}
	return false
}
