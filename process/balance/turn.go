// SPDX-License-Identifier: MIT

package balance

import "time"

// turns schedules the times at which an instance may send a request to a cold backend server. The
// turns of all instances are spread evenly, because all learn at the same moment that a backend
// server is cold. Unused turns are not saved up.
type turns struct {
	policy       *Policy
	rate         float64       // of the backend server, over all instances; zero: unlimited
	index, count int           // the instance's MemberIndex that the turns were computed for
	next         time.Duration // start of the present or next turn
	lastUsed     time.Duration // when a turn was last taken; zero: never
	pause        time.Duration // between two turns
	window       time.Duration // how long a turn may be taken
}

// recompute recomputes the turns for an index among the instances. If it changes, the turns start
// again, offset by index, and a turn that was taken lately counts.
func (x *turns) recompute(index, count int, now time.Duration) {
	if x.rate == 0 || x.index == index && x.count == count {
		return
	}
	x.index, x.count = index, count
	if count == 0 {
		return
	}
	seconds := float64(count) / (x.rate * x.policy.WarmingRateShare)
	x.pause = time.Duration(seconds * float64(time.Second))
	x.window = x.pause
	if float64(count) > x.rate*x.policy.FewInstancesRatio {
		x.window = min(x.policy.TurnWindow, x.pause)
	}
	x.next = now + time.Duration(float64(index)/float64(count)*float64(x.pause))
	if x.lastUsed != 0 {
		x.next = max(x.next, x.lastUsed+x.pause)
	}
}

// advance moves on to the turn that is open at a time, or the next one.
func (x *turns) advance(now time.Duration) {
	for x.pause > 0 && now >= x.next+x.window {
		x.next += x.pause
	}
}

// allowed reports whether a request may be sent by the instance of an index. If count is zero the
// instances are not known yet, and none may.
func (x *turns) allowed(index, count int, now time.Duration) bool {
	if x.rate == 0 {
		return true
	}
	x.recompute(index, count, now)
	if count == 0 {
		return false
	}
	x.advance(now)
	return now >= x.next
}

// take uses up the present turn.
func (x *turns) take(now time.Duration) {
	if x.rate == 0 {
		return
	}
	x.lastUsed = now
	x.next = max(x.next+x.pause, now+x.pause/2)
}
