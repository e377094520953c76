// SPDX-License-Identifier: MIT

package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/request"
	"shalewick/version"
)

// rejectionModel simulates backend servers of which some reject all requests for a while, and the
// instances in front of them. It has its own clock.
type rejectionModel struct {
	instances, backends, rejecting int
	rate                           int           // requests per second over all instances
	retryAfter                     time.Duration // named by each rejection
	gossip                         bool          // instances exchange observations
}

// Times of the simulation.
const (
	rejectFrom     = time.Second
	rejectUntil    = 10 * time.Second
	simulated      = 13 * time.Second
	simulatedWork  = 100 * time.Millisecond
	gossipInterval = 500 * time.Millisecond // between two gossip messages of an instance
)

// play returns how many rejections requests met, and how many requests were finally refused. A
// request may be sent twice.
func (w rejectionModel) play(seed uint64) (met, refused int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	instances := make([]*fixture, w.instances)
	for i := range instances {
		p := newFixture(w.instances)
		p.route(version.WeightedService{Service: "t", Weight: 1})
		for k := range w.backends {
			p.backend(fmt.Sprintf("u%d", k), 0, func(b *version.Backend) { b.Service = "t" })
		}
		p.install()
		instances[i] = p
	}
	rejects := make(map[string]bool)
	for k := range w.rejecting {
		rejects[fmt.Sprintf("u%d", k)] = true
	}
	type running struct {
		pick *Pick
		end  time.Duration
	}
	var inFlight []running
	start := instances[0].now
	interval := time.Second / time.Duration(w.rate)
	for now, sinceGossip := time.Duration(0), time.Duration(0); now < simulated; now += interval {
		for _, p := range instances {
			p.now = start + now
		}
		for len(inFlight) > 0 && inFlight[0].end <= now {
			inFlight[0].pick.Done(Answered, &Report{Running: 1, Slots: 6})
			inFlight = inFlight[1:]
		}
		if sinceGossip += interval; w.gossip && sinceGossip >= gossipInterval/time.Duration(w.instances) {
			sinceGossip = 0
			w.exchange(instances, rng)
		}
		p := instances[rng.IntN(len(instances))]
		q := p.query(rng.Uint64N(500) + 1)
		served := false
		for range 2 {
			k, _ := p.Pick(q)
			if k == nil {
				break
			}
			q.Tried = append(q.Tried, k.Name)
			if rejects[k.Name] && now >= rejectFrom && now < rejectUntil {
				met++
				k.ApplyNotice(request.Notice{RetryAfter: w.retryAfter})
				k.Done(Refused, &Report{Slots: 6})
				continue
			}
			inFlight = append(inFlight, running{k, now + simulatedWork})
			served = true
			break
		}
		if !served {
			refused++
		}
	}
	return met, refused
}

// exchange lets a random instance send its observations to some others: to all, or to as many as a
// heartbeat reaches in a large region.
func (w rejectionModel) exchange(instances []*fixture, rng *rand.Rand) {
	const reached, size = 14, 180
	sender := instances[rng.IntN(len(instances))]
	text := sender.Observations(size)
	for range min(len(instances)-1, reached) {
		instances[rng.IntN(len(instances))].ApplyObservations(text)
	}
}

// TestGossipReducesRejections measures how much gossip about backoffs reduces the rejections that
// requests meet, and logs the requests that are finally refused.
func TestGossipReducesRejections(t *testing.T) {
	for _, w := range []rejectionModel{
		{instances: 12, backends: 20, rejecting: 6, rate: 240, retryAfter: 3 * time.Second},
		{instances: 100, backends: 60, rejecting: 18, rate: 1000, retryAfter: 3 * time.Second},
	} {
		met, refused := 0, 0
		metGossip, refusedGossip := 0, 0
		for seed := range uint64(5) {
			m, r := w.play(seed)
			met, refused = met+m, refused+r
			w.gossip = true
			m, r = w.play(seed)
			metGossip, refusedGossip = metGossip+m, refusedGossip+r
			w.gossip = false
		}
		t.Logf("%d instances: %d refusals met, %d finally refused; with gossip: %d and %d", w.instances, met, refused, metGossip, refusedGossip)
		assert.Assert(t, metGossip < met)
	}
}
