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
	// silentFor is how long an instance that matters to a roll-out may be silent until it
	// is asked whether it lives: owners answer reports twice a second.
	unresponsiveAfter = 1200 * time.Millisecond
	// silentPause is the pause between two looks.
	probeInterval = 300 * time.Millisecond
	// mostChecked bounds the instances that are asked at a time.
	maxProbes = 8
)

// checkSilent asks instances that matter to roll-outs and are silent whether they live,
// while one runs. Instances of other regions count as alive until a call to them fails,
// and those of the own one for some seconds.
func (e *Edge) probeUnresponsive(ctx context.Context) {
	for e.rolloutState.active.wait(ctx) && clock.Sleep(ctx, probeInterval) {
		if e.rolloutState.running.Load() == 0 {
			continue
		}
		silent := e.members.Silent(unresponsiveAfter, e.relevantToRollouts())
		var all sync.WaitGroup
		for _, m := range silent[:min(len(silent), maxProbes)] {
			all.Go(func() { e.probe(ctx, m) })
		}
		all.Wait()
	}
}

// matters returns which instances matter to roll-outs: the owners, to which reports go,
// and while all requests move, to the owner, all, since that ends once each that lives
// has nothing in flight.
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

// check asks an instance whether it lives.
func (e *Edge) probe(ctx context.Context, m cluster.Member) {
	ctx, cancel := context.WithTimeout(ctx, 2*dialTimeout)
	defer cancel()
	if !e.peers.Check(ctx, m) {
		e.log.Info().Str("other", m.Name).Msg("instance-silent")
	}
}
