// SPDX-License-Identifier: MIT

package rollout

import "time"

// Attempt is one attempt at a request of a service whose roll-out runs. Nil: there is
// none.
type Attempt struct {
	controller *Controller
	service    *service
	stats      *localStats
	route      *routeStats
	orderID    int64
	target     string // the version that it goes to; "": it goes to the version before
	ended      bool
}

// Outcome is what came of an attempt.
type Outcome struct {
	// Failed: the answer was a failure of the backend server, or none came.
	Failed bool
	// Inconclusive: nothing was sent, or the caller gave up, so that it tells nothing of
	// the backend server.
	Inconclusive bool
	// Took is the time from sending to the answer.
	Latency time.Duration
	// Unseen: the backend server had not worked on the object lately; Cold: it counts
	// as cold.
	Unseen, Cold bool
}

// Begin begins an attempt. First is false for a further attempt at the same request:
// it goes to the target only while nothing may go to the version before any more.
// Home returns the hash of the backend server that the request's object has as its
// home among the target's; ok is false if none takes work. It is called only if the
// answer matters, and may call the roll-outs.
func (r *Controller) Begin(service, route string, first bool, home func() (hash uint64, ok bool)) *Attempt {
	if !r.active.Load() {
		return nil
	}
	a, way := r.begin(service, route, first)
	if way != ifActive {
		return a
	}
	hash, ok := home()
	r.mu.Lock()
	defer r.unlock()
	r.assign(a, r.destinationByHome(a, hash, ok))
	return a
}

// begin begins an attempt as far as that goes without the home of its object.
func (r *Controller) begin(service, route string, first bool) (*Attempt, destination) {
	r.mu.Lock()
	defer r.unlock()
	s := r.services[service]
	if s == nil || !s.inProgress() {
		return nil, toPrevious
	}
	now := r.Now()
	a := &Attempt{controller: r, service: s, stats: s.stats, route: s.stats.route(route), orderID: s.Order.ID}
	s.reporting.lastRequestAt = now
	s.reporting.hadRequest = true
	s.gate.addAttempt(r.Bounds.Share, r.creditPeriod(s), now)
	way := r.destination(a, first, now)
	if way != ifActive {
		r.assign(a, way)
	}
	return a, way
}

// send notes where an attempt goes. The caller holds the lock.
func (r *Controller) assign(a *Attempt, to destination) {
	if to == toTarget {
		a.target = a.service.Order.Target
		a.service.gate.addTargetAttempt(r.Bounds.Share, r.Now())
		return
	}
	a.service.inFlightToPrevious++
}

// way decides on an attempt. The caller holds the lock.
func (r *Controller) destination(a *Attempt, first bool, now time.Duration) destination {
	g := &a.service.gate
	chance := g.evidenceProbability(a.route.hash, a.stats.trafficFraction(a.route))
	return g.decide(r.Bounds.Share, first, chance > 0 && r.random() < chance, now)
}

// wayIfOpen decides on an attempt whose object has a home. The roll-out may have moved
// while that was looked up. The caller holds the lock.
func (r *Controller) destinationByHome(a *Attempt, home uint64, ok bool) destination {
	s, now := a.service, r.Now()
	if !ok || s.Order == nil || s.Order.ID != a.orderID || !s.inProgress() {
		return toPrevious
	}
	way := s.gate.decide(r.Bounds.Share, true, false, now)
	if way == ifActive && s.rotation.isActive(home, s.gate.round(now), canaryFraction*r.Bounds.Share) {
		return toTarget
	}
	if way == ifActive {
		return toPrevious
	}
	return way
}

// saveFor is over how long the share is saved: at least until a backend server is open
// again.
func (r *Controller) creditPeriod(s *service) time.Duration {
	return max(creditTime, time.Duration(s.rotation.roundInterval(canaryFraction*r.Bounds.Share))*roundTime)
}

// Target returns the version that the attempt goes to if it goes to the target, else "".
func (a *Attempt) Target() string {
	if a == nil {
		return ""
	}
	return a.target
}

// Decline sends the attempt to the version in force after all, since the target can't
// take it. It reports whether it may go there: not while the instance has said that
// nothing goes there any more. Over says that the tables have no roll-out of the service
// any more: what was said while it ran does not bind then, and the roll-outs are told of
// its end in the next moment.
func (a *Attempt) Decline(over bool) bool {
	if a.Target() == "" {
		return true
	}
	a.controller.mu.Lock()
	defer a.controller.unlock()
	s := a.service
	if !over && s.gate.closed(a.controller.Now()) {
		return false
	}
	a.target = ""
	s.inFlightToPrevious++
	if s.Order != nil && s.Order.ID == a.orderID {
		s.gate.undoTargetAttempt()
	}
	return true
}

// Done tells what came of the attempt. It is called once.
func (a *Attempt) Done(o Outcome) {
	if a == nil {
		return
	}
	r, s := a.controller, a.service
	r.mu.Lock()
	defer r.unlock()
	if a.ended {
		return
	}
	a.ended = true
	if a.target == "" {
		s.inFlightToPrevious--
	}
	if o.Inconclusive {
		a.uncount()
		return
	}
	now := r.Now()
	c := a.count(o)
	if a.stats != s.stats || !s.inProgress() {
		return // of a roll-out that has ended
	}
	if a.target == "" {
		s.stats.analysis.addBase(a.route.hash, c, now)
		return
	}
	s.stats.analysis.addTarget(a.route.hash, c, now, now)
	if c.bad() > 0 {
		s.reporting.urgent = true
	}
	if s.stats.analysis.cause != "" && !s.gate.halted {
		s.gate.halted = true // what was promised holds until then
		r.logEvent(s, "instance-stopped", s.stats.analysis.cause, &s.stats.analysis, 0)
	}
}

// inconclusive takes an attempt at the version before out of the count of all. Some of
// them were sent, so the share is kept a little more strictly than it has to be.
func (a *Attempt) uncount() {
	s := a.service
	if a.target == "" && s.Order != nil && s.Order.ID == a.orderID {
		s.gate.attempts--
	}
}

// count classes the outcome and counts it.
func (a *Attempt) count(o Outcome) Counts {
	c := Counts{Requests: 1}
	if o.Failed {
		c.Failed = 1
	} else {
		doubts := &a.stats.baseAmbiguous
		if a.target != "" {
			doubts = &a.stats.targetAmbiguous
		}
		timed, slow := doubts.resolve(a.route.typical.classify(o, a.schedulingDelay()))
		c.Timed, c.Slow = oneIf(timed), oneIf(slow)
	}
	if a.target != "" {
		a.route.target.add(c)
		return c
	}
	a.route.base.add(c)
	if !o.Failed && !o.Cold && !o.Unseen {
		a.route.typical.add(o.Latency)
	}
	return c
}

// lateness is by how much this instance's machine may have delayed an answer, as far as that
// matters: most of the time the baseline has answers of the same moment, some of which it delayed
// as much, and the verdict compares. Where many are, or there are none since the target has been
// promoted, that is too rough.
func (a *Attempt) schedulingDelay() time.Duration {
	if a.service.gate.phase != Promote && a.stats.baseAmbiguous.slowFraction < stallFraction {
		return 0
	}
	return a.controller.schedulingDelay()
}

func oneIf(set bool) int64 {
	if set {
		return 1
	}
	return 0
}
