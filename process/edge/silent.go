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
	silentFor = 1200 * time.Millisecond
	// silentPause is the pause between two looks.
	silentPause = 300 * time.Millisecond
	// mostChecked bounds the instances that are asked at a time.
	mostChecked = 8
)

// checkSilent asks instances that matter to roll-outs and are silent whether they live,
// while one runs. Instances of other regions count as alive until a call to them fails,
// and those of the own one for some seconds.
func (e *Edge) checkSilent(ctx context.Context) {
	for e.rolling.open.wait(ctx) && clock.Sleep(ctx, silentPause) {
		if e.rolling.running.Load() == 0 {
			continue
		}
		silent := e.members.Unresponsive(silentFor, e.matters())
		var all sync.WaitGroup
		for _, m := range silent[:min(len(silent), mostChecked)] {
			all.Go(func() { e.check(ctx, m) })
		}
		all.Wait()
	}
}

// matters returns which instances matter to roll-outs: the owners, to which reports go,
// and while all requests move, to the owner, all, since that ends once each that lives
// has nothing in flight.
func (e *Edge) matters() func(cluster.Member) bool {
	owners := make(map[string]bool)
	for _, name := range e.rollingServices() {
		owners[e.rolloutOwner(name).Name] = true
	}
	if owners[e.settings.Instance] && e.rolling.promotes.Load() {
		return func(cluster.Member) bool { return true }
	}
	return func(m cluster.Member) bool { return owners[m.Name] }
}

// check asks an instance whether it lives.
func (e *Edge) check(ctx context.Context, m cluster.Member) {
	ctx, cancel := context.WithTimeout(ctx, 2*dialTimeout)
	defer cancel()
	if !e.peers.Ping(ctx, m) {
		e.log.Info().Str("other", m.Name).Msg("instance-silent")
	}
}
