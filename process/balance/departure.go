// SPDX-License-Identifier: MIT

package balance

import (
	"math"
	"time"

	"shalewick/request"
)

// rumourFor is how long the word of another instance that a backend server leaves counts after
// it was last told. Origin: those who were told by the server itself repeat it at each beat,
// to some of a region of 100; 20 beats reach any one with 0.99. One request then learns it
// anew.
const leavingGossipTTL = 10 * time.Second

// departure is what is known of a start of a backend server that leaves by its own word. The
// zero value is one that said nothing.
type departure struct {
	since      time.Duration // when it said so first, as far as is known; zero: never
	own        bool          // it said so to this instance
	lastGossip time.Duration // when another instance told it last; zero: never
	rowLeaving bool          // its row has said so as well
}

// eligibility returns that for new requests. What was said to this
// instance binds it; the word of others only makes the backend server the last choice, so that
// no rumour can refuse a request.
func (d *departure) eligibility(now, within time.Duration) eligibility {
	switch {
	case d.since == 0 || !d.own && now-d.lastGossip > leavingGossipTTL:
		return eligible
	case d.own && now-d.since >= within:
		return ineligible
	}
	return lastResort
}

// told notes that the backend server said so to this instance, and reports whether that is new.
func (d *departure) recordAnswer(now time.Duration) bool {
	if d.own {
		return false
	}
	if d.since == 0 {
		d.since = now
	}
	d.own = true
	return true
}

// hear takes up the word of another instance, which has an age, and reports whether it is new.
func (d *departure) recordGossip(age, now time.Duration) bool {
	fresh := d.since == 0 || !d.own && now-d.lastGossip > leavingGossipTTL
	if fresh {
		d.since = now - age
	}
	d.since = min(d.since, now-age)
	d.lastGossip = now
	return fresh
}

// seeRow compares what was said with a row. A row that said that the backend server leaves, and
// now does not, is the newer word. One that did not say so yet is older than the answer,
// however new its other fields are: the server writes them all the time, and tells the
// store that it leaves only once that answers.
func (d *departure) reconcileRow(leaves bool) {
	switch {
	case d.since == 0:
	case leaves:
		d.rowLeaving = true
	case d.rowLeaving:
		*d = departure{}
	}
}

// worthTelling reports whether others should know: what was said to this instance until the
// row says so, and what others told while it is new, so that no rumour is passed on for
// ever.
func (d *departure) shouldAnnounce(rowLeaves bool, now time.Duration) bool {
	return d.since != 0 && !rowLeaves && (d.own || now-d.since < observationTTL)
}

// units returns the age of the word as observations carry it.
func (d *departure) ageUnits(now time.Duration) byte {
	return byte(min((now-d.since)/observationUnit, math.MaxUint8))
}

// hearLeaving takes up the word of another instance that a backend server said that it leaves,
// some time ago. The caller holds the lock.
func (t *Table) applyLeaving(index int32, age, now time.Duration) {
	if t.noticesOf(t.state(index), now).leaving.recordGossip(age, now) {
		t.reportNotice(t.routing.Backends[index].Name, request.Notice{Leaving: true}, false)
	}
}
