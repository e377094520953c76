// SPDX-License-Identifier: MIT

package front

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/juju/errors"

	"shalewick/conn"
	"shalewick/process/peer"
	"shalewick/process/ticket"
	"shalewick/request"
)

// serveNonRepeatable serves a non-repeatable request. It runs at most once per
// ticket, no matter how often and to which instances it is sent.
func (f *Front) serveNonRepeatable(c *call) {
	text := c.r.Header.Get(request.HeaderTicket)
	if text == "" {
		c.w.Header().Set(request.HeaderTicket, f.Ledger.Issue().String())
		f.finish(c, request.NotRun(request.TicketNeeded, time.Millisecond))
		return
	}
	t, err := ticket.Parse(text)
	if err != nil {
		f.finish(c, request.NotRun(request.TicketInvalid, 0))
		return
	}
	if !f.Ledger.Owns(t.Member) {
		f.forwardToOwner(c, t)
		return
	}
	entry, first, err := f.Ledger.Begin(t)
	switch {
	case errors.Is(err, ticket.ErrForged):
		f.finish(c, request.NotRun(request.TicketInvalid, 0))
	case err != nil:
		f.finish(c, request.Unknown(request.TicketGone))
	case first:
		f.runWithTicket(c, entry)
	default:
		f.awaitOutcome(c, entry)
	}
}

// runWithTicket forwards the request of a ticket and records its outcome. It
// continues after the caller disconnects, so that the caller can fetch the
// outcome with the same ticket.
func (f *Front) runWithTicket(c *call, entry *ticket.Entry) {
	ctx, cancel := c.begin(context.WithoutCancel(c.r.Context()))
	defer cancel()
	resp, res := f.forward(ctx, c)
	if res != nil {
		last := c.result(*res)
		f.Ledger.Finish(entry, resultOutcome(&last))
		f.finish(c, last)
		return
	}
	resp.header.Set(request.HeaderBackend, resp.backend) // recorded, so that repeated calls get it too
	resp.header.Set(request.HeaderRan, string(request.RanYes))
	if resp.exchange != nil {
		defer f.Ledger.Finish(entry, ticket.Outcome{})
		f.relay(c, resp)
		return
	}
	outcome := ticket.Outcome{Status: resp.status, Header: resp.header, Retained: len(resp.body) <= ticket.MaxRetainedBody}
	if outcome.Retained {
		outcome.Body = resp.body
	}
	f.Ledger.Finish(entry, outcome)
	f.relay(c, resp)
}

// resultOutcome converts a result to the outcome of a ticket.
func resultOutcome(res *request.Result) ticket.Outcome {
	rec := newRecorder()
	res.Write(rec)
	return ticket.Outcome{Status: rec.status, Header: rec.header, Body: rec.body, Retained: true}
}

// recorder is an http.ResponseWriter that records the response in memory.
type recorder struct {
	header http.Header
	status int
	body   []byte
}

func newRecorder() *recorder { return &recorder{header: make(http.Header)} }

func (r *recorder) Header() http.Header { return r.header }

func (r *recorder) WriteHeader(status int) { r.status = status }

func (r *recorder) Write(p []byte) (int, error) {
	r.body = append(r.body, p...)
	return len(p), nil
}

// awaitOutcome serves a repeated call with a used ticket: it waits for the
// recorded outcome.
func (f *Front) awaitOutcome(c *call, entry *ticket.Entry) {
	ctx, cancel := c.begin(c.r.Context())
	defer cancel()
	select {
	case <-entry.Done:
	case <-ctx.Done():
		if c.r.Context().Err() != nil {
			f.finish(c, request.Unknown(request.CallerGone))
			return
		}
		res := request.Unknown(request.DeadlinePassed)
		res.Retry = time.Second // the outcome can still be requested
		f.finish(c, res)
		return
	}
	outcome := f.Ledger.Outcome(entry)
	if !outcome.Retained {
		f.finish(c, request.Unknown(request.TicketUsed))
		return
	}
	f.relay(c, &response{status: outcome.Status, header: outcome.Header, body: outcome.Body})
}

// forwardToOwner forwards the request to the member that owns its ticket.
func (f *Front) forwardToOwner(c *call, t ticket.Ticket) {
	owner, lost := f.ticketOwner(t.Member)
	if lost || c.r.Header.Get(request.HeaderForwarded) != "" {
		f.finish(c, request.Unknown(request.TicketGone))
		return
	}
	if owner == nil {
		f.finish(c, retryWithTicket(request.ConnectFailed))
		return
	}
	ctx, cancel := c.begin(c.r.Context())
	defer cancel()
	if err := c.readBody(); err != nil {
		f.finish(c, *bodyErrorResult(err, true))
		return
	}
	fw := &forwarder{front: f, call: c}
	req := fw.newRequest(ctx, c.deadline)
	req.Header.Set(request.HeaderTicket, t.String())
	req.Header.Set(request.HeaderForwarded, f.Members.Self().GetId())
	req.Header.Set(request.HeaderService, c.service)
	c.tracked.BeginAttempt()
	c.tracked.SetSent()
	exchange, err := f.peerPool(owner.GetFront()).Dispatch(ctx, req, conn.Options{
		Deadline: c.deadline.Add(conn.ReleaseMargin),
		Allowed:  func() bool { return true },
		Release:  func(bool) {},
	})
	if errors.Is(err, syscall.ECONNREFUSED) {
		// Nothing listens on the address: the member's process has exited.
		f.finish(c, request.Unknown(request.TicketGone))
		return
	}
	if err != nil {
		f.recordBadHead(c, owner.GetId(), err)
		f.finish(c, retryWithTicket(request.AnswerLost))
		return
	}
	if !c.isOwnResponse(exchange.Response.Header) {
		c.body.CloseExchange(exchange)
		f.finish(c, retryWithTicket(request.AnswerWrong))
		return
	}
	resp, err := c.readResponse(exchange)
	if err != nil {
		f.recordBadHead(c, owner.GetId(), err)
		f.finish(c, retryWithTicket(lostResponseCode(err, c.deadline)))
		return
	}
	f.relay(c, resp)
}

// retryWithTicket returns a result of unknown outcome that asks the caller to
// retry with the same ticket.
func retryWithTicket(code request.Code) request.Result {
	res := request.Unknown(code)
	res.Retry = time.Second
	return res
}

// maxSuccessors limits the length of the chain of successors that is followed.
const maxSuccessors = 8

// ticketOwner returns the member that owns the tickets issued by the member
// id: that member or its last successor. It returns nil if the owner is
// unknown. Lost is true if the tickets no longer have an owner.
func (f *Front) ticketOwner(id string) (m *peer.Member, lost bool) {
	now := f.Now()
	down := f.Members.Down(now)
	for range maxSuccessors {
		m = f.Members.Find(id)
		if m == nil {
			return nil, f.Members.Complete(now)
		}
		if s := m.GetSuccessor(); s != "" {
			id = s
			continue
		}
		return m, m.GetGone() || down[id]
	}
	return nil, true
}

// peerPool returns the connection pool for the front of another instance.
func (f *Front) peerPool(address string) *conn.Pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.peerPools == nil {
		f.peerPools = make(map[string]*conn.Pool)
	}
	p := f.peerPools[address]
	if p == nil {
		p = &conn.Pool{Address: address, ToInstance: true}
		f.peerPools[address] = p
	}
	return p
}
