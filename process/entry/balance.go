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

// Times of the borrowing of tokens.
const (
	balanceTime  = 100 * time.Millisecond
	upkeepTime   = 200 * time.Millisecond
	leaseTimeout = 250 * time.Millisecond
	// avoidTime is how long a peer that did not answer is not asked.
	avoidTime = time.Second
)

// balancer is the state of the borrowing at one member.
type balancer struct {
	e      *Entry
	avoid  map[string]time.Duration // peers that did not answer, until when
	upkeep time.Duration
}

// balanceLoop borrows tokens that requests lack, and keeps up or returns those
// that are borrowed.
func (e *Entry) balanceLoop(ctx context.Context) {
	b := &balancer{e: e, avoid: make(map[string]time.Duration)}
	t := time.NewTicker(balanceTime)
	defer t.Stop()
	for {
		select {
		case <-e.short:
		case <-t.C:
		case <-ctx.Done():
			return
		}
		if bd := e.steer.Active(); bd != nil {
			b.borrow(ctx, bd.View)
		}
		if now := e.now(); now-b.upkeep >= upkeepTime {
			b.upkeep = now
			b.keepUp(ctx)
		}
	}
}

// borrow asks peers for what is wanted, near ones first. Slots of a service
// that the own region lacks are asked for in the others.
func (b *balancer) borrow(ctx context.Context, v *version.View) {
	wants := b.e.slots.Wants(b.e.now())
	if len(wants) == 0 || !b.e.steer.ConfigFresh() {
		return
	}
	home := b.e.steer.RegionName()
	peers := b.peersByDistance(v)
	for _, w := range wants {
		left := b.ask(ctx, peers, w)
		if left == 0 || w.Pool != "" || w.Region != home {
			continue
		}
		for _, x := range v.Links[v.Region(home)] {
			w.Region, w.Tokens = v.Regions[x.To], left
			if left = b.ask(ctx, peers, w); left == 0 {
				break
			}
		}
	}
}

// ask borrows from one home of wanted tokens after the other and returns what
// is still wanted.
func (b *balancer) ask(ctx context.Context, peers []nearPeer, w slots.Want) int {
	lessors := b.e.slots.Lessors(w)
	for _, p := range peers {
		id := p.member.GetId()
		if w.Tokens <= 0 {
			return 0
		}
		if !lessors[id] || b.e.now() < b.avoid[id] {
			continue
		}
		w.Tokens -= b.lease(ctx, p.member, &peer.LeaseRequest{Wants: []*peer.Want{{
			Pool: w.Pool, Service: w.Service, Region: w.Region, Tokens: int32(w.Tokens),
		}}})
	}
	return max(0, w.Tokens)
}

// lease sends one request for tokens and returns how many came.
func (b *balancer) lease(ctx context.Context, m *peer.Member, req *peer.LeaseRequest) int {
	e := b.e
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	req.Holder = e.members.Self().GetId()
	client, err := e.peers.client(m.GetPeer())
	if err != nil {
		return 0
	}
	asked := e.now()
	reply, err := client.Lease(ctx, req)
	if err != nil {
		b.avoid[m.GetId()] = e.now() + avoidTime
		e.log.Debug().Err(err).Str("peer", m.GetId()).Msg("lease-failed")
		return 0
	}
	e.slots.ApplyRenewals(m.GetId(), fromTokens(reply.GetRenewed()), asked, e.now())
	granted := fromTokens(reply.GetGranted())
	e.slots.AddBorrowed(m.GetId(), granted, asked, e.now())
	return len(granted)
}

// keepUp renews leases and returns tokens.
func (b *balancer) keepUp(ctx context.Context) {
	e := b.e
	for lessor, u := range e.slots.MaintainLeases(e.now()) {
		m := e.members.Find(lessor)
		if m == nil {
			continue
		}
		if len(u.Return) > 0 {
			go e.giveBack(ctx, m, u.Return)
		}
		if len(u.Renew) > 0 {
			b.lease(ctx, m, &peer.LeaseRequest{Renew: toTokens(u.Renew)})
		}
	}
}

// giveBack returns borrowed tokens. If it fails, the lessor takes them back in
// time.
func (e *Entry) giveBack(ctx context.Context, m *peer.Member, leases []slots.Lease) {
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

// nearPeer is a member with its region.
type nearPeer struct {
	member   *peer.Member
	region   string
	distance int
}

// peersByDistance returns the live peers: the own hall, the own region, the
// rest; in random order where equally near.
func (b *balancer) peersByDistance(v *version.View) []nearPeer {
	e := b.e
	self := e.members.Self().GetId()
	home := e.steer.RegionName()
	var out []nearPeer
	for _, m := range e.members.Live(e.now()) {
		h := v.Hall(m.GetHall())
		if m.GetId() == self || h == version.None {
			continue
		}
		p := nearPeer{member: m, region: v.Regions[v.Halls[h].Region], distance: 2}
		if p.region == home {
			p.distance = 1
		}
		if m.GetHall() == e.settings.Hall {
			p.distance = 0
		}
		out = append(out, p)
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, func(a, b nearPeer) int { return a.distance - b.distance })
	return out
}
