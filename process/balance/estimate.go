// SPDX-License-Identifier: MIT

package balance

import "time"

func (u *backend) recordReport(r Report, now time.Duration) {
	u.reported = float64(r.Running + r.Waiting)
	u.reportedAt = now
	u.ownAtReport = u.ownLoad()
	u.slowdown.record(r, now)
}

// ownLoad is the number of this instance's requests that are running or queued at the backend
// server. Responses that are still being transferred do not count: they occupy no slot, and slow
// readers would otherwise make the server look full.
func (u *backend) ownLoad() int { return u.inFlight - u.sending }

// load estimates the number of requests that are running or queued at the backend server.
func (u *backend) load(now time.Duration) float64 {
	ownLoad := float64(u.ownLoad())
	age := now - u.reportedAt
	if u.reportedAt == 0 || age > 4*u.policy.ReportHalfLife {
		return ownLoad
	}
	decay := float64(u.policy.ReportHalfLife) / float64(u.policy.ReportHalfLife+age)
	estimate := u.reported*decay + float64(u.ownLoad()-u.ownAtReport)
	return max(ownLoad, estimate)
}

// expectedWait estimates how long a new request would wait for a slot.
func (u *backend) expectedWait(now time.Duration, slots int) time.Duration {
	queued := u.load(now) + 1 - float64(slots)
	if queued <= 0 {
		return 0
	}
	return time.Duration(queued / float64(slots) * float64(u.currentWork(now)))
}

// currentWork is the typical processing time, adjusted to the present slowdown of the host.
func (u *backend) currentWork(now time.Duration) time.Duration {
	return time.Duration(u.slowdown.expected(now, u.policy.SlowdownDecay) * float64(u.typicalWork()))
}

// typicalWork is the typical processing time of a request on an object that was seen, without
// queueing. Before its first response a backend server is assumed to be like the others of its
// service.
func (u *backend) typicalWork() time.Duration {
	if u.work != 0 {
		return u.work
	}
	if u.service.work != 0 {
		return u.service.work
	}
	return u.policy.InitialWork
}

// expectedTime estimates how long a backend server would take to answer a request.
func (t *Table) expectedTime(c candidate, now time.Duration) time.Duration {
	work := t.state(c.index).currentWork(now)
	if c.unseen {
		work += time.Duration(t.Policy.UnseenCost * float64(work))
	}
	return c.wait + work
}

// service is this process's state of all backend servers of a service that run one software
// version. It outlives versions of the configuration.
type service struct {
	work          time.Duration // typical processing time over all backend servers
	nextShareStep time.Duration // when the next step of the shares is due
}

// updateWork includes the typical processing time of one backend server in the moving average.
func (s *service) updateWork(work time.Duration, gain float64) {
	if s.work == 0 {
		s.work = work
	}
	s.work += time.Duration(gain * float64(work-s.work))
}

// updateWork includes the duration of a response in the moving average. It is divided by the
// slowdown that the host had, so that the average is that of a host at its usual speed.
func (u *backend) updateWork(duration time.Duration, slowdown float64) {
	duration = time.Duration(float64(duration) / slowdown)
	gain := u.policy.DecreaseGain
	if duration > u.typicalWork() {
		gain = u.policy.IncreaseGain
	}
	u.work = u.typicalWork() + time.Duration(gain*float64(duration-u.typicalWork()))
	u.service.updateWork(u.work, u.policy.ServiceGain)
}
