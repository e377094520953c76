// SPDX-License-Identifier: MIT

package rollout

import (
	"math"
	"time"
)

// reports is what an instance remembers of its reports on one service.
type reportState struct {
	seq    byte
	sentAt [16]time.Duration // by the lowest bits of seq
	// echo is the stamp of the last answer of the owner with this name.
	echoClock     uint32
	echoOwner     string
	lastAt        time.Duration // of the last report
	unanswered    int
	urgent        bool          // something bad has come since the last one
	stepDueSoon   bool          // the phase is about to change
	hadRequest    bool          // a request has come since the order
	lastRequestAt time.Duration // of the last request
	expiryLogged  bool          // it was logged that the lease has lapsed
	// newOwner is since when the owner is another one than before, until it gives a lease. Zero:
	// it has.
	newOwnerSince time.Duration
}

// next returns the number of a report that is made now. Zero is none.
func (p *reportState) next(now time.Duration) byte {
	p.seq++
	if p.seq == 0 {
		p.seq = 1
	}
	p.sentAt[int(p.seq)%len(p.sentAt)] = now
	p.lastAt = now
	p.urgent = false
	return p.seq
}

// sent returns when a report was sent, if that is not long ago.
func (p *reportState) sentTime(seq byte) (at time.Duration, ok bool) {
	if seq == 0 || p.seq-seq >= byte(len(p.sentAt)) {
		return 0, false
	}
	return p.sentAt[int(seq)%len(p.sentAt)], true
}

// due reports whether it is time for a report.
func (p *reportState) due(phase Phase, now time.Duration) bool {
	pause := reportInterval
	switch {
	case phase == Promote || phase == Completed:
		return now-p.lastAt >= urgentReportInterval-tickJitter
	case p.newOwnerSince > 0 && now-p.newOwnerSince < TakeoverWait:
		pause = p.newOwnerInterval()
	case !p.hadRequest || now-p.lastRequestAt > idleTime:
		return p.urgent
	case p.urgent || p.stepDueSoon:
		pause = urgentReportInterval
	}
	return now-p.lastAt >= pause-tickJitter
}

// pauseToNewOwner is the pause until the next report to an owner that has given no lease yet: none
// before the first one, then longer and longer ones, since all instances report to it at once.
func (p *reportState) newOwnerInterval() time.Duration {
	if p.lastAt < p.newOwnerSince {
		return 0
	}
	return 2 * max(urgentReportInterval, p.lastAt-p.newOwnerSince)
}

// localAlarm is the sum at which one of n instances stops by itself: each may err, so
// it takes more than at the owner.
func localAlarmThreshold(n int) float64 { return alarmThreshold + math.Log(float64(max(1, n))) }

// message is a message and where it goes.
type message struct {
	address string
	payload []byte
}

// Tick sends what is due.
func (r *Controller) Tick() {
	if !r.active.Load() {
		r.refreshLive()
		return
	}
	live := r.Live()
	seen := r.collectServiceInfo()
	r.mu.Lock()
	now := r.Now()
	r.setLive(live, now)
	var out []message
	var strangers []string
	for name, x := range seen {
		if s := r.services[name]; s != nil {
			s.setOwner(x.owner, now)
			out = append(out, r.tick(s, x.inFlight, now)...)
			strangers = append(strangers, r.announceTargets(s, now)...)
		}
	}
	r.unlock()
	r.announce(strangers)
	for _, m := range out {
		r.Send(m.address, m.payload)
	}
}

// lookPause is the pause between two looks at which instances live while no roll-out
// runs.
const liveRefreshInterval = time.Second

// lookAround notes now and then how many instances live.
func (r *Controller) refreshLive() {
	r.mu.Lock()
	due := r.Now()-r.liveAt >= liveRefreshInterval
	r.mu.Unlock()
	if !due {
		return
	}
	live := r.Live()
	r.mu.Lock()
	r.setLive(live, r.Now())
	r.mu.Unlock()
}

// outsideOf is what other parts of the process say of a service.
type serviceInfo struct {
	owner    Owner
	inFlight int
}

// outside asks the other parts of the process. The lock is free meanwhile: they may
// call the roll-outs under locks of their own.
func (r *Controller) collectServiceInfo() map[string]serviceInfo {
	r.mu.Lock()
	out := make(map[string]serviceInfo, len(r.services))
	for name := range r.services {
		out[name] = serviceInfo{}
	}
	r.mu.Unlock()
	for name := range out {
		out[name] = serviceInfo{r.Owner(name), r.InFlight(name)}
	}
	return out
}

// tick does what is due for one service. The caller holds the lock.
func (r *Controller) tick(s *service, inFlight int, now time.Duration) (out []message) {
	if !s.inProgress() {
		return nil
	}
	r.logLeaseExpiry(s, now)
	if s.owner.here() {
		return r.tickOwner(s, inFlight, now)
	}
	if s.owner.Name == "" || !s.reporting.due(s.gate.phase, now) {
		return nil
	}
	x := r.report(s, inFlight, now)
	s.reporting.unanswered++
	return []message{{s.owner.Address, x.encode()}}
}

// tickOwner reports to this instance itself.
func (r *Controller) tickOwner(s *service, inFlight int, now time.Duration) []message {
	x := r.report(s, inFlight, now)
	s.ownerState.addReport("", x, now, now)
	halted := r.evaluate(s, now)
	r.applyReply(s, r.newReply(s, x.seq, now), now)
	if halted {
		return r.broadcast(s, now)
	}
	return r.notifyNonReporting(s, now)
}

// report makes a report on a service. The caller holds the lock.
func (r *Controller) report(s *service, inFlight int, now time.Duration) *report {
	x := &report{
		service: s.hash, order: s.Order.ID, incarnation: r.Incarnation, seq: s.reporting.next(now),
		phase: s.gate.phase, halted: s.gate.halted, inFlight: uint64(max(0, inFlight, s.inFlightToPrevious)),
	}
	x.drained = x.inFlight == 0 && s.gate.promiseDrain(r.Bounds.Share, now)
	if s.reporting.echoOwner == s.owner.Name {
		x.echoClock, x.hasEcho = s.reporting.echoClock, true
	}
	for _, route := range s.stats.routes {
		x.add(route)
	}
	if s.stats.otherRoutes != nil {
		x.add(s.stats.otherRoutes)
	}
	return x
}

func (x *report) add(t *routeStats) {
	if t.versionCounts != (versionCounts{}) {
		x.routes = append(x.routes, routeCounts{t.hash, t.versionCounts})
	}
}

// noteLapse logs once that the lease has lapsed though the owner was asked.
func (r *Controller) logLeaseExpiry(s *service, now time.Duration) {
	g := &s.gate
	if g.leaseUntil == 0 || now < g.leaseUntil || g.halted {
		s.reporting.expiryLogged = false
		return
	}
	if s.reporting.expiryLogged || s.reporting.unanswered < 2 {
		return
	}
	s.reporting.expiryLogged = true
	r.logEvent(s, "lease-lapsed", "owner "+s.owner.Name+" does not answer", &s.stats.analysis, now-g.ownerClockAt)
}

// Hear takes up a message. It reports whether the message was one of roll-outs.
func (r *Controller) Receive(from string, text []byte) bool {
	if len(text) == 0 {
		return false
	}
	switch text[0] {
	case kindReport:
		x, err := decodeReport(text)
		if err != nil {
			r.recordSkipped(from, err.Error())
			return true
		}
		r.receiveReport(from, x)
		return true
	case kindReply:
		x, err := decodeReply(text)
		if err != nil {
			r.recordSkipped(from, err.Error())
			return true
		}
		r.receiveReply(from, x)
		return true
	}
	return false
}

// mostSkipped bounds the senders whose messages were skipped that are remembered.
const maxSkippedSenders = 64

// skip notes, once for each sender, that a message could not be taken up: one of another
// release, or of too many processes.
func (r *Controller) recordSkipped(from, why string) {
	r.mu.Lock()
	defer r.unlock()
	r.recordSkippedLocked(from, why)
}

// noteSkipped does so for a caller that holds the lock.
func (r *Controller) recordSkippedLocked(from, why string) {
	if r.skipped[from] || len(r.skipped) >= maxSkippedSenders {
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
func (r *Controller) receiveReport(from string, x *report) {
	r.mu.Lock()
	now := r.Now()
	s := r.byHash[x.service]
	if s == nil || s.stats == nil || s.Order.ID != x.order || !s.owner.here() {
		disagree := s != nil && s.inProgress() && !s.owner.here()
		r.mu.Unlock()
		if disagree {
			r.announce([]string{from})
		}
		return
	}
	var out []message
	if s.inProgress() {
		if !s.ownerState.addReport(from, x, r.madeAfter(x, now), now) {
			r.recordSkippedLocked(from, "too many processes have reported")
		}
	}
	if s.inProgress() && r.evaluate(s, now) {
		out = r.broadcast(s, now)
	}
	out = append(out, message{from, r.newReply(s, x.seq, now).encode()})
	r.unlock()
	for _, m := range out {
		r.Send(m.address, m.payload)
	}
}

// hearAnswer takes up an answer of the owner. That of any other instance may only stop
// the target.
func (r *Controller) receiveReply(from string, x *reply) {
	r.mu.Lock()
	defer r.unlock()
	s := r.byHash[x.service]
	if s == nil || !s.inProgress() || s.Order.ID != x.order {
		return
	}
	if from == s.owner.Address {
		r.applyReply(s, x, r.Now())
	}
	if x.halted || x.phase == Reverted {
		r.haltTarget(s, from)
	}
}

// hearStop stops the target on the word of an instance that is, or was, the owner. The
// caller holds the lock.
func (r *Controller) haltTarget(s *service, from string) {
	was := s.gate.halted
	s.gate.halt()
	if was {
		return
	}
	s.ownerState.halt("another owner has stopped it")
	r.logEvent(s, "target-stopped", "told by "+from, &s.stats.analysis, 0)
}

// hear takes up an answer of the owner, which may be this instance. The caller holds the
// lock.
func (r *Controller) applyReply(s *service, x *reply, now time.Duration) {
	sentAt, known := s.reporting.sentTime(x.seq)
	lease := time.Duration(0)
	if known {
		lease = r.Bounds.lease()
		s.reporting.newOwnerSince = 0
	}
	s.gate.apply(x, lease, sentAt, now)
	s.reporting.echoClock, s.reporting.echoOwner = x.ownerClock, s.owner.Name
	s.reporting.stepDueSoon = x.stepDueSoon
	s.reporting.unanswered = 0
}

// stamp is this instance's clock as it stands in answers. It begins anywhere, so that
// it is not taken for that of another one.
func (r *Controller) clockStamp(now time.Duration) uint32 {
	return uint32(now.Milliseconds()) + uint32(hashOfIncarnation(r.Incarnation))
}

// hashOfIncarnation spreads incarnations that follow each other, by the golden ratio.
func hashOfIncarnation(x int64) uint64 { return uint64(x) * 0x9e3779b97f4a7c15 >> 32 }

// mostEcho is how old an echo may be that is taken for one.
const maxEchoAge = 10 * time.Second

// madeAfter returns a time after which a report was made for certain, by what it
// echoes. It may have lain in a buffer while this instance stood still. Zero: there is
// none.
func (r *Controller) madeAfter(x *report, now time.Duration) time.Duration {
	age := time.Duration(r.clockStamp(now)-x.echoClock) * time.Millisecond
	if !x.hasEcho || age > maxEchoAge {
		return 0
	}
	return now - age
}
