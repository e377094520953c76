// SPDX-License-Identifier: MIT

package edge

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"shalewick/process/rollout"
	"shalewick/process/state"
	"shalewick/version"
)

// ordersOf returns the operators' orders of a configuration, by service.
func ordersOf(c *version.Config) map[string]*rollout.Order {
	out := make(map[string]*rollout.Order)
	for key, x := range c.Resources {
		if key.Kind != version.KindRollout {
			continue
		}
		out[x.Rollout.Service] = &rollout.Order{ID: state.Number(x.Version), Epoch: state.Epoch(x.Version), Target: x.Rollout.Target, Within: time.Duration(x.Rollout.Within)}
	}
	return out
}

// runningVersions holds the software versions that the backend servers of a service announce.
type runningVersions map[string]*rollout.RunningVersion

// reportsVersion reports whether any of the backend servers announces a version.
func (v runningVersions) reportsVersion() bool {
	_, unversioned := v[""]
	return len(v) > 1 || len(v) == 1 && !unversioned
}

// sorted returns the versions in a fixed order.
func (v runningVersions) sorted() []rollout.RunningVersion {
	out := make([]rollout.RunningVersion, 0, len(v))
	for _, r := range v {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(x, y rollout.RunningVersion) int { return cmp.Compare(x.Software, y.Software) })
	return out
}

// heldBack returns how many backend servers run versions that may get no requests, by version.
func (v runningVersions) heldBack(admitted version.Software) map[string]int {
	out := make(map[string]int)
	for software, r := range v {
		if software != admitted.InForce && software != admitted.Target {
			out[software] = r.Backends
		}
	}
	return out
}

// runningVersionsByService returns the versions that backend servers announce, by service.
func runningVersionsByService(c *version.Config) map[string]runningVersions {
	out := make(map[string]runningVersions)
	for _, x := range c.Backends() {
		v := out[x.Backend.Service]
		if v == nil {
			v = make(runningVersions)
			out[x.Backend.Service] = v
		}
		v.add(x)
	}
	return out
}

// add counts a backend server.
func (v runningVersions) add(x *version.AnnouncedBackend) {
	r := v[x.Backend.Software]
	if r == nil {
		r = &rollout.RunningVersion{Software: x.Backend.Software, Oldest: x.Version}
		v[x.Backend.Software] = r
	}
	r.Backends++
	r.Oldest = min(r.Oldest, x.Version)
}

// admitVersions returns which versions of each service's software may get requests. Services whose
// backend servers have never announced a version are left out: all their backend servers may.
// Before is the previous result.
func admitVersions(c *version.Config, orders map[string]*rollout.Order, records map[string]knownRecord, before map[string]version.Software) map[string]version.Software {
	out := make(map[string]version.Software)
	all := runningVersionsByService(c)
	for key := range c.Resources {
		if key.Kind != version.KindService {
			continue
		}
		previous, known := before[key.Name]
		if !known && !all[key.Name].reportsVersion() {
			continue
		}
		admitted := rollout.SelectVersions(orders[key.Name], records[key.Name].record, all[key.Name].sorted(), previous.InForce)
		if admitted.InForce == "" {
			admitted.InForce = previous.InForce // the rows of all backend servers are gone for a while
		}
		out[key.Name] = admitted
	}
	return out
}

// logHeldBack logs changes of the backend servers that get no requests because the version that
// they run was not ordered.
func (e *Edge) logHeldBack(c *version.Config) {
	all := runningVersionsByService(c)
	for _, service := range slices.Sorted(maps.Keys(c.Software)) {
		heldBack := all[service].heldBack(c.Software[service])
		text := fmt.Sprint(heldBack)
		if text == e.rolloutState.loggedHeldBack[service] || len(heldBack) == 0 && e.rolloutState.loggedHeldBack[service] == "" {
			continue
		}
		e.rolloutState.loggedHeldBack[service] = text
		e.log.Info().Str("service", service).Strs("software", slices.Sorted(maps.Keys(heldBack))).Int("number", sumCounts(heldBack)).
			Str("inForce", c.Software[service].InForce).Str("target", c.Software[service].Target).Msg("backends-held-back")
	}
}

func sumCounts(counts map[string]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
