// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"encoding/json"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"shalewick/process/peer"
	"shalewick/process/slots"
	"shalewick/process/ticket"
)

// reconnectParams keep the backoff short, so that a peer that restarts is
// connected again within about a second.
var reconnectParams = grpc.ConnectParams{
	Backoff: backoff.Config{
		BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second,
	},
	MinConnectTimeout: exchangeTimeout,
}

// peerServer serves the requests of other instances.
type peerServer struct {
	peer.UnimplementedPeerServer
	entry *Entry
}

// Exchange applies the peer's state and replies with what the peer lacks.
func (p *peerServer) Exchange(_ context.Context, in *peer.State) (*peer.State, error) {
	e := p.entry
	e.applyState(in)
	out := e.state()
	if in.GetSeq() < out.GetSeq() {
		out.Changes = e.changesSince(in.GetSeq())
	}
	if in.GetEpoch() < out.GetEpoch() {
		out.Split = e.splitJSON()
	}
	if in.GetMembersDigest() != out.GetMembersDigest() {
		out.Members = e.members.GossipMembers(e.now())
	}
	if in.GetLeavingDigest() != out.GetLeavingDigest() {
		out.Leaving = e.leavingBackends()
	}
	return out, nil
}

// Config returns the whole configuration if it is newer than the peer's.
func (p *peerServer) Config(_ context.Context, in *peer.ConfigRequest) (*peer.ConfigReply, error) {
	if _, _, ok := p.entry.store.InForce(); !ok {
		return &peer.ConfigReply{}, nil
	}
	c := p.entry.store.Config()
	if c.Seq <= in.GetSeq() {
		return &peer.ConfigReply{}, nil
	}
	b, err := json.Marshal(c.Snapshot())
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return &peer.ConfigReply{Snapshot: b}, nil
}

// Lease lends tokens and renews leases.
func (p *peerServer) Lease(_ context.Context, in *peer.LeaseRequest) (*peer.LeaseReply, error) {
	e := p.entry
	now := e.now()
	out := &peer.LeaseReply{}
	if !e.steer.ConfigFresh() {
		return out, nil // the tokens may already have a new owner
	}
	out.Renewed = toTokens(e.slots.Renew(in.GetHolder(), fromTokens(in.GetRenew()), now))
	for _, w := range in.GetWants() {
		want := slots.Want{Pool: w.GetPool(), Service: w.GetService(), Region: w.GetRegion(), Tokens: int(w.GetTokens())}
		out.Granted = append(out.Granted, toTokens(e.slots.Lend(in.GetHolder(), want, now))...)
	}
	return out, nil
}

// Return takes back lent tokens.
func (p *peerServer) Return(_ context.Context, in *peer.ReturnRequest) (*peer.ReturnReply, error) {
	p.entry.slots.AcceptReturns(in.GetHolder(), fromTokens(in.GetTokens()), p.entry.now())
	return &peer.ReturnReply{}, nil
}

// Inherit takes over the tickets of a leaving instance.
func (p *peerServer) Inherit(_ context.Context, in *peer.InheritRequest) (*peer.InheritReply, error) {
	if p.entry.members.Leaving() {
		return nil, status.Error(codes.FailedPrecondition, "this instance is leaving too")
	}
	book := ticket.Handover{Member: in.GetFrom(), Key: in.GetKey(), Age: time.Duration(in.GetAgeMs()) * time.Millisecond}
	for _, r := range in.GetRecords() {
		rec := ticket.Record{Outcome: ticket.Outcome{Status: int(r.GetStatus()), Body: r.GetBody(), Retained: r.GetKept()}}
		copy(rec.Nonce[:], r.GetNonce())
		if err := json.Unmarshal(r.GetHeader(), &rec.Outcome.Header); err != nil {
			rec.Outcome.Retained = false
		}
		book.Records = append(book.Records, rec)
	}
	if err := p.entry.ledger.Inherit(book); err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	return &peer.InheritReply{}, nil
}

// RateLimit handles a message of another instance's rate limiter.
func (p *peerServer) RateLimit(_ context.Context, in *peer.RateLimitMessage) (*peer.RateLimitReply, error) {
	if !p.entry.limits.Receive(in.GetFrom(), in.GetText()) {
		return nil, status.Error(codes.InvalidArgument, "not a message of package ratelimit")
	}
	return &peer.RateLimitReply{}, nil
}

// Status returns the status of this instance.
func (p *peerServer) Status(context.Context, *peer.StatusRequest) (*peer.StatusReply, error) {
	return p.entry.status(), nil
}

// status returns the version, split and tokens of this instance.
func (e *Entry) status() *peer.StatusReply {
	now := e.now()
	out := &peer.StatusReply{Self: e.members.Self(), Epoch: e.slots.Split().Epoch, Leaving: e.leavingBackends()}
	out.ConfirmedMs = -1
	if age, ok := e.steer.ConfigAge(); ok {
		out.ConfirmedMs = age.Milliseconds()
		seq, since, _ := e.store.InForce()
		out.Seq = seq
		out.SinceMs = (now - since).Milliseconds()
	}
	for _, s := range e.slots.Status(now) {
		out.Pools = append(out.Pools, &peer.PoolStatus{
			Pool: s.Name, Size: int32(s.Size), Home: int32(s.Owned), Free: int32(s.Free),
			Busy: int32(s.Busy), Lent: int32(s.Lent), Borrowed: int32(s.Borrowed),
		})
	}
	return out
}

func toTokens(ls []slots.Lease) []*peer.Token {
	out := make([]*peer.Token, 0, len(ls))
	for _, l := range ls {
		out = append(out, &peer.Token{Pool: l.Pool, Index: int32(l.Index), Lease: l.Number})
	}
	return out
}

func fromTokens(ts []*peer.Token) []slots.Lease {
	out := make([]slots.Lease, 0, len(ts))
	for _, t := range ts {
		out = append(out, slots.Lease{Pool: t.GetPool(), Index: int(t.GetIndex()), Number: t.GetLease()})
	}
	return out
}
