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

// serveOnce serves a request that may not be repeated. It runs at most once
// for its ticket, whichever instances it is sent to and how often.
func (f *Front) serveOnce(c *call) {
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
		f.passOn(c, t)
		return
	}
	entry, first, err := f.Ledger.Begin(t)
	switch {
	case errors.Is(err, ticket.ErrForged):
		f.finish(c, request.NotRun(request.TicketInvalid, 0))
	case err != nil:
		f.finish(c, request.Unknown(request.TicketGone))
	case first:
		f.runOnce(c, entry)
	default:
		f.awaitOnce(c, entry)
	}
}

// runOnce dispatches the request of a ticket and records how it ended. It goes
// on when the caller goes away, so that the caller can ask again.
func (f *Front) runOnce(c *call, entry *ticket.Entry) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(c.r.Context()), c.deadline)
	defer cancel()
	a, res := f.run(ctx, c)
	if res != nil {
		f.Ledger.Finish(entry, resultOutcome(res))
		f.finish(c, *res)
		return
	}
	a.header.Set(request.HeaderBackend, a.backend) // kept for further calls too
	a.header.Set(request.HeaderRan, string(request.RanYes))
	if a.ex != nil {
		defer f.Ledger.Finish(entry, ticket.Outcome{})
		f.relay(c, a)
		return
	}
	o := ticket.Outcome{Status: a.status, Header: a.header, Retained: len(a.whole) <= ticket.MaxRetainedBody}
	if o.Retained {
		o.Body = a.whole
	}
	f.Ledger.Finish(entry, o)
	f.relay(c, a)
}

// resultOutcome keeps a result as the outcome of a ticket.
func resultOutcome(res *request.Result) ticket.Outcome {
	rec := newRecorder()
	res.Write(rec)
	return ticket.Outcome{Status: rec.status, Header: rec.header, Body: rec.body, Retained: true}
}

// recorder keeps a small answer in memory.
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

// awaitOnce answers a further call with a used ticket.
func (f *Front) awaitOnce(c *call, entry *ticket.Entry) {
	timer := time.NewTimer(time.Until(c.deadline))
	defer timer.Stop()
	select {
	case <-entry.Done:
	case <-timer.C:
		res := request.Unknown(request.DeadlinePassed)
		res.Retry = time.Second // the outcome can still be asked for
		f.finish(c, res)
		return
	case <-c.r.Context().Done():
		f.finish(c, request.Unknown(request.CallerGone))
		return
	}
	o := f.Ledger.Outcome(entry)
	if !o.Retained {
		f.finish(c, request.Unknown(request.TicketUsed))
		return
	}
	f.relay(c, &answer{status: o.Status, header: o.Header, whole: o.Body})
}

// passOn sends the request to the member that its ticket names, or to the one
// that took over its tickets.
func (f *Front) passOn(c *call, t ticket.Ticket) {
	m, gone := f.holder(t.Member)
	if gone || c.r.Header.Get(request.HeaderForwarded) != "" {
		f.finish(c, request.Unknown(request.TicketGone))
		return
	}
	if m == nil {
		f.finish(c, askAgain(request.ConnectFailed))
		return
	}
	src, err := readSource(c.r)
	if err != nil {
		f.finish(c, *bodyResult(err, true))
		return
	}
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	tr := &trial{f: f, c: c, src: src}
	req := tr.request(ctx, c.deadline)
	req.Header.Set(request.HeaderTicket, t.String())
	req.Header.Set(request.HeaderForwarded, f.Members.Self().GetId())
	req.Header.Set(request.HeaderService, c.service)
	ex, err := f.peer(m.GetFront()).Dispatch(ctx, req, conn.Options{
		Deadline: c.deadline.Add(conn.ReleaseMargin),
		Allowed:  func() bool { return true },
		Release:  func(bool) {},
	})
	if errors.Is(err, syscall.ECONNREFUSED) {
		// No process listens there: the member has ended.
		f.finish(c, request.Unknown(request.TicketGone))
		return
	}
	if err != nil {
		f.finish(c, askAgain(request.AnswerLost))
		return
	}
	if ex.Response.Header.Get(request.HeaderID) != c.id {
		ex.Close()
		f.finish(c, askAgain(request.AnswerWrong))
		return
	}
	a, err := readAnswer(ex)
	if err != nil {
		f.finish(c, askAgain(lostCode(err, c.deadline)))
		return
	}
	f.relay(c, a)
}

// askAgain is a result whose outcome can be asked for with the same ticket.
func askAgain(code request.Code) request.Result {
	res := request.Unknown(code)
	res.Retry = time.Second
	return res
}

// maxSuccessors bounds the chain of successors that is followed.
const maxSuccessors = 8

// holder returns the member that answers for another's tickets; nil when it is
// not known. Gone is true when nobody ever will.
func (f *Front) holder(id string) (m *peer.Member, gone bool) {
	now := f.Now()
	dead := f.Members.Down(now)
	for range maxSuccessors {
		m = f.Members.Find(id)
		if m == nil {
			return nil, f.Members.Complete(now)
		}
		if s := m.GetSuccessor(); s != "" {
			id = s
			continue
		}
		return m, m.GetGone() || dead[id]
	}
	return nil, true
}

// peer returns the connections to another instance's front.
func (f *Front) peer(address string) *conn.Pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.peers == nil {
		f.peers = make(map[string]*conn.Pool)
	}
	p := f.peers[address]
	if p == nil {
		p = &conn.Pool{Address: address}
		f.peers[address] = p
	}
	return p
}
