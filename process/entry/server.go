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

// quickReconnect makes a connection to a peer that came back usable soon.
var quickReconnect = grpc.ConnectParams{
	Backoff: backoff.Config{
		BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second,
	},
	MinConnectTimeout: exchangeTimeout,
}

// peerServer answers other instances.
type peerServer struct {
	peer.UnimplementedPeerServer
	e *Entry
}

// Exchange takes up what the peer has and answers with what it lacks.
func (p *peerServer) Exchange(_ context.Context, in *peer.State) (*peer.State, error) {
	e := p.e
	e.absorb(in)
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
		out.Leaving = e.leavingFacts()
	}
	return out, nil
}

// Config answers with the whole configuration if it is newer.
func (p *peerServer) Config(_ context.Context, in *peer.ConfigRequest) (*peer.ConfigReply, error) {
	if _, _, ok := p.e.store.InForce(); !ok {
		return &peer.ConfigReply{}, nil
	}
	c := p.e.store.Config()
	if c.Seq <= in.GetSeq() {
		return &peer.ConfigReply{}, nil
	}
	b, err := json.Marshal(c.Snapshot())
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return &peer.ConfigReply{Snapshot: b}, nil
}

// Lease lends tokens and lengthens leases.
func (p *peerServer) Lease(_ context.Context, in *peer.LeaseRequest) (*peer.LeaseReply, error) {
	e := p.e
	now := e.now()
	out := &peer.LeaseReply{}
	if !e.steer.ConfigFresh() {
		return out, nil // what is held may have a new home already
	}
	out.Renewed = toTokens(e.slots.Renew(in.GetHolder(), fromTokens(in.GetRenew()), now))
	for _, w := range in.GetWants() {
		want := slots.Want{Pool: w.GetPool(), Service: w.GetService(), Region: w.GetRegion(), Tokens: int(w.GetTokens())}
		out.Granted = append(out.Granted, toTokens(e.slots.Lend(in.GetHolder(), want, now))...)
	}
	return out, nil
}

// Return takes lent tokens back.
func (p *peerServer) Return(_ context.Context, in *peer.ReturnRequest) (*peer.ReturnReply, error) {
	p.e.slots.AcceptReturns(in.GetHolder(), fromTokens(in.GetTokens()), p.e.now())
	return &peer.ReturnReply{}, nil
}

// Inherit takes over the tickets of a leaving instance.
func (p *peerServer) Inherit(_ context.Context, in *peer.InheritRequest) (*peer.InheritReply, error) {
	if p.e.members.Leaving() {
		return nil, status.Error(codes.FailedPrecondition, "leaving too")
	}
	bk := ticket.Handover{Member: in.GetFrom(), Key: in.GetKey(), Age: time.Duration(in.GetAgeMs()) * time.Millisecond}
	for _, r := range in.GetRecords() {
		rec := ticket.Record{Outcome: ticket.Outcome{Status: int(r.GetStatus()), Body: r.GetBody(), Retained: r.GetKept()}}
		copy(rec.Nonce[:], r.GetNonce())
		if err := json.Unmarshal(r.GetHeader(), &rec.Outcome.Header); err != nil {
			rec.Outcome.Retained = false
		}
		bk.Records = append(bk.Records, rec)
	}
	if err := p.e.ledger.Inherit(bk); err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	return &peer.InheritReply{}, nil
}

// Status tells what is in force here.
func (p *peerServer) Status(context.Context, *peer.StatusRequest) (*peer.StatusReply, error) {
	return p.e.status(), nil
}

// status is what the entry tells of itself.
func (e *Entry) status() *peer.StatusReply {
	now := e.now()
	out := &peer.StatusReply{Self: e.members.Self(), Epoch: e.slots.Split().Epoch, Leaving: e.leavingFacts()}
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
