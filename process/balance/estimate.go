// SPDX-License-Identifier: MIT

package balance

import "time"

func (u *backend) recordReport(r Report, now time.Duration) {
	u.reported = float64(r.Running + r.Waiting)
	u.reportedAt = now
	u.ownAtReport = u.ownLoad()
	u.slowdown.record(r, now)
}

// working is the number of own requests that run or wait at the backend server. Answers that are
// still being sent do not count: their work is done, and callers that read slowly would seem to
// fill it.
func (u *backend) ownLoad() int { return u.inFlight - u.sending }

// load estimates the requests that run or wait at the backend server.
func (u *backend) load(now time.Duration) float64 {
	own := float64(u.ownLoad())
	age := now - u.reportedAt
	if u.reportedAt == 0 || age > 4*u.policy.ReportHalfLife {
		return own
	}
	decay := float64(u.policy.ReportHalfLife) / float64(u.policy.ReportHalfLife+age)
	estimate := u.reported*decay + float64(u.ownLoad()-u.ownAtReport)
	return max(own, estimate)
}

// wait estimates how long a new request would wait for a slot.
func (u *backend) expectedWait(now time.Duration, slots int) time.Duration {
	ahead := u.load(now) + 1 - float64(slots)
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead / float64(slots) * float64(u.currentWork(now)))
}

// workNow is the usual time of work as its host's pace makes it now.
func (u *backend) currentWork(now time.Duration) time.Duration {
	return time.Duration(u.slowdown.expected(now, u.policy.SlowdownDecay) * float64(u.typicalWork()))
}

// usualWork is the usual time of an answer on an object that was seen, without
// waiting. Before its first answer a backend server is taken to be like the others
// of its service.
func (u *backend) typicalWork() time.Duration {
	if u.work != 0 {
		return u.work
	}
	if u.service.work != 0 {
		return u.service.work
	}
	return u.policy.InitialWork
}

// needs estimates how long a backend server would take to answer a request.
func (t *Table) expectedTime(c candidate, now time.Duration) time.Duration {
	work := t.state(c.index).currentWork(now)
	if c.unseen {
		work += time.Duration(t.Policy.UnseenCost * float64(work))
	}
	return c.wait + work
}

// service is what one process knows of all backend servers of a service that run one
// version of its software, over all versions of the configuration.
type service struct {
	work          time.Duration // usual time of an answer, over all backend servers
	nextShareStep time.Duration // when shares are due to move next
}

// learn takes up the usual time of an answer of one backend server.
func (s *service) updateWork(work time.Duration, gain float64) {
	if s.work == 0 {
		s.work = work
	}
	s.work += time.Duration(gain * float64(work-s.work))
}

// learn notes how long an answer took, at the pace that its host had then: the usual time of
// work is that of a host at its usual pace.
func (u *backend) updateWork(took time.Duration, pace float64) {
	took = time.Duration(float64(took) / pace)
	gain := u.policy.DecreaseGain
	if took > u.typicalWork() {
		gain = u.policy.IncreaseGain
	}
	u.work = u.typicalWork() + time.Duration(gain*float64(took-u.typicalWork()))
	u.service.updateWork(u.work, u.policy.ServiceGain)
}
