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

// canaryOf is what the tables say of a service whose canary runs.
func canaryOf(phase Phase) []Service {
	return []Service{{
		Name: "s", Order: &Order{ID: 1, Target: "v2", Within: time.Minute}, Revision: 1, InForce: "v1", InForceSlots: 10,
		Record: &Record{Service: "s", Order: 1, Target: "v2", Previous: "v1", Phase: phase, StartedAt: 1, Deadline: version.Duration(2 * time.Hour)},
		Homes:  []Home{{Hash: 1, Slots: 10}},
	}}
}

// alone returns the roll-outs of an instance that was there before the order.
func singleInstance(owner Owner) (*Controller, *time.Duration) {
	now := time.Hour
	r := &Controller{
		Now: func() time.Duration { return now }, Bounds: testBounds, Incarnation: 1, Random: func() float64 { return 0 },
		Owner: func(string) Owner { return owner }, Live: func() []string { return []string{""} },
		InFlight: func(string) int { return 0 }, Send: func(string, []byte) {},
	}
	r.Install(nil)
	now += minUptimeForSlack
	r.Install(canaryOf(Canary))
	r.Tick()
	return r, &now
}

func anyHome() (uint64, bool) { return 1, true }

// send sends n requests that succeed, and returns how many went to the target.
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

// TestShareIsKeptBeforeAnyEvidence checks the bound at one instance, request by request.
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

// TestInstanceThatStartsHasNoSlack checks that a restart gives nothing.
func TestStartingInstanceHasNoSlack(t *testing.T) {
	now := time.Hour
	r := &Controller{
		Now: func() time.Duration { return now }, Bounds: testBounds, Random: func() float64 { return 0 },
		Owner: func(string) Owner { return Owner{Name: "here"} }, Live: func() []string { return []string{""} },
		InFlight: func(string) int { return 0 }, Send: func(string, []byte) {},
	}
	r.Install(canaryOf(Canary))
	r.Tick()
	least := int(1 / (scarceFraction * testBounds.Share))
	assert.Equal(t, sendRequests(r, least), 0)

	r.Install(nil)
	now += minUptimeForSlack / 2
	again := canaryOf(Canary)
	again[0].Order.ID, again[0].Record.Order = 2, 2
	r.Install(again)
	r.Tick()
	assert.Equal(t, sendRequests(r, least), 0, "it has started a moment ago")
}

// TestLeaseLapses checks that nothing goes to the target without answers of the owner,
// and that an answer to a report of long ago gives no lease.
func TestLeaseExpires(t *testing.T) {
	r, now := singleInstance(Owner{Name: "x", Address: "x"})
	var reports [][]byte
	r.Send = func(_ string, text []byte) { reports = append(reports, text) }
	sendRequests(r, 100)
	*now += reportInterval
	r.Tick()
	assert.Equal(t, len(reports), 1)
	x, err := decodeReport(reports[0])
	assert.NilError(t, err)
	answer := &reply{service: x.service, order: x.order, seq: x.seq, phase: Canary, ownerClock: 0, allLacking: true}
	assert.Equal(t, sendRequests(r, 50), 0, "no lease yet")
	*now += maxLeaseTime
	r.Receive("x", answer.encode())
	assert.Equal(t, sendRequests(r, 50), 0, "the answer is to a report that is too old")
	r.Tick()
	x, err = decodeReport(reports[1])
	assert.NilError(t, err)
	answer.seq = x.seq
	r.Receive("y", answer.encode())
	assert.Equal(t, sendRequests(r, 50), 0, "not an answer of the owner")
	r.Receive("x", answer.encode())
	assert.Assert(t, sendRequests(r, 50) > 0)
	*now += maxLeaseTime
	assert.Equal(t, sendRequests(r, 500), 0, "lapsed")
}

// TestLeaseFollowsTheTimeToStop checks that a short time to stop makes leases short.
func TestLeaseFollowsStopWithin(t *testing.T) {
	for _, c := range []struct{ stop, lease time.Duration }{
		{0, maxLeaseTime}, {time.Second, 300 * time.Millisecond}, {5 * time.Second, maxLeaseTime}, {time.Minute, maxLeaseTime},
	} {
		b := Bounds{StopWithin: c.stop}
		assert.Equal(t, b.lease(), c.lease, "%s", c.stop)
	}
}

// TestOrderForAnUnknownServiceIsReverted checks that nobody waits for such an order's
// deadline.
func TestOrderForAnUnknownServiceIsReverted(t *testing.T) {
	r, _ := singleInstance(Owner{Name: "here"})
	r.Install([]Service{{Name: "none", Order: &Order{ID: 9, Target: "v2", Within: time.Minute}, Unknown: true}})
	steps := r.Proposals(time.Hour)
	assert.Equal(t, len(steps), 1)
	assert.Equal(t, steps[0].Record.Phase, Reverted)
	assert.Equal(t, steps[0].Record.Cause, "order for a service that is not there")
}

// TestHaltHoldsForTheOrder checks that no later answer takes a halt back.
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

// TestInstanceStopsByItself checks an instance whose owner does not judge.
func TestInstanceHaltsWithoutOwner(t *testing.T) {
	r, now := singleInstance(Owner{Name: "x", Address: "x"})
	var seq byte
	r.Send = func(_ string, text []byte) { seq = text[10] }
	target := 0
	for range 600 {
		*now += TickInterval
		r.Tick()
		x := &reply{service: hashOfService("s"), order: 1, seq: r.services["s"].reporting.seq, phase: Canary, allLacking: true}
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

// TestFurtherAttemptsGoToTheVersionInForce checks retries.
func TestRetriesGoToVersionInForce(t *testing.T) {
	r, now := singleInstance(Owner{Name: "here"})
	*now += TickInterval
	r.Tick()
	for range 500 {
		assert.Assert(t, r.Begin("s", "r", false, anyHome).Target() == "")
	}
}

// TestClockThatBeginsAtZero checks an instance whose clock is the time since its start.
func TestClockStartingAtZero(t *testing.T) {
	r, now := singleInstance(Owner{Name: "here"})
	*now = 0
	r.Install(nil)
	r.Install(canaryOf(Canary))
	target := 0
	for range 100 {
		r.Tick()
		target += sendRequests(r, 20)
		r.Proposals(*now)
		*now += TickInterval
	}
	assert.Assert(t, target > 0)
}

// TestNothingRuns checks attempts of services without a roll-out.
func TestNoRollout(t *testing.T) {
	r, _ := singleInstance(Owner{Name: "here"})
	a := r.Begin("other", "r", true, anyHome)
	assert.Assert(t, a == nil)
	assert.Assert(t, a.Target() == "")
	assert.Assert(t, a.Decline(false))
	a.Done(Outcome{})
	r.Install(canaryOf(Reverted))
	assert.Assert(t, r.Begin("s", "r", true, anyHome) == nil)
	r.Install(nil)
	assert.Assert(t, r.Begin("s", "r", true, anyHome) == nil)
	assert.Equal(t, len(r.Proposals(time.Hour)), 0)
	assert.Assert(t, !r.Receive("x", []byte{1}))
	assert.Assert(t, !r.Receive("x", nil))
}

// TestDeclineIsRefusedAfterThePromise checks that an instance that has said that it
// sends nothing to the version before keeps to that.
func TestDeclineIsRefusedAfterDrainPromise(t *testing.T) {
	r, now := singleInstance(Owner{Name: "here"})
	r.Install(canaryOf(Promote))
	r.Proposals(3 * time.Hour) // the deadline is over
	for range 3 {
		*now += TickInterval
		r.Tick()
	}
	a := r.Begin("s", "r", false, anyHome)
	assert.Assert(t, a.Target() != "", "a further attempt, too")
	assert.Assert(t, !a.Decline(false))
	a.Done(Outcome{Inconclusive: true})
}

// TestUseFromManyGoroutines is for the race detector.
func TestConcurrentUse(t *testing.T) {
	r, _ := singleInstance(Owner{Name: "here"})
	began := time.Now()
	r.Now = func() time.Duration { return time.Hour + time.Since(began) }
	var wait sync.WaitGroup
	for i := range 8 {
		wait.Go(func() {
			for k := range 500 {
				switch {
				case i == 0 && k%50 == 0:
					r.Install(canaryOf(Canary))
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

// BenchmarkBegin is the cost of an attempt: without a roll-out, with one of another
// service, and in a canary with the home of the object at hand.
func BenchmarkBegin(b *testing.B) {
	began := time.Now()
	clock := func() time.Duration { return time.Hour + time.Since(began) }
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
