// SPDX-License-Identifier: MIT

package balance

import (
	"time"

	"shalewick/conn"
)

// Times of suspension and of estimates.
const (
	suspendLeast = 400 * time.Millisecond
	suspendMost  = 4 * time.Second
	// reportLife is the time in which a load report loses most of its worth.
	reportLife = 1500 * time.Millisecond
	// quickGain and slowGain are the weights of a new answer in the usual time
	// of work, when it came sooner than usual and when it came later. They
	// differ since an answer's time may contain waiting, or work on an object
	// that the upstream had not seen.
	quickGain = 0.2
	slowGain  = 0.02
	// firstWork is the assumed time of work before any answer.
	firstWork = 200 * time.Millisecond
	// afterDrain is how long an upstream counts as cold after its place is no
	// longer drained, unless it says more itself.
	afterDrain = 1500 * time.Millisecond
	// coldSlack lengthens the time for which an upstream says it is cold.
	coldSlack = 300 * time.Millisecond
)

// upstream is what one process knows of one upstream, over all versions. It is
// guarded by the table's mutex.
type upstream struct {
	pool      *conn.Pool
	address   string
	inFlight  int
	drained   bool
	cold      time.Duration // as declared
	coldUntil time.Duration // when it stops being cold
	turns     turns         // of this instance until then
	// failures counts those in a row. Until suspended it gets nothing, and
	// then one request at a time until one is answered.
	failures  int
	suspended time.Duration
	// reported is the last load report, as of reportedAt, when this
	// instance had ownAtReport requests there.
	reported    float64
	reportedAt  time.Duration
	ownAtReport int
	answeredAt  time.Duration
	work        time.Duration // usual time of an answer, without waiting
}

// load estimates the requests that run or wait at the upstream.
func (u *upstream) load(now time.Duration) float64 {
	own := float64(u.inFlight)
	age := now - u.reportedAt
	if u.reportedAt == 0 || age > 4*reportLife {
		return own
	}
	decay := float64(reportLife) / float64(reportLife+age)
	estimate := u.reported*decay + float64(u.inFlight-u.ownAtReport)
	return max(own, estimate)
}

// wait estimates how long a new request would wait for a slot.
func (u *upstream) wait(now time.Duration, slots int) time.Duration {
	ahead := u.load(now) + 1 - float64(slots)
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead / float64(slots) * float64(u.usualWork()))
}

func (u *upstream) usualWork() time.Duration {
	if u.work == 0 {
		return firstWork
	}
	return u.work
}

// failed notes a failure, and returns for how long the upstream gets nothing.
func (u *upstream) failed(now time.Duration) time.Duration {
	u.failures++
	pause := min(suspendLeast<<min(u.failures-1, 5), suspendMost)
	u.suspended = now + pause
	return pause
}

// usable reports whether a request may be sent.
func (u *upstream) usable(now time.Duration) bool {
	if u.failures == 0 {
		return true
	}
	return now >= u.suspended && u.inFlight == 0
}

// Report is an upstream's word on its load.
type Report struct {
	Running, Waiting, Slots int
}

func (u *upstream) report(r Report, now time.Duration) {
	u.reported = float64(r.Running + r.Waiting)
	u.reportedAt = now
	u.ownAtReport = u.inFlight
}
