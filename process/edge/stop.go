// SPDX-License-Identifier: MIT

package edge

import "time"

// Times of a planned stop.
const (
	idlePollInterval = 10 * time.Millisecond
	// minIdleTime is how long no request must have been in flight.
	minIdleTime = 150 * time.Millisecond
	// noticeTime is how long callers need to learn of the stop: until the others no longer list the instance,
	// and the responses of the directory that do have expired.
	noticeTime = directoryTTL + 300*time.Millisecond
	// maxQueuePolls bounds the wait for the listener at the end, in polls of idlePollInterval. It is no limit of time: a process
	// that was suspended must still accept what waits.
	maxQueuePolls = 40
	// loopEndTimeout bounds the wait for the background loops.
	loopEndTimeout = 200 * time.Millisecond
)

// Steps of a planned stop, as logged.
const (
	stepAnnounce = "announce"
	stepEndIdle  = "end-idle"
	stepDrain    = "drain"
	stepReject   = "reject"
	stepEnd      = "end-requests"
	stepClose    = "close"
)

// Stop stops the instance as planned. Its steps are timed from start, when the process was told to stop.
func (e *Edge) Stop(start time.Time) {
	e.stop.Begin(stepAnnounce, start)
	end, noticed, closing := start.Add(e.settings.grace()), start.Add(noticeTime), start.Add(e.settings.linger())
	e.leaving.Store(true)
	e.members.SetLeaving()
	e.proxy.DisableKeepAlives()
	e.proxy.StopAt(end, earlier(noticed, closing))
	e.heartbeats.Announce()
	e.leave()
	time.Sleep(time.Until(earlier(noticed, closing)))
	e.stop.Step(stepEndIdle, earlier(noticed, closing))
	ended := e.frontConns.EndIdle(requestReadTimeout)
	time.Sleep(time.Until(closing))
	e.stop.Step(stepDrain, closing)
	e.heartbeats.Announce()
	e.frontListener.Drain()
	e.peerConns.EndIdle(requestReadTimeout) // the others open new ones, and are told on each that this instance leaves
	ended += e.awaitIdle(end)
	e.stop.Step(stepReject, end)
	refused := e.refuse()
	e.stop.Step(stepEnd, end)
	e.stop.EndRequests(end) // requests may have begun after the last look at those in flight
	e.stop.Step(stepClose, time.Time{})
	e.stop.Cut()
	e.shutdown()
	e.stop.End().Int("idleConnections", ended).Int("requestsRefused", refused).Msg("stopped")
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// awaitIdle waits until the listener has drained and no request has been in flight for minIdleTime, at most until end.
// Idle connections are closed, since a request that comes on one later could be cut; their number is returned.
func (e *Edge) awaitIdle(end time.Time) (ended int) {
	idle := time.Duration(0)
	for idle < minIdleTime && time.Now().Before(end) {
		time.Sleep(idlePollInterval)
		idle += idlePollInterval
		ended += e.frontConns.EndIdle(requestReadTimeout)
		if !e.frontListener.IsClosed() || e.proxy.InFlight() > 0 || e.frontConns.Pending(requestReadTimeout) > 0 {
			idle = 0
		}
	}
	return ended
}

// refuse rejects all requests that are not in flight. It returns the number of those that had arrived in part.
func (e *Edge) refuse() (refused int) {
	e.proxy.StopAt(time.Time{}, time.Time{})
	e.awaitQueue()
	e.frontConns.EndIdle(0)
	e.queryConns.EndIdle(0)
	return e.frontConns.Refuse(e.proxy.LeavingResponse())
}

// awaitQueue waits until the listener has drained and the first bytes of what it has accepted are read. It takes time only in a process
// that was suspended over the end of its stop.
func (e *Edge) awaitQueue() {
	for range maxQueuePolls {
		if e.frontListener.IsClosed() && e.frontConns.Unread() == 0 {
			return
		}
		time.Sleep(idlePollInterval)
	}
}

// shutdown ends all servers and loops.
func (e *Edge) shutdown() {
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
}

// Kill stops the instance at once.
func (e *Edge) Kill() {
	e.cancel()
	for _, s := range e.servers {
		_ = s.Close() // nothing can be done about an error
	}
	e.loops.Wait()
}
