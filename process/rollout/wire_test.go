// SPDX-License-Identifier: MIT

package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func drawCounts(t *rapid.T, name string) Counts {
	c := Counts{Requests: rapid.Int64Range(0, maxCount).Draw(t, name)}
	c.Failed = rapid.Int64Range(0, c.Requests).Draw(t, "failed")
	c.Timed = rapid.Int64Range(0, c.Requests).Draw(t, "timed")
	c.Slow = rapid.Int64Range(0, c.Timed).Draw(t, "slow")
	return c
}

// TestMessageRoundTrip checks encoding and decoding, and that messages fit in a datagram.
func TestMessageRoundTrip(t *testing.T) {
	const datagram = 1400
	rapid.Check(t, func(t *rapid.T) {
		x := &report{
			service: rapid.Uint64().Draw(t, "service"), order: rapid.Int64().Draw(t, "order"),
			incarnation: rapid.Int64().Draw(t, "incarnation"), seq: rapid.Byte().Draw(t, "seq"),
			phase: rapid.SampledFrom(phases[:]).Draw(t, "phase"), halted: rapid.Bool().Draw(t, "halted"),
			drained: rapid.Bool().Draw(t, "drained"), inFlight: uint64(rapid.Uint32().Draw(t, "inFlight")),
			hasEcho: true, echoClock: rapid.Uint32().Draw(t, "echoClock"),
		}
		for range rapid.IntRange(0, maxRoutes).Draw(t, "routes") {
			x.routes = append(x.routes, routeCounts{
				routeHash(rapid.Uint32().Draw(t, "route")), versionCounts{base: drawCounts(t, "base"), target: drawCounts(t, "target")},
			})
		}
		got, err := decodeReport(x.encode())
		assert.NilError(t, err)
		assert.DeepEqual(t, *got, *x, cmpAll)

		a := &reply{
			service: x.service, order: x.order, seq: x.seq, phase: x.phase, halted: x.halted, stepDueSoon: x.drained,
			ownerClock: x.echoClock, hasRemaining: true, remaining: time.Duration(rapid.IntRange(0, 100_000).Draw(t, "remaining")) * time.Millisecond,
			allLacking: rapid.Bool().Draw(t, "allLacking"),
		}
		for _, c := range x.routes {
			a.lackingRoutes = append(a.lackingRoutes, c.route)
		}
		back, err := decodeReply(a.encode())
		assert.NilError(t, err)
		assert.DeepEqual(t, *back, *a, cmpAll)
		assert.Assert(t, len(a.encode()) < datagram)
	})
	full := &report{hasEcho: true, incarnation: -1, order: 1 << 40}
	for range maxRoutes {
		c := Counts{Requests: 1 << 34, Failed: 1 << 27, Timed: 1<<34 - 1<<27, Slow: 1 << 27}
		full.routes = append(full.routes, routeCounts{versionCounts: versionCounts{c, c}})
	}
	assert.Assert(t, len(full.encode()) < datagram, "%d", len(full.encode()))
}

// FuzzReceive checks that any datagram is either processed or rejected, at the owner and at another
// instance.
func FuzzReceive(f *testing.F) {
	s := hashOfService("s")
	f.Add((&report{service: s, order: 1, seq: 1, routes: []routeCounts{{1, versionCounts{base: Counts{Requests: 3, Timed: 2}}}}}).encode())
	f.Add((&reply{service: s, order: 1, seq: 1, phase: Promote, hasRemaining: true, lackingRoutes: []routeHash{1}}).encode())
	f.Add([]byte{kindReport})
	f.Add([]byte{1, 2})
	f.Fuzz(func(t *testing.T, payload []byte) {
		for _, owner := range []Owner{{Name: "here"}, {Name: "x", Address: "x"}} {
			r, now := singleInstance(owner)
			accepted := r.Receive("x", payload)
			assert.Equal(t, accepted, len(payload) > 0 && (payload[0] == kindReport || payload[0] == kindReply))
			*now += TickInterval
			r.Tick()
			r.Begin("s", "r", true, func() (uint64, bool) { return 1, true }).Done(Outcome{})
			r.Proposals(*now)
		}
	})
}
