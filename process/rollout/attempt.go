// SPDX-License-Identifier: MIT

package rollout

import "time"

// Attempt is one attempt at a request of a service whose roll-out runs. Nil: there is
// none.
type Attempt struct {
	r      *Rollouts
	s      *service
	trial  *trial
	route  *routeTrial
	order  int64
	target string // the version that it goes to; "": it goes to the version before
	ended  bool
}

// Outcome is what came of an attempt.
type Outcome struct {
	// Failed: the answer was a failure of the backend server, or none came.
	Failed bool
	// Inconclusive: nothing was sent, or the caller gave up, so that it tells nothing of
	// the backend server.
	Inconclusive bool
	// Took is the time from sending to the answer.
	Took time.Duration
	// Unseen: the backend server had not worked on the object lately; Cold: it counts
	// as cold.
	Unseen, Cold bool
}

// Begin begins an attempt. First is false for a further attempt at the same request:
// it goes to the target only while nothing may go to the version before any more.
// Home returns the hash of the backend server that the request's object has as its
// home among the target's; ok is false if none takes work. It is called only if the
// answer matters, and may call the roll-outs.
func (r *Rollouts) Begin(service, route string, first bool, home func() (hash uint64, ok bool)) *Attempt {
	if !r.running.Load() {
		return nil
	}
	a, way := r.begin(service, route, first)
	if way != ifOpen {
		return a
	}
	hash, ok := home()
	r.mu.Lock()
	defer r.unlock()
	r.send(a, r.wayIfOpen(a, hash, ok))
	return a
}

// begin begins an attempt as far as that goes without the home of its object.
func (r *Rollouts) begin(service, route string, first bool) (*Attempt, way) {
	r.mu.Lock()
	defer r.unlock()
	s := r.services[service]
	if s == nil || !s.runs() {
		return nil, toBefore
	}
	now := r.Now()
	a := &Attempt{r: r, s: s, trial: s.trial, route: s.trial.route(route), order: s.Order.ID}
	s.reports.cameAt = now
	s.reports.came = true
	s.gate.came(r.Bounds.Share, r.saveFor(s), now)
	way := r.way(a, first, now)
	if way != ifOpen {
		r.send(a, way)
	}
	return a, way
}

// send notes where an attempt goes. The caller holds the lock.
func (r *Rollouts) send(a *Attempt, to way) {
	if to == toTarget {
		a.target = a.s.Order.Target
		a.s.gate.take(r.Bounds.Share, r.Now())
		return
	}
	a.s.toBefore++
}

// way decides on an attempt. The caller holds the lock.
func (r *Rollouts) way(a *Attempt, first bool, now time.Duration) way {
	g := &a.s.gate
	chance := g.chance(a.route.hash, a.trial.part(a.route))
	return g.way(r.Bounds.Share, first, chance > 0 && r.random() < chance, now)
}

// wayIfOpen decides on an attempt whose object has a home. The roll-out may have moved
// while that was looked up. The caller holds the lock.
func (r *Rollouts) wayIfOpen(a *Attempt, home uint64, ok bool) way {
	s, now := a.s, r.Now()
	if !ok || s.Order == nil || s.Order.ID != a.order || !s.runs() {
		return toBefore
	}
	way := s.gate.way(r.Bounds.Share, true, false, now)
	if way == ifOpen && s.turns.open(home, s.gate.turn(now), canaryPart*r.Bounds.Share) {
		return toTarget
	}
	if way == ifOpen {
		return toBefore
	}
	return way
}

// saveFor is over how long the share is saved: at least until a backend server is open
// again.
func (r *Rollouts) saveFor(s *service) time.Duration {
	return max(saveTime, time.Duration(s.turns.every(canaryPart*r.Bounds.Share))*turnTime)
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
	a.r.mu.Lock()
	defer a.r.unlock()
	s := a.s
	if !over && s.gate.closed(a.r.Now()) {
		return false
	}
	a.target = ""
	s.toBefore++
	if s.Order != nil && s.Order.ID == a.order {
		s.gate.giveBack()
	}
	return true
}

// Done tells what came of the attempt. It is called once.
func (a *Attempt) Done(o Outcome) {
	if a == nil {
		return
	}
	r, s := a.r, a.s
	r.mu.Lock()
	defer r.unlock()
	if a.ended {
		return
	}
	a.ended = true
	if a.target == "" {
		s.toBefore--
	}
	if o.Inconclusive {
		a.inconclusive()
		return
	}
	now := r.Now()
	c := a.count(o)
	if a.trial != s.trial || !s.runs() {
		return // of a roll-out that has ended
	}
	if a.target == "" {
		s.trial.local.base(a.route.hash, c, now)
		return
	}
	s.trial.local.target(a.route.hash, c, now, now)
	if c.bad() > 0 {
		s.reports.hasty = true
	}
	if s.trial.local.cause != "" && !s.gate.halted {
		s.gate.halted = true // what was promised holds until then
		r.note(s, "instance-stopped", s.trial.local.cause, &s.trial.local, 0)
	}
}

// inconclusive takes an attempt at the version before out of the count of all. Some of
// them were sent, so the share is kept a little more strictly than it has to be.
func (a *Attempt) inconclusive() {
	s := a.s
	if a.target == "" && s.Order != nil && s.Order.ID == a.order {
		s.gate.all--
	}
}

// count classes the outcome and counts it.
func (a *Attempt) count(o Outcome) Counts {
	c := Counts{Requests: 1}
	if o.Failed {
		c.Failed = 1
	} else {
		doubts := &a.trial.doubtsOfBase
		if a.target != "" {
			doubts = &a.trial.doubtsOfTarget
		}
		timed, slow := doubts.note(a.route.usual.class(o, a.lateness()))
		c.Timed, c.Slow = oneIf(timed), oneIf(slow)
	}
	if a.target != "" {
		a.route.target.add(c)
		return c
	}
	a.route.base.add(c)
	if !o.Failed && !o.Cold && !o.Unseen {
		a.route.usual.add(o.Took)
	}
	return c
}

// lateness is by how much this instance's machine may have delayed an answer, as far as that
// matters: most of the time the baseline has answers of the same moment, some of which it delayed
// as much, and the verdict compares. Where many are, or there are none since the target has been
// promoted, that is too rough.
func (a *Attempt) lateness() time.Duration {
	if a.s.gate.phase != Promote && a.trial.doubtsOfBase.part < doubtSpell {
		return 0
	}
	return a.r.late()
}

func oneIf(set bool) int64 {
	if set {
		return 1
	}
	return 0
}
