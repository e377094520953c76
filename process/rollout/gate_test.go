// SPDX-License-Identifier: MIT

package rollout

import (
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"

	"shalewick/version"
)

var cmpAll = cmp.AllowUnexported(report{}, reply{}, routeCounts{}, versionCounts{})

// serviceInPhase is the tables' state of a service with a rollout in the given phase.
func serviceInPhase(phase Phase) []Service {
	return []Service{{
		Name: "s", Order: &Order{ID: 1, Target: "v2", Within: time.Minute}, Revision: 1, InForce: "v1", InForceSlots: 10,
		Record: &Record{Service: "s", Order: 1, Target: "v2", Previous: "v1", Phase: phase, StartedAt: 1, Deadline: version.Duration(2 * time.Hour)},
		Homes:  []Home{{Hash: 1, Slots: 10}},
	}}
}

// singleInstance returns the Controller of a single instance that was started before the order.
func singleInstance(owner Owner) (*Controller, *time.Duration) {
	now := time.Hour
	r := &Controller{
		Now: func() time.Duration { return now }, Bounds: testBounds, Incarnation: 1, Random: func() float64 { return 0 },
		Owner: func(string) Owner { return owner }, Live: func() []string { return []string{""} },
		InFlight: func(string) int { return 0 }, Send: func(string, []byte) {},
	}
	r.Install(nil)
	now += minUptimeForSlack
	r.Install(serviceInPhase(Canary))
	r.Tick()
	return r, &now
}

func anyHome() (uint64, bool) { return 1, true }

// sendRequests sends n requests that succeed, and returns how many went to the target.
func sendRequests(r *Controller, n int) (target int) {
	for range n {
		a := r.Begin("s", "r", true, anyHome)
		if a.Target() != "" {
			target++
		}
		a.Done(Outcome{Latency: time.Millisecond})
	}
	return target
}

// TestShareHoldsFromFirstRequest checks the limit on the share at one instance after each request.
func TestShareHoldsFromFirstRequest(t *testing.T) {
	r, now := singleInstance(Owner{Name: "here"})
	all, target := 0, 0
	for range 15_000 {
		*now += 10 * time.Millisecond
		r.Tick()
		target += sendRequests(r, 3)
		all += 3
		assert.Assert(t, float64(target) <= scarceFraction*testBounds.Share*float64(all)+slackFraction*testBounds.Slack, "%d of %d", target, all)
	}
	assert.Assert(t, float64(target) > 0.6*canaryFraction*testBounds.Share*float64(all), "%d of %d", target, all)
}

// TestStartingInstanceHasNoSlack checks that a restart grants no slack.
func TestStartingInstanceHasNoSlack(t *testing.T) {
	now := time.Hour
	r := &Controller{
		Now: func() time.Duration { return now }, Bounds: testBounds, Random: func() float64 { return 0 },
		Owner: func(string) Owner { return Owner{Name: "here"} }, Live: func() []string { return []string{""} },
		InFlight: func(string) int { return 0 }, Send: func(string, []byte) {},
	}
	r.Install(serviceInPhase(Canary))
	r.Tick()
	requests := int(1 / (scarceFraction * testBounds.Share))
	assert.Equal(t, sendRequests(r, requests), 0)

	r.Install(nil)
	now += minUptimeForSlack / 2
	again := serviceInPhase(Canary)
	again[0].Order.ID, again[0].Record.Order = 2, 2
	r.Install(again)
	r.Tick()
	assert.Equal(t, sendRequests(r, requests), 0, "it has just started")
}

// TestLeaseExpires checks that nothing goes to the target without replies of the owner, and that a
// reply to an old report grants no lease.
func TestLeaseExpires(t *testing.T) {
	r, now := singleInstance(Owner{Name: "x", Address: "x"})
	var reports [][]byte
	r.Send = func(_ string, payload []byte) { reports = append(reports, payload) }
	sendRequests(r, 100)
	*now += reportInterval
	r.Tick()
	assert.Equal(t, len(reports), 1)
	x, err := decodeReport(reports[0])
	assert.NilError(t, err)
	msg := &reply{service: x.service, order: x.order, seq: x.seq, phase: Canary, ownerClock: 0, allLacking: true}
	assert.Equal(t, sendRequests(r, 50), 0, "no lease yet")
	*now += maxLeaseTime
	r.Receive("x", msg.encode())
	assert.Equal(t, sendRequests(r, 50), 0, "the report is too old")
	r.Tick()
	x, err = decodeReport(reports[1])
	assert.NilError(t, err)
	msg.seq = x.seq
	r.Receive("y", msg.encode())
	assert.Equal(t, sendRequests(r, 50), 0, "not a reply of the owner")
	r.Receive("x", msg.encode())
	assert.Assert(t, sendRequests(r, 50) > 0)
	*now += maxLeaseTime
	assert.Equal(t, sendRequests(r, 500), 0, "expired")
}

// TestLeaseFollowsStopWithin checks that a short StopWithin shortens leases.
func TestLeaseFollowsStopWithin(t *testing.T) {
	for _, c := range []struct{ stop, lease time.Duration }{
		{0, maxLeaseTime}, {time.Second, 300 * time.Millisecond}, {5 * time.Second, maxLeaseTime}, {time.Minute, maxLeaseTime},
	} {
		b := Bounds{StopWithin: c.stop}
		assert.Equal(t, b.lease(), c.lease, "%s", c.stop)
	}
}

// TestOrderForAnUnknownServiceIsReverted checks that such an order is reverted at once, and not at
// its deadline.
func TestOrderForAnUnknownServiceIsReverted(t *testing.T) {
	r, _ := singleInstance(Owner{Name: "here"})
	r.Install([]Service{{Name: "none", Order: &Order{ID: 9, Target: "v2", Within: time.Minute}, Unknown: true}})
	steps := r.Proposals(time.Hour)
	assert.Equal(t, len(steps), 1)
	assert.Equal(t, steps[0].Record.Phase, Reverted)
	assert.Equal(t, steps[0].Record.Cause, "order for a service that is not there")
}

// TestHaltIsPermanentForOrder checks that no later reply revokes a halt.
func TestHaltIsPermanentForOrder(t *testing.T) {
	r, now := singleInstance(Owner{Name: "here"})
	*now += TickInterval
	r.Tick()
	assert.Assert(t, sendRequests(r, 200) > 0)
	r.Receive("x", (&reply{service: hashOfService("s"), order: 1, halted: true}).encode())
	for range 20 {
		*now += TickInterval
		r.Tick()
		assert.Equal(t, sendRequests(r, 50), 0)
	}
	proposals := r.Proposals(time.Hour)
	assert.Equal(t, len(proposals), 1)
	assert.Equal(t, proposals[0].Record.Phase, Reverted)
	assert.Equal(t, proposals[0].Revision, int64(1))
	assert.Equal(t, len(r.Proposals(time.Hour)), 0, "it was proposed just now")
	*now += proposeInterval
	assert.Equal(t, len(r.Proposals(time.Hour)), 1, "it was not confirmed")
}

// TestInstanceHaltsWithoutOwner checks that an instance halts a bad target on its own if the owner
// does not.
func TestInstanceHaltsWithoutOwner(t *testing.T) {
	r, now := singleInstance(Owner{Name: "x", Address: "x"})
	var seq byte
	r.Send = func(_ string, payload []byte) { seq = payload[10] }
	target := 0
	for range 600 {
		*now += TickInterval
		r.Tick()
		x := &reply{service: hashOfService("s"), order: 1, seq: r.services["s"].reportState.seq, phase: Canary, allLacking: true}
		r.Receive("x", x.encode())
		for range 20 {
			a := r.Begin("s", "r", true, anyHome)
			if a.Target() != "" {
				target++
			}
			a.Done(Outcome{Failed: a.Target() != ""})
		}
	}
	assert.Assert(t, seq > 0)
	assert.Assert(t, target >= 4 && target <= 12, "%d", target)
}

// TestRetriesGoToVersionInForce checks that retries don't go to the target.
func TestRetriesGoToVersionInForce(t *testing.T) {
	r, now := singleInstance(Owner{Name: "here"})
	*now += TickInterval
	r.Tick()
	for range 500 {
		assert.Assert(t, r.Begin("s", "r", false, anyHome).Target() == "")
	}
}

// TestClockStartingAtZero checks an instance whose clock counts from its start.
func TestClockStartingAtZero(t *testing.T) {
	r, now := singleInstance(Owner{Name: "here"})
	*now = 0
	r.Install(nil)
	r.Install(serviceInPhase(Canary))
	target := 0
	for range 100 {
		r.Tick()
		target += sendRequests(r, 20)
		r.Proposals(*now)
		*now += TickInterval
	}
	assert.Assert(t, target > 0)
}

// TestNoRollout checks attempts of services without a rollout.
func TestNoRollout(t *testing.T) {
	r, _ := singleInstance(Owner{Name: "here"})
	a := r.Begin("other", "r", true, anyHome)
	assert.Assert(t, a == nil)
	assert.Assert(t, a.Target() == "")
	assert.Assert(t, a.Decline(false))
	a.Done(Outcome{})
	r.Install(serviceInPhase(Reverted))
	assert.Assert(t, r.Begin("s", "r", true, anyHome) == nil)
	r.Install(nil)
	assert.Assert(t, r.Begin("s", "r", true, anyHome) == nil)
	assert.Equal(t, len(r.Proposals(time.Hour)), 0)
	assert.Assert(t, !r.Receive("x", []byte{1}))
	assert.Assert(t, !r.Receive("x", nil))
}

// TestDeclineIsRefusedAfterDrainPromise checks that an instance keeps its promise to send nothing
// to the previous version.
func TestDeclineIsRefusedAfterDrainPromise(t *testing.T) {
	r, now := singleInstance(Owner{Name: "here"})
	r.Install(serviceInPhase(Promote))
	r.Proposals(3 * time.Hour) // the deadline has passed
	for range 3 {
		*now += TickInterval
		r.Tick()
	}
	a := r.Begin("s", "r", false, anyHome)
	assert.Assert(t, a.Target() != "", "a retry too")
	assert.Assert(t, !a.Decline(false))
	a.Done(Outcome{Inconclusive: true})
}

// TestConcurrentUse is for the race detector.
func TestConcurrentUse(t *testing.T) {
	r, _ := singleInstance(Owner{Name: "here"})
	startedAt := time.Now()
	r.Now = func() time.Duration { return time.Hour + time.Since(startedAt) }
	var wait sync.WaitGroup
	for i := range 8 {
		wait.Go(func() {
			for k := range 500 {
				switch {
				case i == 0 && k%50 == 0:
					r.Install(serviceInPhase(Canary))
				case i == 1:
					r.Tick()
				case i == 2:
					for _, p := range r.Proposals(time.Hour) {
						r.Confirm(p, p.Revision+1)
					}
				default:
					sendRequests(r, 3)
				}
			}
		})
	}
	wait.Wait()
}

// BenchmarkBegin measures the cost of an attempt: without a rollout, with a rollout of another
// service, and during a canary.
func BenchmarkBegin(b *testing.B) {
	startedAt := time.Now()
	clock := func() time.Duration { return time.Hour + time.Since(startedAt) }
	b.Run("none", func(b *testing.B) {
		r, _ := singleInstance(Owner{Name: "here"})
		r.Install(nil)
		b.ReportAllocs()
		for b.Loop() {
			r.Begin("s", "r", true, anyHome).Done(Outcome{Latency: time.Millisecond})
		}
	})
	b.Run("another", func(b *testing.B) {
		r, _ := singleInstance(Owner{Name: "here"})
		b.ReportAllocs()
		for b.Loop() {
			r.Begin("other", "r", true, anyHome).Done(Outcome{Latency: time.Millisecond})
		}
	})
	b.Run("canary", func(b *testing.B) {
		r, _ := singleInstance(Owner{Name: "here"})
		r.Now = clock
		b.ReportAllocs()
		n := 0
		for b.Loop() {
			if n++; n%10_000 == 0 {
				r.Tick()
			}
			r.Begin("s", "r", true, anyHome).Done(Outcome{Latency: time.Millisecond})
		}
	})
}
