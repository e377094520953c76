// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"shalewick/clock"
	"shalewick/process/peer"
	"shalewick/process/platform"
	"shalewick/process/slots"
	"shalewick/process/ticket"
	"shalewick/version"
)

// Intervals and timeouts of a planned stop.
const (
	stopPollInterval = 20 * time.Millisecond
	// stopLendingBefore is how long before the end of the grace period lending
	// stops: the duration of a lease, and the time in which holders return
	// expired tokens.
	stopLendingBefore = slots.LeaseTime + 2*renewInterval + borrowInterval
	lentTokensTimeout = slots.LeaseTime + time.Second
	inheritTimeout    = 2 * time.Second
	// requestReadTimeout is how long the stop waits for a request on a connection that was opened, or on which a
	// part of it has arrived.
	requestReadTimeout = time.Second
	// rejectTime is how long callers that connect are told when to come back.
	rejectTime   = time.Second
	finalTimeout = time.Second
)

// Steps of a planned stop, as logged.
const (
	stepAnnounce = "announce"
	stepReject   = "reject"
	stepHandOver = "hand-over"
	stepRefuse   = "refuse"
	stepEnd      = "end-requests"
	stepClose    = "close"
)

// Stop shuts the entry down gracefully. Callers first move to other instances;
// then requests in flight are finished, and tickets and tokens are handed over.
// Stop returns even if ctx is never done: the wait for requests in flight is
// limited to version.MaxDeadline, the longest deadline of a request.
func (e *Entry) Stop(ctx context.Context) {
	e.stop.Begin(stepAnnounce, time.Now())
	e.members.UpdateSelf(func(m *peer.Member) { m.Leaving = true })
	e.slots.StartDraining()
	e.routes.proxy.DisableKeepAlives()
	e.pushAll(ctx)
	clock.Sleep(ctx, e.settings.Grace-stopLendingBefore)
	e.slots.StopLending()
	clock.Sleep(ctx, min(e.settings.Grace, stopLendingBefore))
	e.stop.Step(stepReject, e.stop.Start().Add(e.settings.Grace))
	e.front.Close()
	e.routes.proxy.StopAt(time.Time{}, time.Time{})
	e.awaitInFlight(ctx)
	e.stop.Step(stepHandOver, e.stop.Start().Add(e.settings.Grace+version.MaxDeadline))
	e.handOverTickets(ctx)
	e.handOverTokens(ctx)
	e.members.UpdateSelf(func(m *peer.Member) { m.Gone = true })
	e.pushAll(ctx)
	e.deleteRow(ctx)
	e.stop.Step(stepRefuse, time.Time{})
	refused := e.refuseFront(ctx, e.routes.proxy.LeavingResponse())
	e.stop.Step(stepEnd, time.Time{})
	e.stop.EndRequests(time.Time{})
	e.awaitResponses(ctx)
	e.stop.Step(stepClose, time.Time{})
	e.stop.Cut()
	e.Kill()
	e.stop.End().Int("requestsRefused", refused).Msg("stopped")
}

// refuseFront waits until the listener has drained and what has arrived has been read. Requests of which only a part has arrived by
// then get the response; their number is returned.
func (e *Entry) refuseFront(ctx context.Context, response []byte) (refused int) {
	e.frontQueue.Drain()
	await(ctx, func() bool { return e.frontQueue.IsClosed() && e.frontConns.Pending(requestReadTimeout) == 0 })
	e.frontConns.EndIdle(0)
	return e.frontConns.Refuse(response)
}

// awaitResponses waits until the last responses to callers are sent completely. http.Server.Shutdown would drop requests that
// it has read.
func (e *Entry) awaitResponses(ctx context.Context) {
	if !await(ctx, func() bool { return e.frontConns.Serving() == 0 }) {
		e.log.Info().Int("connections", e.frontConns.Serving()).Msg("front-not-idle")
	}
}

// await waits until a condition holds, at most for finalTimeout. It returns whether it does.
func await(ctx context.Context, condition func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, finalTimeout)
	defer cancel()
	for !condition() {
		if ctx.Err() != nil {
			return false
		}
		time.Sleep(stopPollInterval)
	}
	return true
}

// Kill ends the entry immediately, as a crash of its process would.
func (e *Entry) Kill() {
	e.cancel()
	for _, s := range e.servers {
		_ = s.Close() // the entry ends also if this fails
	}
	e.grpc.Stop()
	e.loops.Wait()
	e.peers.retain(nil)
}

// inFlight returns the number of callers' requests in flight.
func (e *Entry) inFlight() int64 { return e.front.InFlight() + e.routes.proxy.InFlight() }

// awaitInFlight waits until no request is in flight, at most version.MaxDeadline. Idle connections are closed, and
// all other requests are refused. After rejectTime no more connections are accepted, since callers that reconnect after
// each rejection would keep the stop from ending.
func (e *Entry) awaitInFlight(ctx context.Context) {
	start := e.now()
	for ctx.Err() == nil && e.now() < start+version.MaxDeadline {
		if e.now() >= start+rejectTime {
			e.frontQueue.Drain()
		}
		e.frontConns.EndIdle(requestReadTimeout)
		if e.inFlight() == 0 && e.frontConns.Pending(requestReadTimeout) == 0 {
			return
		}
		time.Sleep(stopPollInterval)
	}
}

// handOverTickets transfers the tickets to one successor. If its reply is lost,
// no other member is tried, because two members must never own one ticket; the
// tickets then count as lost.
func (e *Entry) handOverTickets(ctx context.Context) {
	books := e.ledger.Stop()
	bound := e.steer.Active()
	if bound == nil {
		return
	}
	br := &borrower{entry: e}
	for _, p := range br.peersByDistance(bound.View) {
		if p.member.GetLeaving() || p.member.GetGone() {
			continue
		}
		err := e.transferTickets(ctx, p.member, books)
		if err == nil {
			e.members.UpdateSelf(func(m *peer.Member) { m.Successor = p.member.GetId() })
		}
		e.log.Info().Str("successor", p.member.GetId()).Err(err).Msg("tickets-handed-over")
		return
	}
}

// transferTickets sends ticket books to another member.
func (e *Entry) transferTickets(ctx context.Context, to *peer.Member, books []ticket.Handover) error {
	ctx, cancel := context.WithTimeout(ctx, inheritTimeout)
	defer cancel()
	client, err := e.peers.client(to.GetPeer())
	if err != nil {
		return err
	}
	for _, book := range books {
		req := &peer.InheritRequest{From: book.Member, Key: book.Key, AgeMs: book.Age.Milliseconds()}
		for _, r := range book.Records {
			h, err := json.Marshal(r.Outcome.Header)
			if err != nil {
				return errors.Trace(err)
			}
			req.Records = append(req.Records, &peer.TicketRecord{
				Nonce: r.Nonce[:], Status: int32(r.Outcome.Status), Header: h, Body: r.Outcome.Body, Kept: r.Outcome.Retained,
			})
		}
		if _, err := client.Inherit(ctx, req); err != nil {
			return errors.Annotatef(err, "hand tickets to %s", to.GetId())
		}
	}
	return nil
}

// handOverTokens cedes the tokens that this member owns to other members, after
// waiting for lent tokens to come back.
func (e *Entry) handOverTokens(ctx context.Context) {
	bound := e.steer.Active()
	if bound == nil {
		return
	}
	deadline := e.now() + lentTokensTimeout
	for e.slots.Outstanding() && e.now() < deadline && ctx.Err() == nil {
		time.Sleep(stopPollInterval)
	}
	e.splitter.round.Lock()
	defer e.splitter.round.Unlock()
	live := e.candidates(bound.View)
	const maxAttempts = 3
	for range maxAttempts {
		in := slots.PlanInput{Live: live, View: bound.View, Down: e.members.Down(e.now()), Planner: e.members.Self().GetId()}
		in.Transferred = e.slots.StartTransfer(live, version.MaxSlots, e.now())
		in.Transferred = append(in.Transferred, e.splitter.ceding...)
		if len(in.Transferred) == 0 || len(live) == 0 {
			return
		}
		e.commitSplit(ctx, in)
		clock.Sleep(ctx, stopPollInterval)
	}
}

// deleteRow deletes the own member's row from the platform. A heartbeat that is on its way arrives first.
func (e *Entry) deleteRow(ctx context.Context) {
	e.rowMu.Lock()
	defer e.rowMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, finalTimeout)
	defer cancel()
	op := platform.Op{Kind: platform.OpDelete, Table: tableMembers, Key: e.members.Self().GetId(), Revision: platform.AnyRevision}
	if err := e.platform.Commit(ctx, []platform.Op{op}); err != nil {
		e.log.Info().Err(err).Msg("row-not-deleted")
	}
}
