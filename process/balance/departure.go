// SPDX-License-Identifier: MIT

package balance

import (
	"math"
	"time"

	"shalewick/request"
)

// leavingGossipTTL is how long gossip that a backend server is leaving counts after it was last
// received. Instances that the server itself notified repeat it with each heartbeat, to some instances
// of a region of 100; within 20 heartbeats it reaches any one with probability 0.99. After it
// expires, the next request that is sent there finds out again.
const leavingGossipTTL = 10 * time.Second

// departure records the notice that one incarnation of a backend server is leaving. The zero value
// means that there was none.
type departure struct {
	since      time.Duration // when it was first known to be leaving; zero: never
	own        bool          // it was announced to this instance
	lastGossip time.Duration // when another instance last reported it; zero: never
	rowLeaving bool          // the row has said so as well
}

// eligibility returns the eligibility for new requests. A notice to this instance is binding.
// Gossip only makes the backend server the last resort, so that no outdated report can cause a
// refusal.
func (d *departure) eligibility(now, grace time.Duration) eligibility {
	switch {
	case d.since == 0 || !d.own && now-d.lastGossip > leavingGossipTTL:
		return eligible
	case d.own && now-d.since >= grace:
		return ineligible
	}
	return lastResort
}

// recordResponse records a notice in a response to this instance, and reports whether it is new.
func (d *departure) recordResponse(now time.Duration) bool {
	if d.own {
		return false
	}
	if d.since == 0 {
		d.since = now
	}
	d.own = true
	return true
}

// recordGossip records a report of another instance, which has an age, and reports whether it is
// new.
func (d *departure) recordGossip(age, now time.Duration) bool {
	fresh := d.since == 0 || !d.own && now-d.lastGossip > leavingGossipTTL
	if fresh {
		d.since = now - age
	}
	d.since = min(d.since, now-age)
	d.lastGossip = now
	return fresh
}

// reconcileRow compares the notice with a row. A row that once said that the backend server is
// leaving and no longer does is newer than the notice. A row that has not said so yet is older
// than the notice, however new its other fields are: the server updates the row continually, but
// writes to the store that it is leaving only once its responses say so.
func (d *departure) reconcileRow(leaving bool) {
	switch {
	case d.since == 0:
	case leaving:
		d.rowLeaving = true
	case d.rowLeaving:
		*d = departure{}
	}
}

// shouldAnnounce reports whether to gossip the notice: one to this instance until the row says so,
// one from gossip only while it is new, so that reports do not circulate for ever.
func (d *departure) shouldAnnounce(rowLeaving bool, now time.Duration) bool {
	return d.since != 0 && !rowLeaving && (d.own || now-d.since < observationTTL)
}

// ageUnits returns the age of the notice in the unit of gossip.
func (d *departure) ageUnits(now time.Duration) byte {
	return byte(min((now-d.since)/observationUnit, math.MaxUint8))
}

// applyLeaving applies the gossip that a backend server announced some time ago that it is
// leaving. The caller holds the lock.
func (t *Table) applyLeaving(index int32, age, now time.Duration) {
	if t.noticesOf(t.state(index), now).leaving.recordGossip(age, now) {
		t.reportNotice(t.routing.Backends[index].Name, request.Notice{Leaving: true}, false)
	}
}
