// SPDX-License-Identifier: MIT

package ratelimit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// constantLimit returns a limit that is named from a time on.
func constantLimit(limit float64, from time.Duration) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now < from {
			return 0
		}
		return limit
	}
}

// TestLimitIsUsedByFleetsOfEachSize guards against dividing a limit into shares that no instance
// can use, or that add up to more than the limit. It covers limits far below and far above one
// request per second and instance.
func TestLimitIsUsedByFleetsOfEachSize(t *testing.T) {
	for _, size := range []int{1, 12, 90, 985} {
		for _, limit := range []float64{0.5, 3, 4.7, 100} {
			for _, loss := range []float64{0, 0.1} {
				t.Run(fmt.Sprintf("%d instances, limit %g, loss %g", size, limit, loss), func(t *testing.T) {
					m := newModel(3, size, max(20, 4*limit), nil)
					start := m.now
					m.limitAt = constantLimit(limit, start)
					m.loss = loss
					measured := max(20*time.Second, time.Duration(40/limit*float64(time.Second))) // 40 requests at least
					m.run(graceTime + takeoverPeriod + measured)
					excess := m.excess(limit, start+graceTime, m.now)
					used := m.rate(m.now-measured, m.now) / limit
					t.Logf("%.1f of the bound left, %.2f of the limit used, %.1f permit requests per second", -excess, used, float64(m.requests)/(m.now-start).Seconds())
					assert.Check(t, excess <= 0, "%.1f beyond the bound", excess)
					assert.Check(t, used >= 0.9 && used <= 1.15, "%.2f of the limit used", used)
				})
			}
		}
	}
}

// TestLimitHoldsAcrossCrashesStartsAndPartitions guards against instances that disagree on the
// owner of a limit, and against permits that are lost or granted twice, as instances start, crash
// and are partitioned.
func TestLimitHoldsAcrossCrashesStartsAndPartitions(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		size := rapid.SampledFrom([]int{2, 3, 12, 40}).Draw(r, "instances")
		limit := rapid.SampledFrom([]float64{0.5, 3, 4.7, 30}).Draw(r, "limit")
		m := newModel(rapid.Uint64().Draw(r, "seed"), size, max(20, 4*limit), nil)
		m.loss = rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(r, "loss")
		start := m.now
		m.limitAt = constantLimit(limit, start)
		for range rapid.IntRange(1, 6).Draw(r, "faults") {
			m.run(time.Duration(rapid.IntRange(0, 4000).Draw(r, "pause")) * time.Millisecond)
			n := m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(r, "instance")]
			switch rapid.SampledFrom([]string{"owner crashes", "crashes", "starts", "partition"}).Draw(r, "fault") {
			case "owner crashes":
				if o := n.owner("0", modelStart); o.Address != "" {
					m.kill(m.byName(o.Address))
				}
			case "crashes":
				m.kill(n)
			case "starts":
				m.start(m.now)
			case "partition":
				each := rapid.IntRange(1, 4).Draw(r, "each")
				var separated []*node
				for _, o := range m.nodes {
					if (o.index+n.index)%(each*each) == 0 && !o.down && o.group == 0 {
						separated = append(separated, o)
					}
				}
				m.partition(separated, time.Duration(rapid.IntRange(500, 8000).Draw(r, "for"))*time.Millisecond)
			}
		}
		m.run(10 * time.Second)
		if excess := m.excess(limit, start+graceTime, m.now); excess > 0 {
			r.Fatalf("%.1f beyond the bound", excess)
		}
	})
}

// TestLimitOfDownOwnerIsUsedAgain guards against a limit that stays unused after its owner has
// crashed.
func TestLimitOfDownOwnerIsUsedAgain(t *testing.T) {
	const limit = 4.7
	m := newModel(5, 12, 40, nil)
	m.limitAt = constantLimit(limit, m.now)
	m.run(10 * time.Second)
	m.kill(m.byName(m.nodes[1].owner("0", modelStart).Address))
	m.run(downDetection + takeoverPeriod)
	from := m.now
	m.run(10 * time.Second)
	used := m.rate(from, m.now) / limit
	assert.Assert(t, used >= 0.8 && used <= 1.1, "%.2f of the limit used", used) // 11 of 12 instances are left
}

// TestLimitFollowsBackend guards against limits that are not updated when they rise, fall or end.
func TestLimitFollowsBackend(t *testing.T) {
	m := newModel(6, 12, 60, nil)
	start := m.now
	steps := []struct {
		limit, minRate, maxRate float64
	}{{10, 9, 11}, {3, 2.7, 3.3}, {20, 18, 22}, {0, 55, 65}, {5, 4.5, 5.5}}
	const each = 20 * time.Second
	m.limitAt = func(now time.Duration) float64 { return steps[min(int((now-start)/each), len(steps)-1)].limit }
	for i, s := range steps {
		m.run(each / 2)
		from := m.now
		m.run(each / 2)
		rate := m.rate(from, m.now)
		t.Logf("limit %g: %.1f a second", s.limit, rate)
		assert.Check(t, rate >= s.minRate && rate <= s.maxRate, "step %d, limit %g: %.1f a second", i, s.limit, rate)
	}
}

// TestUrgentRequestsGetPermitsFirst guards against less urgent requests using up a limit that more
// urgent ones need.
func TestUrgentRequestsGetPermitsFirst(t *testing.T) {
	b := newBucket(0)
	now := time.Minute
	b.at = now
	got := map[int]int{}
	for range 2000 {
		now += 10 * time.Millisecond
		for priority := range 2 {
			if ok, _ := b.take("x", priority, 10, 1, now, 0.5); ok {
				got[priority]++
			}
		}
	}
	assert.Assert(t, got[0] >= 180 && got[1] <= 20, "%v of 200", got)
}

// TestOutdatedAnswerDoesNotEndLimit guards against ending a limit by responses that were in transit
// when it started.
func TestOutdatedAnswerDoesNotEndLimit(t *testing.T) {
	now := time.Hour
	l := &Limiter{Now: func() time.Duration { return now }}
	b := Backend{IncarnationHash: 1, Name: "b"}
	sent := now
	now += time.Second
	l.RecordResponse(b, 3, sent)
	now += time.Millisecond
	l.RecordResponse(b, 0, sent)
	assert.Assert(t, l.Limited(1))
	sent = now
	now += time.Second
	l.RecordResponse(b, 0, sent)
	assert.Assert(t, !l.Limited(1))
}

// TestGossipDoesNotHideLimit guards against owners that know only that a backend server is
// limited, by gossip that is newer than the limit that a requester knows, and therefore grant
// everything.
func TestGossipDoesNotHideLimit(t *testing.T) {
	now := time.Hour
	l := &Limiter{
		Now: func() time.Duration { return now }, Instances: func() int { return 2 }, Send: func(string, []byte) {},
		Owner: func(string, uint64) Owner { return Owner{Name: "self"} },
	}
	l.ApplyLimited(Backend{IncarnationHash: 1, Name: "b"}, now)
	for seq := range uint32(10) {
		x := permitRequest{seq: seq + 1, incarnationHash: 1, observed: observedLimit{limit: 0.5, from: now - 2*time.Second, to: now - time.Second}}
		got, err := decodeResponse(l.handleRequest("x", x.encode(kindRequest, now)), now)
		assert.NilError(t, err)
		assert.Equal(t, got.status, denied)
	}
}

// TestRestartedBackendIsNotLimited guards against a limit that outlives the incarnation of the
// backend server that named it.
func TestRestartedBackendIsNotLimited(t *testing.T) {
	l := &Limiter{Now: func() time.Duration { return time.Hour }}
	l.RecordResponse(Backend{IncarnationHash: 1, Name: "b"}, 3, time.Minute)
	assert.Assert(t, l.Limited(1))
	assert.Assert(t, !l.Limited(2))
}

// TestUnusedPermitIsReused guards against losing permits when a connection fails or a caller gives
// up.
func TestUnusedPermitIsReused(t *testing.T) {
	now := time.Hour
	l := &Limiter{
		Now: func() time.Duration { return now }, Instances: func() int { return 1 },
		Owner: func(string, uint64) Owner { return Owner{Name: "self"} },
	}
	b := Backend{IncarnationHash: 1, Name: "b"}
	l.RecordResponse(b, 1, now-time.Second)
	_, ok := l.Acquire(t.Context(), b, 0) // creates the bucket
	assert.Assert(t, !ok)
	now += 3 * time.Second
	at, ok := l.Acquire(t.Context(), b, 0)
	assert.Assert(t, ok && l.Valid(1, at))
	l.Return(1, at)
	again, ok := l.Acquire(t.Context(), b, 0)
	assert.Assert(t, ok)
	assert.Equal(t, again, at)
	now += permitTTL
	assert.Assert(t, !l.Valid(1, again))
}

// FuzzReceive guards against invalid messages.
func FuzzReceive(f *testing.F) {
	f.Add(permitRequest{seq: 1, incarnationHash: 2, observed: observedLimit{limit: 3, from: time.Minute, to: time.Hour}, region: "north"}.encode(kindRequest, time.Hour))
	f.Add(permitRequest{seq: 1, incarnationHash: 2}.encode(kindReport, time.Hour))
	f.Add(permitResponse{seq: 1, incarnationHash: 2, status: granted}.encode(time.Hour))
	f.Fuzz(func(t *testing.T, text []byte) {
		l := &Limiter{
			Now: func() time.Duration { return time.Hour }, Instances: func() int { return 1 }, Send: func(string, []byte) {},
			Owner: func(string, uint64) Owner { return Owner{Name: "self"} },
		}
		l.Receive("x", text)
		l.Receive("x", text)
		l.Tick()
	})
}

// TestEndOfLimitIsNoticed guards against a backend server that gets hardly any requests long after
// its limit has ended. Its end shows only in the response to a request with a permit, and instances
// that were denied asked for the next permit long after it was available.
func TestEndOfLimitIsNoticed(t *testing.T) {
	const runs = 50
	for _, c := range []struct {
		instances int
		limit     float64
	}{{3, 0.5}, {12, 0.5}, {3, 4.7}, {12, 4}} {
		// A permit is available within one interval of the limit. The request for it and the
		// response take some time.
		within := time.Duration(float64(time.Second)/c.limit) + 500*time.Millisecond
		latest := time.Duration(0)
		for seed := range uint64(runs) {
			m := newModel(seed, c.instances, 180, nil)
			end := m.now + 12*time.Second
			m.limitAt = func(now time.Duration) float64 {
				if now < end {
					return c.limit
				}
				return 0
			}
			m.run(12 * time.Second)
			for m.now < end+2*maxWait && !slices.ContainsFunc(m.nodes, func(n *node) bool { return n.LimitedCount() == 0 }) {
				m.run(50 * time.Millisecond)
			}
			latest = max(latest, m.now-end)
		}
		t.Logf("%d instances, limit %g: noticed after %v at the latest", c.instances, c.limit, latest)
		assert.Check(t, latest <= within, "%d instances, limit %g: %v, %v is allowed", c.instances, c.limit, latest, within)
	}
}
