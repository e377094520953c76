// SPDX-License-Identifier: MIT

package rollout

import "shalewick/version"

// Running is one version of a service's software as backend servers announce it.
type RunningVersion struct {
	Software string
	Backends int
	// Oldest is the lowest version of their rows.
	Oldest int64
}

// Admit decides which versions of a service's software may get requests. Order and
// record may be nil. Before is what was in force at this instance until now, "" at
// its start. Where nothing else tells, the version whose backend servers announced
// themselves first is in force.
func SelectVersions(order *Order, record *Record, running []RunningVersion, before string) version.Software {
	out := fromRecord(order, record, running, before)
	if order == nil || isRunning(out.InForce, running) || !isRunning(order.Target, running) {
		return out
	}
	if record.isFor(order) && record.Phase == Reverted {
		return out
	}
	return version.Software{InForce: order.Target}
}

// admitted decides it by order and record, whether or not backend servers are left.
func fromRecord(order *Order, record *Record, running []RunningVersion, before string) version.Software {
	switch {
	case record.isFor(order) && !record.Phase.Ended():
		return version.Software{InForce: record.Previous, Target: record.Target}
	case record != nil:
		return version.Software{InForce: record.InForce()}
	case order != nil:
		return version.Software{InForce: previousVersion(order.Target, running, before)}
	case before != "" && isRunning(before, running):
		return version.Software{InForce: before}
	}
	return version.Software{InForce: oldest(running, nil)}
}

// besides returns the version that serves beside an ordered one of which there is no
// record. That is the ordered one itself if it was in force and is the oldest: then
// the other ones stand by, and nobody ordered them.
func previousVersion(target string, running []RunningVersion, before string) string {
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
func oldest(running []RunningVersion, but *string) string {
	var first *RunningVersion
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
func isRunning(software string, running []RunningVersion) bool {
	for _, x := range running {
		if x.Software == software && x.Backends > 0 {
			return true
		}
	}
	return false
}
