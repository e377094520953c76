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

// Times of a planned stop.
const (
	stopPoll = 20 * time.Millisecond
	// keepBefore is how long before the end of the grace nothing more is
	// lent: a lease, and the time in which holders return what has lapsed.
	keepBefore  = slots.LeaseTime + 2*upkeepTime + balanceTime
	lentWait    = slots.LeaseTime + time.Second
	inheritTime = 2 * time.Second
	lastWords   = time.Second
)

// Stop ends the entry as planned. New work goes elsewhere first; requests in
// flight are finished; tickets and tokens are handed over. It ends by itself,
// at the latest after the longest deadline of a request.
func (e *Entry) Stop(ctx context.Context) {
	begun := e.now()
	e.members.UpdateSelf(func(m *peer.Member) { m.Leaving = true })
	e.slots.Leave()
	e.routes.proxy.DisableKeepAlives()
	e.log.Info().Msg("stopping")
	e.pushAll(ctx)
	clock.Sleep(ctx, e.settings.Grace-keepBefore)
	e.slots.Keep()
	clock.Sleep(ctx, min(e.settings.Grace, keepBefore))
	e.front.Close()
	e.awaitRunning(ctx)
	e.handOverTickets(ctx)
	e.handOverTokens(ctx)
	e.members.UpdateSelf(func(m *peer.Member) { m.Gone = true })
	e.pushAll(ctx)
	e.deleteRow(ctx)
	e.closeFront(ctx)
	e.Kill()
	e.log.Info().Dur("took", e.now()-begun).Msg("stopped")
}

// closeFront lets the last refusals to callers be sent whole.
func (e *Entry) closeFront(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lastWords)
	defer cancel()
	if err := e.frontServer.Shutdown(ctx); err != nil {
		e.log.Info().Err(err).Msg("front-not-idle")
	}
}

// Kill ends the entry at once, as the death of its process would.
func (e *Entry) Kill() {
	e.cancel()
	for _, s := range e.servers {
		_ = s.Close() // nothing more can be done about a failure
	}
	e.grpc.Stop()
	e.loops.Wait()
	e.peers.retain(nil)
}

// awaitRunning waits until no request is in flight.
func (e *Entry) awaitRunning(ctx context.Context) {
	limit := e.now() + version.MaxDeadline
	for e.front.InFlight()+e.routes.proxy.InFlight() > 0 && e.now() < limit && ctx.Err() == nil {
		time.Sleep(stopPoll)
	}
}

// handOverTickets gives the tickets to one successor. If its answer is lost,
// no other is asked, since two members must never answer for one ticket; the
// tickets then count as gone.
func (e *Entry) handOverTickets(ctx context.Context) {
	books := e.ledger.Stop()
	b := e.steer.Bound()
	if b == nil {
		return
	}
	bal := &balancer{e: e}
	for _, p := range bal.peersByDistance(b.View) {
		if p.member.GetLeaving() || p.member.GetGone() {
			continue
		}
		err := e.bequeath(ctx, p.member, books)
		if err == nil {
			e.members.UpdateSelf(func(m *peer.Member) { m.Successor = p.member.GetId() })
		}
		e.log.Info().Str("successor", p.member.GetId()).Err(err).Msg("tickets-handed-over")
		return
	}
}

func (e *Entry) bequeath(ctx context.Context, to *peer.Member, books []ticket.Book) error {
	ctx, cancel := context.WithTimeout(ctx, inheritTime)
	defer cancel()
	client, err := e.peers.client(to.GetPeer())
	if err != nil {
		return err
	}
	for _, bk := range books {
		req := &peer.InheritRequest{From: bk.Member, Key: bk.Key, AgeMs: bk.Age.Milliseconds()}
		for _, r := range bk.Records {
			h, err := json.Marshal(r.Outcome.Header)
			if err != nil {
				return errors.Trace(err)
			}
			req.Records = append(req.Records, &peer.TicketRecord{
				Nonce: r.Nonce[:], Status: int32(r.Outcome.Status), Header: h, Body: r.Outcome.Body, Kept: r.Outcome.Kept,
			})
		}
		if _, err := client.Inherit(ctx, req); err != nil {
			return errors.Annotatef(err, "hand tickets to %s", to.GetId())
		}
	}
	return nil
}

// handOverTokens gives the tokens at home here to the other members.
func (e *Entry) handOverTokens(ctx context.Context) {
	b := e.steer.Bound()
	if b == nil {
		return
	}
	limit := e.now() + lentWait
	for e.slots.Outstanding() && e.now() < limit && ctx.Err() == nil {
		time.Sleep(stopPoll)
	}
	e.splitter.work.Lock()
	defer e.splitter.work.Unlock()
	live := e.candidates(b.View)
	const tries = 3
	for range tries {
		in := slots.PlanInput{Live: live, View: b.View, Dead: e.members.Dead(e.now()), Ceder: e.members.Self().GetId()}
		in.Ceded = e.slots.Cede(live, version.MaxSlots, e.now())
		in.Ceded = append(in.Ceded, e.splitter.ceding...)
		if len(in.Ceded) == 0 || len(live) == 0 {
			return
		}
		e.commitSplit(ctx, in)
		clock.Sleep(ctx, stopPoll)
	}
}

// deleteRow removes the own member's row.
func (e *Entry) deleteRow(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lastWords)
	defer cancel()
	op := platform.Op{Kind: platform.OpDelete, Table: tableMembers, Key: e.members.Self().GetId(), Revision: platform.AnyRevision}
	if err := e.platform.Commit(ctx, []platform.Op{op}); err != nil {
		e.log.Info().Err(err).Msg("row-not-deleted")
	}
}
