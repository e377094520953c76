// SPDX-License-Identifier: MIT

package edge

import (
	"context"
	"sync"
	"time"

	"shalewick/clock"
	"shalewick/process/cluster"
)

const (
	// unresponsiveAfter is how long an instance that is relevant to a rollout may send nothing
	// until it is probed: owners respond to reports twice a second.
	unresponsiveAfter = 1200 * time.Millisecond
	// probeInterval is the pause between two rounds of probes.
	probeInterval = 300 * time.Millisecond
	// maxProbes bounds the number of instances that are probed at a time.
	maxProbes = 8
)

// probeUnresponsive probes unresponsive instances that are relevant to rollouts while one is
// running. Otherwise instances of other regions count as live until a call to them fails, and those
// of this region for some seconds.
func (e *Edge) probeUnresponsive(ctx context.Context) {
	for e.rolloutState.active.wait(ctx) && clock.Sleep(ctx, probeInterval) {
		if e.rolloutState.running.Load() == 0 {
			continue
		}
		unresponsive := e.members.Unresponsive(unresponsiveAfter, e.relevantToRollouts())
		var probes sync.WaitGroup
		for _, m := range unresponsive[:min(len(unresponsive), maxProbes)] {
			probes.Go(func() { e.probe(ctx, m) })
		}
		probes.Wait()
	}
}

// relevantToRollouts returns a predicate for the instances that are relevant to rollouts: the
// owners, which receive the reports, or all instances if this one is an owner and a rollout moves
// all requests to its target: that phase ends once no live instance has requests in flight.
func (e *Edge) relevantToRollouts() func(cluster.Member) bool {
	owners := make(map[string]bool)
	for _, name := range e.activeServices() {
		owners[e.rolloutOwner(name).Name] = true
	}
	if owners[e.settings.Instance] && e.rolloutState.promoting.Load() {
		return func(cluster.Member) bool { return true }
	}
	return func(m cluster.Member) bool { return owners[m.Name] }
}

// probe checks whether an instance is live.
func (e *Edge) probe(ctx context.Context, m cluster.Member) {
	ctx, cancel := context.WithTimeout(ctx, 2*dialTimeout)
	defer cancel()
	if !e.peers.Ping(ctx, m) {
		e.log.Info().Str("other", m.Name).Msg("instance-silent")
	}
}
