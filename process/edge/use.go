// SPDX-License-Identifier: MIT

package edge

import (
	"context"
	"time"

	"shalewick/clock"
	"shalewick/process/held"
)

const (
	// usePause is the pause between two looks at how much of what the instance can
	// carry is in use.
	utilizationInterval = 500 * time.Millisecond
	// busyLink is the part of the link, one way, from which an instance is busy.
	// Origin: above 0.7 the wait for the link is over twice the time of sending.
	busyLinkShare = 0.6
	// busyLate is how late a timer must be in the middle for the processor to be short.
	// Origin: a request needs some ten turns of the processor, and 10 ms each would
	// be a third of usual objectives.
	busySchedulingDelay = 10 * time.Millisecond
	// useMemory is the weight of the newest look in what is known of use.
	utilizationGain = 0.4
	// busyFor is how long an instance stays busy at least, so that the callers that
	// go elsewhere do not come back with the next answer of the directory.
	minBusyTime = 5 * time.Second
)

// use is how much of what the instance can carry is in use.
type utilization struct {
	link            float64 // part of the link, the busier way
	schedulingDelay time.Duration
	busyUntil       time.Duration // until when the instance counts as busy
}

// note takes up a look: what went through the link within a time, in bytes, and how
// late the look itself was. It reports whether the instance is busy.
func (u *utilization) record(bytes int64, linkMbps float64, took, late, now time.Duration) bool {
	if linkMbps > 0 && took > 0 {
		part := float64(bytes) * 8 / (linkMbps * 1e6 * took.Seconds())
		u.link += utilizationGain * (part - u.link)
	}
	u.schedulingDelay += time.Duration(utilizationGain * float64(late-u.schedulingDelay))
	if u.link > busyLinkShare || u.schedulingDelay > busySchedulingDelay {
		u.busyUntil = now + minBusyTime
	}
	return now < u.busyUntil
}

// logCutOff writes whose request was cut off, and why.
func (e *Edge) logCutOff(c held.CutOff) {
	e.log.Info().Str("owner", c.Owner).Str("waitedFor", c.Kind.String()).Int64("held", c.Held).Dur("stalled", c.Stalled).Msg("memory-freed")
}

// watchUse tells the other instances whether this one is busy until the context ends, and cuts
// off requests that hold memory for backend servers that do not read.
func (e *Edge) watchUtilization(ctx context.Context) {
	var u utilization
	busy := false
	last, carried := e.now(), e.proxy.BytesCarried()
	var suspension clock.Suspension
	for clock.Sleep(ctx, utilizationInterval) {
		e.memoryBudget.CutOffStalled()
		if lost := suspension.Note(e.deployment.Clock(), time.Now()); lost > 0 {
			e.log.Warn().Dur("stood", lost).Int("ended", e.proxy.CancelExpired()).Msg("machine-suspended")
		}
		now, total := e.now(), e.proxy.BytesCarried()
		was := busy
		busy = u.record(total-carried, e.settings.Link, now-last, now-last-utilizationInterval, now)
		last, carried = now, total
		if busy != was {
			e.members.SetBusy(busy)
			e.log.Info().Bool("busy", busy).Float64("link", u.link).Dur("late", u.schedulingDelay).Msg("use")
		}
	}
}
