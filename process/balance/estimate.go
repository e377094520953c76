// SPDX-License-Identifier: MIT

package balance

import "time"

func (u *backend) report(r Report, now time.Duration) {
	u.reported = float64(r.Running + r.Waiting)
	u.reportedAt = now
	u.ownAtReport = u.working()
	u.pace.note(r, now)
}

// working is the number of own requests that run or wait at the backend server. Answers that are
// still being sent do not count: their work is done, and callers that read slowly would seem to
// fill it.
func (u *backend) working() int { return u.inFlight - u.sending }

// load estimates the requests that run or wait at the backend server.
func (u *backend) load(now time.Duration) float64 {
	own := float64(u.working())
	age := now - u.reportedAt
	if u.reportedAt == 0 || age > 4*u.policy.ReportLife {
		return own
	}
	decay := float64(u.policy.ReportLife) / float64(u.policy.ReportLife+age)
	estimate := u.reported*decay + float64(u.working()-u.ownAtReport)
	return max(own, estimate)
}

// wait estimates how long a new request would wait for a slot.
func (u *backend) wait(now time.Duration, slots int) time.Duration {
	ahead := u.load(now) + 1 - float64(slots)
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead / float64(slots) * float64(u.workNow(now)))
}

// workNow is the usual time of work as its host's pace makes it now.
func (u *backend) workNow(now time.Duration) time.Duration {
	return time.Duration(u.pace.expected(now, u.policy.PaceLife) * float64(u.usualWork()))
}

// usualWork is the usual time of an answer on an object that was seen, without
// waiting. Before its first answer a backend server is taken to be like the others
// of its service.
func (u *backend) usualWork() time.Duration {
	if u.work != 0 {
		return u.work
	}
	if u.service.work != 0 {
		return u.service.work
	}
	return u.policy.FirstWork
}

// needs estimates how long a backend server would take to answer a request.
func (t *Table) needs(c candidate, now time.Duration) time.Duration {
	work := t.state(c.index).workNow(now)
	if c.unseen {
		work += time.Duration(t.Policy.UnseenCost * float64(work))
	}
	return c.wait + work
}

// service is what one process knows of all backend servers of a service that run one
// version of its software, over all versions of the configuration.
type service struct {
	work    time.Duration // usual time of an answer, over all backend servers
	adaptAt time.Duration // when shares are due to move next
}

// learn takes up the usual time of an answer of one backend server.
func (s *service) learn(work time.Duration, gain float64) {
	if s.work == 0 {
		s.work = work
	}
	s.work += time.Duration(gain * float64(work-s.work))
}

// learn notes how long an answer took, at the pace that its host had then: the usual time of
// work is that of a host at its usual pace.
func (u *backend) learn(took time.Duration, pace float64) {
	took = time.Duration(float64(took) / pace)
	gain := u.policy.QuickGain
	if took > u.usualWork() {
		gain = u.policy.SlowGain
	}
	u.work = u.usualWork() + time.Duration(gain*float64(took-u.usualWork()))
	u.service.learn(u.work, u.policy.ServiceGain)
}
