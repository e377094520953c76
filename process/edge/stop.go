// SPDX-License-Identifier: MIT

package edge

import (
	"context"
	"time"
)

// Times of a planned stop.
const (
	idlePollInterval = 10 * time.Millisecond
	// minIdleTime is how long no request must have been in flight.
	minIdleTime = 150 * time.Millisecond
	// loopEndTimeout bounds the wait for the background loops.
	loopEndTimeout = 200 * time.Millisecond
)

// Stop stops the instance as planned.
func (e *Edge) Stop() {
	start := time.Now()
	e.leaving.Store(true)
	e.members.SetLeaving()
	e.proxy.DisableKeepAlives()
	e.heartbeats.Announce()
	e.log.Info().Int64("running", e.proxy.InFlight()).Msg("stopping")
	go e.deleteInstanceRow()
	time.Sleep(e.settings.linger())
	e.heartbeats.Announce()
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(e.settings.grace()))
	defer cancel()
	e.frontListener.Drain()
	e.awaitIdle(ctx)
	ended := make(chan struct{})
	go func() {
		e.Kill()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(loopEndTimeout): // a call that does not return must not delay the exit
		e.log.Warn().Msg("loops-left")
	}
	e.log.Info().Int64("running", e.proxy.InFlight()).Dur("took", time.Since(start)).Msg("stopped")
}

// awaitIdle waits until no request has been in flight for minIdleTime, in which requests arrive
// that were on their way to the draining listener. Requests that are in flight when the context
// ends are aborted.
func (e *Edge) awaitIdle(ctx context.Context) {
	idle := time.Duration(0)
	for idle < minIdleTime && ctx.Err() == nil {
		time.Sleep(idlePollInterval)
		idle += idlePollInterval
		if e.proxy.InFlight() > 0 || e.newConns.count() > 0 {
			idle = 0
		}
	}
}

// Kill stops the instance at once.
func (e *Edge) Kill() {
	e.cancel()
	for _, s := range e.servers {
		_ = s.Close() // nothing can be done about an error
	}
	e.loops.Wait()
}

func (e *Edge) deleteInstanceRow() {
	err := e.storeCall(context.Background(), func(ctx context.Context) error {
		return e.deployment.Store.Delete(ctx, e.deployment.InstanceTable, e.settings.Instance)
	})
	if err != nil {
		e.log.Info().Err(err).Msg("row-not-deleted")
	}
}
