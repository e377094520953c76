// SPDX-License-Identifier: MIT

package rollout

import (
	"math"
	"time"
)

// reports is what an instance remembers of its reports on one service.
type reports struct {
	seq    byte
	sentAt [16]time.Duration // by the lowest bits of seq
	// echo is the stamp of the last answer of the owner with this name.
	echo       uint32
	echoOf     string
	at         time.Duration // of the last report
	unanswered int
	hasty      bool          // something bad has come since the last one
	soon       bool          // the phase is about to change
	came       bool          // a request has come since the order
	cameAt     time.Duration // of the last request
	lapsed     bool          // it was logged that the lease has lapsed
	// newOwner is since when the owner is another one than before, until it gives a lease. Zero:
	// it has.
	newOwner time.Duration
}

// next returns the number of a report that is made now. Zero is none.
func (p *reports) next(now time.Duration) byte {
	p.seq++
	if p.seq == 0 {
		p.seq = 1
	}
	p.sentAt[int(p.seq)%len(p.sentAt)] = now
	p.at = now
	p.hasty = false
	return p.seq
}

// sent returns when a report was sent, if that is not long ago.
func (p *reports) sent(seq byte) (at time.Duration, ok bool) {
	if seq == 0 || p.seq-seq >= byte(len(p.sentAt)) {
		return 0, false
	}
	return p.sentAt[int(seq)%len(p.sentAt)], true
}

// due reports whether it is time for a report.
func (p *reports) due(phase Phase, now time.Duration) bool {
	pause := reportPause
	switch {
	case phase == Promote || phase == Completed:
		return now-p.at >= hastyPause-tickJitter
	case p.newOwner > 0 && now-p.newOwner < InformTime:
		pause = p.pauseToNewOwner()
	case !p.came || now-p.cameAt > idleAfter:
		return p.hasty
	case p.hasty || p.soon:
		pause = hastyPause
	}
	return now-p.at >= pause-tickJitter
}

// pauseToNewOwner is the pause until the next report to an owner that has given no lease yet: none
// before the first one, then longer and longer ones, since all instances report to it at once.
func (p *reports) pauseToNewOwner() time.Duration {
	if p.at < p.newOwner {
		return 0
	}
	return 2 * max(hastyPause, p.at-p.newOwner)
}

// localAlarm is the sum at which one of n instances stops by itself: each may err, so
// it takes more than at the owner.
func localAlarm(n int) float64 { return alarm + math.Log(float64(max(1, n))) }

// message is a message and where it goes.
type message struct {
	address string
	text    []byte
}

// Tick sends what is due.
func (r *Rollouts) Tick() {
	if !r.running.Load() {
		r.lookAround()
		return
	}
	live := r.Live()
	seen := r.outside()
	r.mu.Lock()
	now := r.Now()
	r.noteLive(live, now)
	var out []message
	var strangers []string
	for name, x := range seen {
		if s := r.services[name]; s != nil {
			s.ownedBy(x.owner, now)
			out = append(out, r.tick(s, x.inFlight, now)...)
			strangers = append(strangers, r.strangers(s, now)...)
		}
	}
	r.unlock()
	r.introduce(strangers)
	for _, m := range out {
		r.Send(m.address, m.text)
	}
}

// lookPause is the pause between two looks at which instances live while no roll-out
// runs.
const lookPause = time.Second

// lookAround notes now and then how many instances live.
func (r *Rollouts) lookAround() {
	r.mu.Lock()
	due := r.Now()-r.liveAt >= lookPause
	r.mu.Unlock()
	if !due {
		return
	}
	live := r.Live()
	r.mu.Lock()
	r.noteLive(live, r.Now())
	r.mu.Unlock()
}

// outsideOf is what other parts of the process say of a service.
type outsideOf struct {
	owner    Owner
	inFlight int
}

// outside asks the other parts of the process. The lock is free meanwhile: they may
// call the roll-outs under locks of their own.
func (r *Rollouts) outside() map[string]outsideOf {
	r.mu.Lock()
	out := make(map[string]outsideOf, len(r.services))
	for name := range r.services {
		out[name] = outsideOf{}
	}
	r.mu.Unlock()
	for name := range out {
		out[name] = outsideOf{r.Owner(name), r.InFlight(name)}
	}
	return out
}

// tick does what is due for one service. The caller holds the lock.
func (r *Rollouts) tick(s *service, inFlight int, now time.Duration) (out []message) {
	if !s.runs() {
		return nil
	}
	r.noteLapse(s, now)
	if s.owner.here() {
		return r.tickOwner(s, inFlight, now)
	}
	if s.owner.Name == "" || !s.reports.due(s.gate.phase, now) {
		return nil
	}
	x := r.report(s, inFlight, now)
	s.reports.unanswered++
	return []message{{s.owner.Address, x.encode()}}
}

// tickOwner reports to this instance itself.
func (r *Rollouts) tickOwner(s *service, inFlight int, now time.Duration) []message {
	x := r.report(s, inFlight, now)
	s.decider.take("", x, now, now)
	halted := r.judge(s, now)
	r.hear(s, r.answer(s, x.seq, now), now)
	if halted {
		return r.tellAll(s, now)
	}
	return r.tellSilent(s, now)
}

// report makes a report on a service. The caller holds the lock.
func (r *Rollouts) report(s *service, inFlight int, now time.Duration) *report {
	x := &report{
		service: s.hash, order: s.Order.ID, incarnation: r.Incarnation, seq: s.reports.next(now),
		phase: s.gate.phase, halted: s.gate.halted, inFlight: uint64(max(0, inFlight, s.toBefore)),
	}
	x.drained = x.inFlight == 0 && s.gate.promise(r.Bounds.Share, now)
	if s.reports.echoOf == s.owner.Name {
		x.echo, x.echoes = s.reports.echo, true
	}
	for _, route := range s.trial.routes {
		x.add(route)
	}
	if s.trial.others != nil {
		x.add(s.trial.others)
	}
	return x
}

func (x *report) add(t *routeTrial) {
	if t.pair != (pair{}) {
		x.routes = append(x.routes, routeCounts{t.hash, t.pair})
	}
}

// noteLapse logs once that the lease has lapsed though the owner was asked.
func (r *Rollouts) noteLapse(s *service, now time.Duration) {
	g := &s.gate
	if g.lease == 0 || now < g.lease || g.halted {
		s.reports.lapsed = false
		return
	}
	if s.reports.lapsed || s.reports.unanswered < 2 {
		return
	}
	s.reports.lapsed = true
	r.note(s, "lease-lapsed", "owner "+s.owner.Name+" does not answer", &s.trial.local, now-g.stampAt)
}

// Hear takes up a message. It reports whether the message was one of roll-outs.
func (r *Rollouts) Hear(from string, text []byte) bool {
	if len(text) == 0 {
		return false
	}
	switch text[0] {
	case kindReport:
		x, err := decodeReport(text)
		if err != nil {
			r.skip(from, err.Error())
			return true
		}
		r.hearReport(from, x)
		return true
	case kindAnswer:
		x, err := decodeAnswer(text)
		if err != nil {
			r.skip(from, err.Error())
			return true
		}
		r.hearAnswer(from, x)
		return true
	}
	return false
}

// mostSkipped bounds the senders whose messages were skipped that are remembered.
const mostSkipped = 64

// skip notes, once for each sender, that a message could not be taken up: one of another
// release, or of too many processes.
func (r *Rollouts) skip(from, why string) {
	r.mu.Lock()
	defer r.unlock()
	r.noteSkipped(from, why)
}

// noteSkipped does so for a caller that holds the lock.
func (r *Rollouts) noteSkipped(from, why string) {
	if r.skipped[from] || len(r.skipped) >= mostSkipped {
		return
	}
	if r.skipped == nil {
		r.skipped = make(map[string]bool)
	}
	r.skipped[from] = true
	r.events = append(r.events, Event{What: "message-skipped", Cause: from + ": " + why})
}

// hearReport takes up a report, and answers it if this instance is the owner. One that
// has not heard of the last step is told after it, too.
func (r *Rollouts) hearReport(from string, x *report) {
	r.mu.Lock()
	now := r.Now()
	s := r.byHash[x.service]
	if s == nil || s.trial == nil || s.Order.ID != x.order || !s.owner.here() {
		disagree := s != nil && s.runs() && !s.owner.here()
		r.mu.Unlock()
		if disagree {
			r.introduce([]string{from})
		}
		return
	}
	var out []message
	if s.runs() {
		if !s.decider.take(from, x, r.madeAfter(x, now), now) {
			r.noteSkipped(from, "too many processes have reported")
		}
	}
	if s.runs() && r.judge(s, now) {
		out = r.tellAll(s, now)
	}
	out = append(out, message{from, r.answer(s, x.seq, now).encode()})
	r.unlock()
	for _, m := range out {
		r.Send(m.address, m.text)
	}
}

// hearAnswer takes up an answer of the owner. That of any other instance may only stop
// the target.
func (r *Rollouts) hearAnswer(from string, x *answer) {
	r.mu.Lock()
	defer r.unlock()
	s := r.byHash[x.service]
	if s == nil || !s.runs() || s.Order.ID != x.order {
		return
	}
	if from == s.owner.Address {
		r.hear(s, x, r.Now())
	}
	if x.halted || x.phase == Reverted {
		r.hearStop(s, from)
	}
}

// hearStop stops the target on the word of an instance that is, or was, the owner. The
// caller holds the lock.
func (r *Rollouts) hearStop(s *service, from string) {
	was := s.gate.halted
	s.gate.halt()
	if was {
		return
	}
	s.decider.halt("another owner has stopped it")
	r.note(s, "target-stopped", "told by "+from, &s.trial.local, 0)
}

// hear takes up an answer of the owner, which may be this instance. The caller holds the
// lock.
func (r *Rollouts) hear(s *service, x *answer, now time.Duration) {
	sentAt, known := s.reports.sent(x.seq)
	lease := time.Duration(0)
	if known {
		lease = r.Bounds.lease()
		s.reports.newOwner = 0
	}
	s.gate.hear(x, lease, sentAt, now)
	s.reports.echo, s.reports.echoOf = x.stamp, s.owner.Name
	s.reports.soon = x.soon
	s.reports.unanswered = 0
}

// stamp is this instance's clock as it stands in answers. It begins anywhere, so that
// it is not taken for that of another one.
func (r *Rollouts) stamp(now time.Duration) uint32 {
	return uint32(now.Milliseconds()) + uint32(hashOfIncarnation(r.Incarnation))
}

// hashOfIncarnation spreads incarnations that follow each other, by the golden ratio.
func hashOfIncarnation(x int64) uint64 { return uint64(x) * 0x9e3779b97f4a7c15 >> 32 }

// mostEcho is how old an echo may be that is taken for one.
const mostEcho = 10 * time.Second

// madeAfter returns a time after which a report was made for certain, by what it
// echoes. It may have lain in a buffer while this instance stood still. Zero: there is
// none.
func (r *Rollouts) madeAfter(x *report, now time.Duration) time.Duration {
	age := time.Duration(r.stamp(now)-x.echo) * time.Millisecond
	if !x.echoes || age > mostEcho {
		return 0
	}
	return now - age
}
