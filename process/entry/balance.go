// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"shalewick/process/peer"
	"shalewick/process/slots"
	"shalewick/version"
)

// Intervals and timeouts of the borrowing of tokens.
const (
	borrowInterval = 100 * time.Millisecond
	renewInterval  = 200 * time.Millisecond
	leaseTimeout   = 250 * time.Millisecond
	// peerBackoff is how long no tokens are requested from an unresponsive peer.
	peerBackoff = time.Second
)

// borrower holds a member's state of borrowing tokens.
type borrower struct {
	entry        *Entry
	backoffUntil map[string]time.Duration // by id of an unresponsive peer
	lastRenewal  time.Duration
}

// borrowLoop borrows tokens for waiting requests, renews the leases that are
// in use and returns the other borrowed tokens.
func (e *Entry) borrowLoop(ctx context.Context) {
	b := &borrower{entry: e, backoffUntil: make(map[string]time.Duration)}
	t := time.NewTicker(borrowInterval)
	defer t.Stop()
	for {
		select {
		case <-e.tokenShortage:
		case <-t.C:
		case <-ctx.Done():
			return
		}
		if bound := e.steer.Active(); bound != nil {
			b.borrow(ctx, bound.View)
		}
		if now := e.now(); now-b.lastRenewal >= renewInterval {
			b.lastRenewal = now
			b.renewAndReturn(ctx)
		}
	}
}

// borrow requests the wanted tokens from peers, nearest first. Slots of a
// service that the own region can't supply are requested from other regions.
func (b *borrower) borrow(ctx context.Context, v *version.View) {
	wants := b.entry.slots.Wants(b.entry.now())
	if len(wants) == 0 || !b.entry.steer.ConfigFresh() {
		return
	}
	ownRegion := b.entry.steer.RegionName()
	peers := b.peersByDistance(v)
	for _, want := range wants {
		missing := b.requestTokens(ctx, peers, want)
		if missing == 0 || want.Pool != "" || want.Region != ownRegion {
			continue
		}
		for _, crossing := range v.Links[v.Region(ownRegion)] {
			want.Region, want.Tokens = v.Regions[crossing.To], missing
			if missing = b.requestTokens(ctx, peers, want); missing == 0 {
				break
			}
		}
	}
}

// requestTokens borrows from one owner of wanted tokens after another and
// returns how many tokens are still missing.
func (b *borrower) requestTokens(ctx context.Context, peers []rankedPeer, want slots.Want) int {
	lessors := b.entry.slots.Lessors(want)
	for _, p := range peers {
		id := p.member.GetId()
		if want.Tokens <= 0 {
			return 0
		}
		if !lessors[id] || b.entry.now() < b.backoffUntil[id] {
			continue
		}
		want.Tokens -= b.requestLease(ctx, p.member, &peer.LeaseRequest{Wants: []*peer.Want{{
			Pool: want.Pool, Service: want.Service, Region: want.Region, Tokens: int32(want.Tokens),
		}}})
	}
	return max(0, want.Tokens)
}

// requestLease sends one lease request and returns the number of granted tokens.
func (b *borrower) requestLease(ctx context.Context, m *peer.Member, req *peer.LeaseRequest) int {
	e := b.entry
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	req.Holder = e.members.Self().GetId()
	client, err := e.peers.client(m.GetPeer())
	if err != nil {
		return 0
	}
	sentAt := e.now()
	reply, err := client.Lease(ctx, req)
	if err != nil {
		b.backoffUntil[m.GetId()] = e.now() + peerBackoff
		e.log.Debug().Err(err).Str("peer", m.GetId()).Msg("lease-failed")
		return 0
	}
	e.slots.ApplyRenewals(m.GetId(), fromTokens(reply.GetRenewed()), sentAt, e.now())
	granted := fromTokens(reply.GetGranted())
	e.slots.AddBorrowed(m.GetId(), granted, sentAt, e.now())
	return len(granted)
}

// renewAndReturn renews leases in use and returns tokens that are not needed.
func (b *borrower) renewAndReturn(ctx context.Context) {
	e := b.entry
	for lessor, upkeep := range e.slots.MaintainLeases(e.now()) {
		m := e.members.Find(lessor)
		if m == nil {
			continue
		}
		if len(upkeep.Return) > 0 {
			go e.returnTokens(ctx, m, upkeep.Return)
		}
		if len(upkeep.Renew) > 0 {
			b.requestLease(ctx, m, &peer.LeaseRequest{Renew: toTokens(upkeep.Renew)})
		}
	}
}

// returnTokens returns borrowed tokens. If that fails, the lessor gets them
// back when the leases expire.
func (e *Entry) returnTokens(ctx context.Context, m *peer.Member, leases []slots.Lease) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	client, err := e.peers.client(m.GetPeer())
	if err != nil {
		return
	}
	req := &peer.ReturnRequest{Holder: e.members.Self().GetId(), Tokens: toTokens(leases)}
	if _, err := client.Return(ctx, req); err != nil {
		e.log.Debug().Err(err).Str("peer", m.GetId()).Msg("return-failed")
	}
}

// rankedPeer is a member with its region and its distance from this one: 0 in
// the same hall, 1 in the same region, else 2.
type rankedPeer struct {
	member   *peer.Member
	region   string
	distance int
}

// peersByDistance returns the live peers ordered by distance, and in random
// order at equal distance.
func (b *borrower) peersByDistance(v *version.View) []rankedPeer {
	e := b.entry
	self := e.members.Self().GetId()
	ownRegion := e.steer.RegionName()
	var out []rankedPeer
	for _, m := range e.members.Live(e.now()) {
		h := v.Hall(m.GetHall())
		if m.GetId() == self || h == version.None {
			continue
		}
		p := rankedPeer{member: m, region: v.Regions[v.Halls[h].Region], distance: 2}
		if p.region == ownRegion {
			p.distance = 1
		}
		if m.GetHall() == e.settings.Hall {
			p.distance = 0
		}
		out = append(out, p)
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, func(a, b rankedPeer) int { return a.distance - b.distance })
	return out
}
