// SPDX-License-Identifier: MIT

package balance

import (
	"math"
	"time"

	"shalewick/version"
)

// share is the fraction of its objects that a backend server keeps. One that is busier than the
// others of its service, by its own load reports, sheds objects to the next ones in their orders,
// a few at a time and always the same ones, and regains them when it is no longer busy. The
// objects that stay are not disturbed, and if all are equally busy none moves.
type share struct {
	kept   float64       // from Policy.MinShare to 1
	load   float64       // smoothed load, relative to the slots
	loadAt time.Duration // time of the last report; zero: none yet
}

// record includes a load report in the smoothed load.
func (x *share) record(p *Policy, r Report, now time.Duration) {
	if r.Slots <= 0 {
		return
	}
	load := float64(r.Running+r.Waiting) / float64(r.Slots)
	if x.loadAt == 0 {
		x.load = load
	} else {
		gain := 1 - math.Exp(-float64(now-x.loadAt)/float64(p.LoadSmoothing))
		x.load += gain * (load - x.load)
	}
	x.loadAt = now
}

// step moves the share by one step.
func (x *share) step(p *Policy, mean float64, now time.Duration) {
	if x.loadAt == 0 || now-x.loadAt > p.LoadSmoothing {
		x.kept = min(1, x.kept+p.ShareStep/2) // no recent report: recover slowly
		return
	}
	busy := max(p.BusyLoad, mean*p.BusyRatio)
	switch {
	case x.load > busy:
		x.kept = max(p.MinShare, x.kept*(1-p.ShareStep*min(1, x.load/busy-1)*2))
	case x.load < busy*p.RecoverRatio:
		x.kept = min(1, x.kept*(1+p.ShareStep/2))
	}
}

// stepShares moves the shares of a service's backend servers by one step if it is due, and probes
// suspended ones. The caller holds the lock.
func (t *Table) stepShares(s *version.RoutedService, now time.Duration) {
	known := t.service(s)
	if now < known.nextShareStep {
		return
	}
	known.nextShareStep = now + t.Policy.ShareInterval
	sum, reports := 0.0, 0
	for _, i := range s.Backends {
		u := t.states[i]
		if u != nil && t.probing < maxProbes && !t.routing.Backends[i].Closed && u.eligibility(now, t.LeavingGrace) != ineligible {
			t.probe(t.routing.Backends[i].Name, u, now)
		}
		if u != nil && u.share.loadAt != 0 && now-u.share.loadAt <= t.Policy.LoadSmoothing && !t.routing.Backends[i].Closed {
			sum += u.share.load
			reports++
		}
	}
	if reports == 0 {
		return
	}
	for _, i := range s.Backends {
		if u := t.states[i]; u != nil {
			u.share.step(&t.Policy, sum/float64(reports), now)
		}
	}
}
