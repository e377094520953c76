// SPDX-License-Identifier: MIT

package rollout

import "time"

// Attempt is one attempt at a request of a service with a running rollout. It is nil if there is no
// rollout.
type Attempt struct {
	controller *Controller
	service    *service
	stats      *localStats
	route      *routeStats
	orderID    int64
	target     string // "": the attempt goes to the previous version
	ended      bool
}

// Outcome is the result of an attempt.
type Outcome struct {
	// Failed is set if the backend server responded with a failure, or not at all.
	Failed bool
	// Inconclusive is set if nothing was sent or the caller gave up, so that the outcome says
	// nothing about the backend server.
	Inconclusive bool
	// Latency is the time from sending the request to the response.
	Latency time.Duration
	// Unseen is set if the backend server had not worked on the object lately, Cold if it counts as
	// cold.
	Unseen, Cold bool
}

// Begin begins an attempt. First is false for a retry of the same request: a retry goes to the
// target only if nothing may go to the previous version any more. Home returns the hash of the
// object's home among the target's backend servers; ok is false if none accepts requests. It is
// called only if the result matters, and may call the Controller.
func (r *Controller) Begin(service, route string, first bool, home func() (hash uint64, ok bool)) *Attempt {
	if !r.active.Load() {
		return nil
	}
	a, dest := r.begin(service, route, first)
	if dest != ifActive {
		return a
	}
	hash, ok := home()
	r.mu.Lock()
	defer r.unlock()
	r.assign(a, r.destinationByHome(a, hash, ok))
	return a
}

// begin begins an attempt as far as that is possible without the home of its object.
func (r *Controller) begin(service, route string, first bool) (*Attempt, destination) {
	r.mu.Lock()
	defer r.unlock()
	s := r.services[service]
	if s == nil || !s.inProgress() {
		return nil, toPrevious
	}
	now := r.Now()
	a := &Attempt{controller: r, service: s, stats: s.stats, route: s.stats.route(route), orderID: s.Order.ID}
	s.reportState.lastRequestAt = now
	s.reportState.hadRequest = true
	s.gate.addAttempt(r.Bounds.Share, r.creditPeriod(s), now)
	dest := r.destination(a, first, now)
	if dest != ifActive {
		r.assign(a, dest)
	}
	return a, dest
}

// assign records where an attempt goes. The caller holds the lock.
func (r *Controller) assign(a *Attempt, dest destination) {
	if dest == toTarget {
		a.target = a.service.Order.Target
		a.service.gate.addTargetAttempt(r.Bounds.Share, r.Now())
		return
	}
	a.service.inFlightToPrevious++
}

// destination decides on an attempt. The caller holds the lock.
func (r *Controller) destination(a *Attempt, first bool, now time.Duration) destination {
	g := &a.service.gate
	probability := g.evidenceProbability(a.route.hash, a.stats.trafficFraction(a.route))
	return g.decide(r.Bounds.Share, first, probability > 0 && r.random() < probability, now)
}

// destinationByHome decides on an attempt by the home of its object. The rollout may have changed
// since begin, as the lock was free meanwhile. The caller holds the lock.
func (r *Controller) destinationByHome(a *Attempt, home uint64, ok bool) destination {
	s, now := a.service, r.Now()
	if !ok || s.Order == nil || s.Order.ID != a.orderID || !s.inProgress() {
		return toPrevious
	}
	dest := s.gate.decide(r.Bounds.Share, true, false, now)
	if dest == ifActive && s.rotation.isActive(home, s.gate.round(now), canaryFraction*r.Bounds.Share) {
		return toTarget
	}
	if dest == ifActive {
		return toPrevious
	}
	return dest
}

// creditPeriod is the time over which unused share accumulates: at least until a backend server is
// active again.
func (r *Controller) creditPeriod(s *service) time.Duration {
	return max(creditTime, time.Duration(s.rotation.roundInterval(canaryFraction*r.Bounds.Share))*roundTime)
}

// Target returns the target version if the attempt goes to the target, else "".
func (a *Attempt) Target() string {
	if a == nil {
		return ""
	}
	return a.target
}

// Decline sends the attempt to the version in force after all, since the target can't take it. It
// returns false if the attempt must not go there because the instance has promised to send nothing
// there. Ended is set if the tables have no rollout of the service any more. The promise is then
// void, and the Controller is about to receive the end of the rollout.
func (a *Attempt) Decline(ended bool) bool {
	if a.Target() == "" {
		return true
	}
	a.controller.mu.Lock()
	defer a.controller.unlock()
	s := a.service
	if !ended && s.gate.closed(a.controller.Now()) {
		return false
	}
	a.target = ""
	s.inFlightToPrevious++
	if s.Order != nil && s.Order.ID == a.orderID {
		s.gate.undoTargetAttempt()
	}
	return true
}

// Done reports the outcome of the attempt. It is called once.
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
		return // it belongs to a rollout that has ended
	}
	if a.target == "" {
		s.stats.analysis.addBase(a.route.hash, c, now)
		return
	}
	s.stats.analysis.addTarget(a.route.hash, c, now, now)
	if c.bad() > 0 {
		s.reportState.urgent = true
	}
	if s.stats.analysis.cause != "" && !s.gate.halted {
		s.gate.halted = true // a drain promise stays valid until it ends
		r.logEvent(s, "instance-stopped", s.stats.analysis.cause, &s.stats.analysis, 0)
	}
}

// uncount removes an inconclusive attempt at the previous version from the count of all attempts.
// Some of these were sent, so the limit on the share is slightly stricter than necessary.
func (a *Attempt) uncount() {
	s := a.service
	if a.target == "" && s.Order != nil && s.Order.ID == a.orderID {
		s.gate.attempts--
	}
}

// count classifies the outcome and counts it.
func (a *Attempt) count(o Outcome) Counts {
	c := Counts{Requests: 1}
	if o.Failed {
		c.Failed = 1
	} else {
		filter := &a.stats.baseAmbiguous
		if a.target != "" {
			filter = &a.stats.targetAmbiguous
		}
		timed, slow := filter.resolve(a.route.typical.classify(o, a.schedulingDelay()))
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

// schedulingDelay returns how much a stall of this instance's own process may have added to a
// response, or zero if that may be ignored. It may be ignored as long as the baseline has responses
// of the same time, some of which were delayed as much: the analysis compares the two. That is too
// rough if many responses are delayed, or if there is no baseline since the target has been
// promoted.
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
