// SPDX-License-Identifier: MIT

package balance

import (
	"time"

	"shalewick/version"
)

const (
	// coldShare is the part of a warming rate that all instances together use.
	coldShare = 1.2
	// fewShare is the number of instances, relative to the rate, up to which a
	// turn may be taken late: even if all take one in the same second they
	// stay near the rate.
	fewShare = 1.5
	// turnTime is how long a turn is good for when there are more.
	turnTime = 400 * time.Millisecond
)

// turns are the moments at which an instance may send a request to a cold
// upstream. Those of all instances are spread evenly, since all learn at the
// same moment that an upstream is cold, and none saves turns up.
type turns struct {
	next  time.Duration // the present or next turn
	pause time.Duration // between two of them; zero: no bound
	good  time.Duration // how long a turn may be taken
}

// turnsFrom returns this instance's turns at an upstream of a service that has
// become cold.
func (t *Table) turnsFrom(now time.Duration, s *version.RoutedService) turns {
	if s.Warming.Rate == 0 {
		return turns{}
	}
	place, of := t.Place()
	seconds := float64(of) / (s.Warming.Rate * coldShare)
	x := turns{pause: time.Duration(seconds * float64(time.Second))}
	x.good = x.pause
	if float64(of) > s.Warming.Rate*fewShare {
		x.good = min(turnTime, x.pause)
	}
	x.next = now + time.Duration(float64(place)/float64(of)*float64(x.pause))
	return x
}

// skip moves on to the turn that is, or comes, at a moment.
func (x *turns) skip(now time.Duration) {
	for x.pause > 0 && now >= x.next+x.good {
		x.next += x.pause
	}
}

// open reports whether a request may be sent.
func (x *turns) open(now time.Duration) bool {
	x.skip(now)
	return x.pause == 0 || now >= x.next
}

// use takes the turn.
func (x *turns) use(now time.Duration) {
	if x.pause == 0 {
		return
	}
	x.next = max(x.next+x.pause, now+x.pause/2)
}
