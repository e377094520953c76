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

// announced is what the backend servers of one service say of their software.
type runningVersions map[string]*rollout.Running

// tells reports whether any of them tells a version.
func (a runningVersions) reportsVersion() bool {
	_, silent := a[""]
	return len(a) > 1 || len(a) == 1 && !silent
}

// running returns the versions in a fixed order.
func (a runningVersions) sorted() []rollout.Running {
	out := make([]rollout.Running, 0, len(a))
	for _, r := range a {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(x, y rollout.Running) int { return cmp.Compare(x.Software, y.Software) })
	return out
}

// heldBack returns how many backend servers run versions that may get no requests, by
// version.
func (a runningVersions) heldBack(admitted version.Software) map[string]int {
	out := make(map[string]int)
	for software, r := range a {
		if software != admitted.InForce && software != admitted.Target {
			out[software] = r.Backends
		}
	}
	return out
}

// announcedOf returns what backend servers say of their software, by service.
func runningVersionsByService(c *version.Config) map[string]runningVersions {
	out := make(map[string]runningVersions)
	for _, x := range c.Backends() {
		a := out[x.Backend.Service]
		if a == nil {
			a = make(runningVersions)
			out[x.Backend.Service] = a
		}
		a.add(x)
	}
	return out
}

// add counts a backend server.
func (a runningVersions) add(x *version.Announced) {
	r := a[x.Backend.Software]
	if r == nil {
		r = &rollout.Running{Software: x.Backend.Software, Oldest: x.Version}
		a[x.Backend.Software] = r
	}
	r.Backends++
	r.Oldest = min(r.Oldest, x.Version)
}

// admit says which versions of each service's software may get requests. Services
// whose backend servers have never told a version are left out: all of them may. Before
// is what admit said last.
func admitVersions(c *version.Config, orders map[string]*rollout.Order, records map[string]knownRecord, before map[string]version.Software) map[string]version.Software {
	out := make(map[string]version.Software)
	all := runningVersionsByService(c)
	for key := range c.Resources {
		if key.Kind != version.KindService {
			continue
		}
		was, told := before[key.Name]
		if !told && !all[key.Name].reportsVersion() {
			continue
		}
		now := rollout.Admit(orders[key.Name], records[key.Name].record, all[key.Name].sorted(), was.InForce)
		if now.InForce == "" {
			now.InForce = was.InForce // all rows are gone for a while
		}
		out[key.Name] = now
	}
	return out
}

// logHeldBack writes which backend servers get nothing since nobody ordered the version
// that they run, when that has changed.
func (e *Edge) logHeldBack(c *version.Config) {
	all := runningVersionsByService(c)
	for _, service := range slices.Sorted(maps.Keys(c.Software)) {
		held := all[service].heldBack(c.Software[service])
		text := fmt.Sprint(held)
		if text == e.rolloutState.loggedHeldBack[service] || len(held) == 0 && e.rolloutState.loggedHeldBack[service] == "" {
			continue
		}
		e.rolloutState.loggedHeldBack[service] = text
		e.log.Info().Str("service", service).Strs("software", slices.Sorted(maps.Keys(held))).Int("number", sumCounts(held)).
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
