// SPDX-License-Identifier: MIT

package held

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// fixture is a budget with a clock that the test controls.
type fixture struct {
	*Budget
	now          time.Duration
	cutOffOwners []string // owners of the leases that were cut off, in order
}

// newFixture returns a budget for the given number of requests.
func newFixture(requests int64) *fixture {
	f := &fixture{now: time.Hour}
	f.Budget = &Budget{Limit: requests * RequestOverhead, Now: func() time.Duration { return f.now }}
	return f
}

func (f *fixture) admit(t *testing.T, owner string) *Lease {
	t.Helper()
	l, ok := f.tryAdmit(owner)
	assert.Assert(t, ok, "%s was not admitted", owner)
	return l
}

func (f *fixture) tryAdmit(owner string) (*Lease, bool) {
	return f.Admit(owner, func(Kind) { f.cutOffOwners = append(f.cutOffOwners, owner) })
}

func (f *fixture) total() (n int64) {
	for k := range numKinds {
		n += f.Held(k)
	}
	return n
}

// TestGreedyOwnersLeaveCapacityForNewOnes checks that an owner that takes all it can get receives
// only a part, so that a new owner is admitted however many others hold their maximum.
func TestGreedyOwnersLeaveCapacityForNewOnes(t *testing.T) {
	for _, owners := range []int{1, 5, 20} {
		f := newFixture(1000)
		for i := range owners {
			for range 1000 {
				if _, ok := f.tryAdmit(fmt.Sprint("greedy", i)); !ok {
					break
				}
			}
		}
		// Each owner takes its share of what the ones before it left.
		minFree := float64(f.Limit) * math.Pow(1-1.0/(ownerDivisor+1), float64(owners))
		free := f.free()
		assert.Assert(t, float64(free) >= minFree-float64(owners*RequestOverhead), "%d owners leave %d of %d", owners, free, f.Limit)
		f.admit(t, "new")
		assert.Equal(t, len(f.cutOffOwners), 0)
	}
}

// TestResponsesLeaveCapacityForRequests guards against refusals with MEMORY_FULL while no owner has
// stalled for long enough to be cut off. In the first second of 2,000 slow callers, fast callers
// were refused because the responses of other fast callers, of 1 MB each, had taken all free
// memory.
func TestResponsesLeaveCapacityForRequests(t *testing.T) {
	const requests = 400
	f := newFixture(requests)
	var readers []*Lease
	for i := range 20 {
		readers = append(readers, f.admit(t, fmt.Sprint("reader", i)))
	}
	for _, l := range readers {
		for l.Grow(Responses, RequestOverhead) {
			continue
		}
	}
	for i := range requests/reserveDivisor - 1 {
		f.admit(t, fmt.Sprint("late", i))
	}
}

// TestStalledLeasesAreCutOffForNewRequests checks that new requests are admitted although others
// hold all memory, once these have stalled, and that leases that make progress are not cut off.
func TestStalledLeasesAreCutOffForNewRequests(t *testing.T) {
	f := newFixture(40)
	var slow, fast []*Lease
	for i := range 40 {
		l := f.admit(t, fmt.Sprint("owner", i))
		l.Wait(Responses)
		if i%2 == 0 {
			slow = append(slow, l)
		} else {
			fast = append(fast, l)
		}
	}
	_, ok := f.tryAdmit("new")
	assert.Assert(t, !ok, "no lease has stalled yet")
	f.now += minStall
	for _, l := range fast {
		l.StopWaiting()
	}
	for i := range 20 {
		f.admit(t, fmt.Sprint("new", i))
	}
	assert.Equal(t, len(f.cutOffOwners), 20)
	for _, owner := range f.cutOffOwners {
		var i int
		_, err := fmt.Sscanf(owner, "owner%d", &i)
		assert.NilError(t, err)
		assert.Equal(t, i%2, 0, "%s made progress", owner)
	}
	for _, l := range append(slow, fast...) {
		l.End()
	}
	assert.Equal(t, f.total(), int64(20*RequestOverhead))
}

// TestLargestHolderIsCutOffFirst checks the order of cut-offs.
func TestLargestHolderIsCutOffFirst(t *testing.T) {
	f := newFixture(100)
	small, large := f.admit(t, "small"), f.admit(t, "large")
	assert.Assert(t, large.Grow(Responses, 9*RequestOverhead))
	for i := range 89 {
		f.admit(t, fmt.Sprint("other", i))
	}
	small.Wait(Responses)
	large.Wait(Responses)
	f.now += minStall
	_, ok := f.tryAdmit("new")
	assert.Assert(t, ok)
	assert.DeepEqual(t, f.cutOffOwners, []string{"large"})
}

// TestLongestWaitingIsCutOffFirst guards against a caller that has just begun to read its response and is cut off in place of one that has not
// read for seconds, since its response is a few bytes longer.
func TestLongestWaitingIsCutOffFirst(t *testing.T) {
	const owner = "workspace"
	f := newFixture(100)
	cut := ""
	admit := func(name string, bytes int64) *Lease {
		l, ok := f.Admit(owner, func(Kind) { cut = name })
		assert.Assert(t, ok)
		assert.Assert(t, l.Grow(Responses, bytes))
		l.Wait(Responses)
		return l
	}
	admit("stalled", 3*RequestOverhead)
	f.now += minStall
	admit("reading", 3*RequestOverhead+7)
	f.now += minStall
	for i := 0; cut == ""; i++ {
		f.admit(t, fmt.Sprint("other", i))
	}
	assert.Equal(t, cut, "stalled")
}

// TestBackendThatDoesNotReadIsCutOff checks that a body that its backend server does not read is
// cut off even if there is free memory, and that other waits are not.
func TestBackendThatDoesNotReadIsCutOff(t *testing.T) {
	f := newFixture(100)
	for _, k := range []Kind{Requests, Bodies, Responses} {
		f.admit(t, k.String()).Wait(k)
	}
	f.now += MaxStall - 1
	f.CutOffStalled()
	assert.Equal(t, len(f.cutOffOwners), 0)
	f.now++
	f.CutOffStalled()
	f.CutOffStalled()
	assert.DeepEqual(t, f.cutOffOwners, []string{"bodies"})
}

// TestBudgetIsNeverExceeded checks, for any order of calls, that leases hold no more than the
// limit, except for those that were cut off and have not ended, and that all bytes are released.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(rapid.Int64Range(1, 30).Draw(t, "requests"))
		var leases []*Lease
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			f.now += time.Duration(rapid.Int64Range(0, int64(minStall)).Draw(t, "pause"))
			step := rapid.IntRange(0, 5).Draw(t, "step")
			if step == 0 || len(leases) == 0 {
				if l, ok := f.tryAdmit(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "owner"))); ok {
					leases = append(leases, l)
				}
				continue
			}
			i := rapid.IntRange(0, len(leases)-1).Draw(t, "lease")
			l, k := leases[i], Kind(rapid.IntRange(0, int(numKinds)-1).Draw(t, "kind"))
			switch step {
			case 1:
				l.Grow(k, rapid.Int64Range(1, 4*RequestOverhead).Draw(t, "bytes"))
			case 2:
				l.Wait(k)
			case 3:
				l.StopWaiting()
			case 4:
				l.Free(k)
			case 5:
				l.End()
				leases = append(leases[:i], leases[i+1:]...)
			}
			if excess := f.total() - f.releasing; excess > f.Limit {
				t.Fatalf("%d of %d", excess, f.Limit)
			}
		}
		for _, l := range leases {
			l.End()
		}
		if f.total() != 0 || f.releasing != 0 || len(f.owners) != 0 {
			t.Fatalf("left over: %d bytes, %d releasing, %d owners", f.total(), f.releasing, len(f.owners))
		}
	})
}
