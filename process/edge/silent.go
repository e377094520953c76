// SPDX-License-Identifier: MIT

package edge

import (
	"context"
	"sync"
	"time"

	"shalewick/clock"
)

const (
	// silentFor is how long an instance of another region may be silent until the owner
	// of a promotion looks whether it lives: those that live report far more often.
	silentFor = 2 * time.Second
	// silentPause is the pause between two looks.
	silentPause = 500 * time.Millisecond
	// mostChecked bounds the instances that are asked at a time.
	mostChecked = 8
)

// checkSilent asks instances of other regions that are silent whether they live, while
// this instance owns a promotion: that does not end while an instance that counts as
// alive has not said that it has nothing in flight. Before, few are heard.
func (e *Edge) checkSilent(ctx context.Context) {
	for e.rolling.open.wait(ctx) && clock.Sleep(ctx, silentPause) {
		if !e.rolling.promotes.Load() || len(e.ownedRollouts()) == 0 {
			continue
		}
		silent := e.members.Silent(silentFor)
		var all sync.WaitGroup
		for _, m := range silent[:min(len(silent), mostChecked)] {
			all.Go(func() {
				asked, cancel := context.WithTimeout(ctx, 2*dialTimeout)
				defer cancel()
				if !e.peers.Check(asked, m) {
					e.log.Info().Str("other", m.Name).Msg("instance-silent")
				}
			})
		}
		all.Wait()
	}
}
