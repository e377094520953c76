// SPDX-License-Identifier: MIT

package rollout

import "shalewick/version"

// RunningVersion is a version of a service's software as its backend servers announce it.
type RunningVersion struct {
	Software string
	Backends int
	// Oldest is the lowest version of their table rows.
	Oldest int64
}

// SelectVersions selects the versions of a service's software that may get requests. Order and
// record may be nil. Current is the version that was in force at this instance until now, or "" at
// its start. If nothing else decides, the version whose backend servers announced themselves first
// is in force.
func SelectVersions(order *Order, record *Record, running []RunningVersion, current string) version.Software {
	out := fromRecord(order, record, running, current)
	if order == nil || isRunning(out.InForce, running) || !isRunning(order.Target, running) {
		return out
	}
	if record.isFor(order) && record.Phase == Reverted {
		return out
	}
	return version.Software{InForce: order.Target}
}

// fromRecord selects the versions by order and record, whether or not their backend servers still
// exist.
func fromRecord(order *Order, record *Record, running []RunningVersion, current string) version.Software {
	switch {
	case record.isFor(order) && !record.Phase.Ended():
		return version.Software{InForce: record.Previous, Target: record.Target}
	case record != nil:
		return version.Software{InForce: record.InForce()}
	case order != nil:
		return version.Software{InForce: previousVersion(order.Target, running, current)}
	case current != "" && isRunning(current, running):
		return version.Software{InForce: current}
	}
	return version.Software{InForce: oldest(running, nil)}
}

// previousVersion returns the version in force for an order that has no record yet. That is the
// ordered version itself if it was in force and is the oldest: the other versions are then on
// standby and no order names them.
func previousVersion(target string, running []RunningVersion, current string) string {
	if current != "" && current != target {
		return current
	}
	if current == target && oldest(running, nil) == target {
		return target
	}
	return oldest(running, &target)
}

// oldest returns the version whose backend servers announced themselves first, except for one
// version.
func oldest(running []RunningVersion, except *string) string {
	var first *RunningVersion
	for i, x := range running {
		if x.Backends == 0 || except != nil && x.Software == *except {
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

// isRunning reports whether a version has backend servers.
func isRunning(software string, running []RunningVersion) bool {
	for _, x := range running {
		if x.Software == software && x.Backends > 0 {
			return true
		}
	}
	return false
}
