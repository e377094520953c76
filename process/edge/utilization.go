// SPDX-License-Identifier: MIT

package edge

import (
	"context"
	"time"

	"shalewick/clock"
	"shalewick/process/held"
)

const (
	// utilizationInterval is the pause between two measurements of the instance's utilization.
	utilizationInterval = 500 * time.Millisecond
	// busyLinkShare is the link utilization, in one direction, from which an instance is busy.
	// Above 0.7 the wait for the link is over twice the transmission time.
	busyLinkShare = 0.6
	// busySchedulingDelay is the average delay of a timer from which processor time counts as
	// scarce. A request is scheduled some ten times, and 10 ms each would be a third of
	// usual objectives.
	busySchedulingDelay = 10 * time.Millisecond
	// utilizationGain is the weight of the latest measurement in the moving averages.
	utilizationGain = 0.4
	// minBusyTime is how long an instance stays busy at least, so that the callers that switch to
	// other instances do not return after the next response of the directory.
	minBusyTime = 5 * time.Second
)

// utilization holds moving averages of how much of the instance's capacity is used.
type utilization struct {
	link            float64 // share of the link, in the busier direction
	schedulingDelay time.Duration
	busyUntil       time.Duration // until when the instance counts as busy
}

// record adds a measurement: the bytes that went through the link within elapsed, and the delay of
// the timer. It reports whether the instance is busy.
func (u *utilization) record(bytes int64, linkMbps float64, elapsed, delay, now time.Duration) bool {
	if linkMbps > 0 && elapsed > 0 {
		share := float64(bytes) * 8 / (linkMbps * 1e6 * elapsed.Seconds())
		u.link += utilizationGain * (share - u.link)
	}
	u.schedulingDelay += time.Duration(utilizationGain * float64(delay-u.schedulingDelay))
	if u.link > busyLinkShare || u.schedulingDelay > busySchedulingDelay {
		u.busyUntil = now + minBusyTime
	}
	return now < u.busyUntil
}

// logCutOff logs whose request was cut off, and why.
func (e *Edge) logCutOff(c held.CutOff) {
	e.log.Info().Str("owner", c.Owner).Str("waitedFor", c.Kind.String()).Int64("held", c.Held).Dur("stalled", c.Stalled).Msg("memory-freed")
}

// watchUtilization announces to the other instances whether this one is busy until the context
// ends, and cuts off requests that hold memory for backend servers that do not read.
func (e *Edge) watchUtilization(ctx context.Context) {
	var u utilization
	busy := false
	last, carried := e.now(), e.proxy.BytesCarried()
	var suspension clock.SuspensionDetector
	for clock.Sleep(ctx, utilizationInterval) {
		e.memoryBudget.CutOffStalled()
		if suspended := suspension.Observe(e.deployment.Clock(), time.Now()); suspended > 0 {
			e.log.Warn().Dur("stood", suspended).Int("ended", e.proxy.CancelExpired()).Msg("machine-suspended")
		}
		now, total := e.now(), e.proxy.BytesCarried()
		wasBusy := busy
		busy = u.record(total-carried, e.settings.Link, now-last, now-last-utilizationInterval, now)
		last, carried = now, total
		if busy != wasBusy {
			e.members.SetBusy(busy)
			e.log.Info().Bool("busy", busy).Float64("link", u.link).Dur("late", u.schedulingDelay).Msg("use")
		}
	}
}
