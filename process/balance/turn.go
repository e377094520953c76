// SPDX-License-Identifier: MIT

package balance

import "time"

// turns are the moments at which an instance may send a request to a cold
// backend server. Those of all instances are spread evenly, since all learn at the
// same moment that a backend server is cold, and none saves turns up.
type turns struct {
	policy       *Policy
	rate         float64       // of the backend server, over all instances; zero: no bound
	index, count int           // of this instance, as the turns were made for
	next         time.Duration // the present or next turn
	lastUsed     time.Duration // when the last one was taken; zero: never
	pause        time.Duration // between two of them
	window       time.Duration // how long a turn may be taken
}

// share makes the turns those of a place among the instances. When it changes
// the turns begin anew, spread by place, and one that was taken lately counts.
func (x *turns) share(place, of int, now time.Duration) {
	if x.rate == 0 || x.index == place && x.count == of {
		return
	}
	x.index, x.count = place, of
	if of == 0 {
		return
	}
	seconds := float64(of) / (x.rate * x.policy.WarmingRateShare)
	x.pause = time.Duration(seconds * float64(time.Second))
	x.window = x.pause
	if float64(of) > x.rate*x.policy.FewInstancesRatio {
		x.window = min(x.policy.TurnWindow, x.pause)
	}
	x.next = now + time.Duration(float64(place)/float64(of)*float64(x.pause))
	if x.lastUsed != 0 {
		x.next = max(x.next, x.lastUsed+x.pause)
	}
}

// skip moves on to the turn that is, or comes, at a moment.
func (x *turns) advance(now time.Duration) {
	for x.pause > 0 && now >= x.next+x.window {
		x.next += x.pause
	}
}

// open reports whether a request may be sent by an instance of a place among so
// many; zero: they are not known yet, and then none may.
func (x *turns) allowed(place, of int, now time.Duration) bool {
	if x.rate == 0 {
		return true
	}
	x.share(place, of, now)
	if of == 0 {
		return false
	}
	x.advance(now)
	return now >= x.next
}

// use takes the turn.
func (x *turns) take(now time.Duration) {
	if x.rate == 0 {
		return
	}
	x.lastUsed = now
	x.next = max(x.next+x.pause, now+x.pause/2)
}
