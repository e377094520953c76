// SPDX-License-Identifier: MIT

package rollout

import (
	"math"
	"time"
)

// reportState is the state of an instance's reports on one service.
type reportState struct {
	seq    byte
	sentAt [16]time.Duration // by seq modulo its length
	// echoClock is the owner's clock in the last reply of the owner named echoOwner.
	echoClock     uint32
	echoOwner     string
	lastAt        time.Duration // time of the last report
	unanswered    int
	urgent        bool          // a bad response was received since the last report
	stepDueSoon   bool          // the phase is about to change
	hadRequest    bool          // a request was received since the order
	lastRequestAt time.Duration // time of the last request
	expiryLogged  bool          // the expiry of the lease has been logged
	// newOwnerSince is when the owner changed. It is zero once the new owner has granted a lease.
	newOwnerSince time.Duration
}

// next returns the sequence number of a new report. Zero stands for no report.
func (s *reportState) next(now time.Duration) byte {
	s.seq++
	if s.seq == 0 {
		s.seq = 1
	}
	s.sentAt[int(s.seq)%len(s.sentAt)] = now
	s.lastAt = now
	s.urgent = false
	return s.seq
}

// sentTime returns when a report was sent, if it is one of the last len(sentAt).
func (s *reportState) sentTime(seq byte) (at time.Duration, ok bool) {
	if seq == 0 || s.seq-seq >= byte(len(s.sentAt)) {
		return 0, false
	}
	return s.sentAt[int(seq)%len(s.sentAt)], true
}

// due reports whether it is time for a report.
func (s *reportState) due(phase Phase, now time.Duration) bool {
	interval := reportInterval
	switch {
	case phase == Promote || phase == Completed:
		return now-s.lastAt >= urgentReportInterval-tickJitter
	case s.newOwnerSince > 0 && now-s.newOwnerSince < TakeoverWait:
		interval = s.newOwnerInterval()
	case !s.hadRequest || now-s.lastRequestAt > idleTime:
		return s.urgent
	case s.urgent || s.stepDueSoon:
		interval = urgentReportInterval
	}
	return now-s.lastAt >= interval-tickJitter
}

// newOwnerInterval is the time until the next report to an owner that has granted no lease yet. The
// first report is sent at once. The intervals then grow, since all instances report to the new owner
// at the same time.
func (s *reportState) newOwnerInterval() time.Duration {
	if s.lastAt < s.newOwnerSince {
		return 0
	}
	return 2 * max(urgentReportInterval, s.lastAt-s.newOwnerSince)
}

// localAlarmThreshold is the alarm threshold of one of n instances. It is higher than the owner's,
// since each of the n may raise a false alarm.
func localAlarmThreshold(n int) float64 { return alarmThreshold + math.Log(float64(max(1, n))) }

// message is an encoded message and its destination.
type message struct {
	address string
	payload []byte
}

// Tick sends the messages that are due. It is called every TickInterval.
func (r *Controller) Tick() {
	if !r.active.Load() {
		r.refreshLive()
		return
	}
	live := r.Live()
	infos := r.collectServiceInfo()
	r.mu.Lock()
	now := r.Now()
	r.setLive(live, now)
	var out []message
	var unaware []string
	for name, x := range infos {
		if s := r.services[name]; s != nil {
			s.setOwner(x.owner, now)
			out = append(out, r.tick(s, x.inFlight, now)...)
			unaware = append(unaware, r.announceTargets(s, now)...)
		}
	}
	r.unlock()
	r.announce(unaware)
	for _, m := range out {
		r.Send(m.address, m.payload)
	}
}

// liveRefreshInterval is how often the live instances are counted while no rollout runs.
const liveRefreshInterval = time.Second

// refreshLive updates the live instances every liveRefreshInterval.
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

// serviceInfo is what other parts of the process know about a service.
type serviceInfo struct {
	owner    Owner
	inFlight int
}

// collectServiceInfo queries other parts of the process. It does not hold the lock during that,
// since they may call the Controller while they hold locks of their own.
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

// tick returns the messages that are due for one service. The caller holds the lock.
func (r *Controller) tick(s *service, inFlight int, now time.Duration) (out []message) {
	if !s.inProgress() {
		return nil
	}
	r.logLeaseExpiry(s, now)
	if s.owner.here() {
		return r.tickOwner(s, inFlight, now)
	}
	if s.owner.Name == "" || !s.reportState.due(s.gate.phase, now) {
		return nil
	}
	x := r.report(s, inFlight, now)
	s.reportState.unanswered++
	return []message{{s.owner.Address, x.encode()}}
}

// tickOwner makes the report of this instance to itself as the owner.
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
		service: s.hash, order: s.Order.ID, incarnation: r.Incarnation, seq: s.reportState.next(now),
		phase: s.gate.phase, halted: s.gate.halted, inFlight: uint64(max(0, inFlight, s.inFlightToPrevious)),
	}
	x.drained = x.inFlight == 0 && s.gate.promiseDrain(r.Bounds.Share, now)
	if s.reportState.echoOwner == s.owner.Name {
		x.echoClock, x.hasEcho = s.reportState.echoClock, true
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

// logLeaseExpiry logs once that the lease has expired although reports were sent to the owner.
func (r *Controller) logLeaseExpiry(s *service, now time.Duration) {
	g := &s.gate
	if g.leaseUntil == 0 || now < g.leaseUntil || g.halted {
		s.reportState.expiryLogged = false
		return
	}
	if s.reportState.expiryLogged || s.reportState.unanswered < 2 {
		return
	}
	s.reportState.expiryLogged = true
	r.logEvent(s, "lease-lapsed", "owner "+s.owner.Name+" does not reply", &s.stats.analysis, now-g.ownerClockAt)
}

// Receive processes a message. It returns false if the message is not one of rollouts.
func (r *Controller) Receive(from string, payload []byte) bool {
	if len(payload) == 0 {
		return false
	}
	switch payload[0] {
	case kindReport:
		x, err := decodeReport(payload)
		if err != nil {
			r.recordSkipped(from, err.Error())
			return true
		}
		r.receiveReport(from, x)
		return true
	case kindReply:
		x, err := decodeReply(payload)
		if err != nil {
			r.recordSkipped(from, err.Error())
			return true
		}
		r.receiveReply(from, x)
		return true
	}
	return false
}

// maxSkippedSenders limits how many senders of skipped messages are remembered.
const maxSkippedSenders = 64

// recordSkipped logs, once for each sender, that a message could not be processed: it is malformed,
// as one of another release may be, or too many processes report.
func (r *Controller) recordSkipped(from, reason string) {
	r.mu.Lock()
	defer r.unlock()
	r.recordSkippedLocked(from, reason)
}

// recordSkippedLocked is recordSkipped for a caller that holds the lock.
func (r *Controller) recordSkippedLocked(from, reason string) {
	if r.skipped[from] || len(r.skipped) >= maxSkippedSenders {
		return
	}
	if r.skipped == nil {
		r.skipped = make(map[string]bool)
	}
	r.skipped[from] = true
	r.events = append(r.events, Event{What: "message-skipped", Cause: from + ": " + reason})
}

// receiveReport processes a report and replies to it if this instance is the owner. It replies
// after the last step too, for instances that have not learned of it yet.
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
			r.recordSkippedLocked(from, "too many reporting processes")
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

// receiveReply processes a reply of the owner. A reply of any other instance can only halt the
// target.
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

// haltTarget halts the target because an instance that is or was the owner has halted it. The
// caller holds the lock.
func (r *Controller) haltTarget(s *service, from string) {
	wasHalted := s.gate.halted
	s.gate.halt()
	if wasHalted {
		return
	}
	s.ownerState.halt("another owner has stopped it")
	r.logEvent(s, "target-stopped", "halted by "+from, &s.stats.analysis, 0)
}

// applyReply applies a reply of the owner, which may be this instance. The caller holds the lock.
func (r *Controller) applyReply(s *service, x *reply, now time.Duration) {
	sentAt, known := s.reportState.sentTime(x.seq)
	lease := time.Duration(0)
	if known {
		lease = r.Bounds.lease()
		s.reportState.newOwnerSince = 0
	}
	s.gate.apply(x, lease, sentAt, now)
	s.reportState.echoClock, s.reportState.echoOwner = x.ownerClock, s.owner.Name
	s.reportState.stepDueSoon = x.stepDueSoon
	s.reportState.unanswered = 0
}

// clockStamp returns this instance's clock for use in replies. Its origin differs between
// incarnations, so that it is not mistaken for the clock of another one.
func (r *Controller) clockStamp(now time.Duration) uint32 {
	return uint32(now.Milliseconds()) + uint32(hashOfIncarnation(r.Incarnation))
}

// hashOfIncarnation spreads successive incarnations, by the golden ratio.
func hashOfIncarnation(x int64) uint64 { return uint64(x) * 0x9e3779b97f4a7c15 >> 32 }

// maxEchoAge is the age above which an echoed clock stamp is ignored.
const maxEchoAge = 10 * time.Second

// madeAfter returns a lower bound of when a report was made, from the clock stamp that it echoes.
// The report may have waited in a buffer while this instance was stalled. Zero: there is no bound.
func (r *Controller) madeAfter(x *report, now time.Duration) time.Duration {
	age := time.Duration(r.clockStamp(now)-x.echoClock) * time.Millisecond
	if !x.hasEcho || age > maxEchoAge {
		return 0
	}
	return now - age
}
