// SPDX-License-Identifier: MIT

package cluster

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"shalewick/clock"
)

const (
	// farTold is the number of instances of other regions that are told at each
	// beat.
	remoteTargets = 1
	// beatBytes bounds what is sent to the own region at each beat, in bytes: with
	// two beats a second and the headers of datagrams it stays below 4 KB/s.
	maxRegionBytes = 1750
	// memberBytes is the usual size of what a datagram says of one instance, and
	// newsBytes that of news of one.
	memberBytes = 120
	// observationBytes bounds what a datagram tells of backend servers, in bytes. It
	// takes the place of news.
	maxObservationBytes = 180
	livenessBytes       = len(livenessEntry{})
	// leastTold is the number of instances of the region that are told at each
	// beat at least: with fewer, news spreads too slowly. Where there are no more
	// others, all hear each other at each beat, and no news is needed.
	minRegionTargets = 4
)

// Beats sends and receives the datagrams that tell who is alive. In a small region
// each instance tells all others at each beat. In a larger one it tells a few, any
// of them, and passes on what it has heard of the others: gossip as in van Renesse,
// Minsky, Hayden, "A gossip-style failure detection service" (1998). In one so large that a
// datagram does not hold the news of all it probes a few (probe.go). So what an instance sends
// does not grow with the region.
type Gossiper struct {
	// What follows is set before Run.
	//
	// Observations, if set, returns what others should know of backend servers, in at
	// most so many bytes, and Hear takes up what another instance told.
	Observations   func(size int) []byte
	OnObservations func(observations []byte)
	// Ask, if set, asks the instance at an address which others there are, and
	// may take long.
	RequestMembers func(address string)
	// Message, if set, takes up a message of another instance that is known, from
	// its address. It must not keep the text.
	OnMessage func(from string, text []byte)
	// Digest, if set, returns what all instances should have the same of, and Differs is
	// called with the address of one that has not.
	Digest           func() uint64
	OnDigestMismatch func(address string)

	members *Members
	socket  *net.UDPConn
	sent    atomic.Int64
	wake    chan struct{} // there is something to look at before the next beat
}

// Sent returns the number of datagrams that were sent.
func (b *Gossiper) Sent() int64 { return b.sent.Load() }

// Listen opens the socket of the beats.
func Listen(members *Members) (*Gossiper, error) {
	addr, err := net.ResolveUDPAddr("udp4", members.Self().Peer)
	if err != nil {
		return nil, errors.Trace(err)
	}
	s, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, errors.Annotate(err, "listen for beats")
	}
	return &Gossiper{members: members, socket: s, wake: make(chan struct{}, 1)}, nil
}

// Run sends and receives until the context ends.
func (b *Gossiper) Run(ctx context.Context) {
	go b.receive()
	for {
		b.sendHeartbeat()
		if !b.waitForHeartbeat(ctx, HeartbeatInterval-HeartbeatInterval/10+rand.N(HeartbeatInterval/5)) {
			break
		}
	}
	_ = b.socket.Close() // ends receive
}

// pause waits until the next beat, and looks at the answers of those that were probed meanwhile.
// It reports whether the context goes on.
func (b *Gossiper) waitForHeartbeat(ctx context.Context, d time.Duration) bool {
	for end := b.members.now() + d; ; {
		left := end - b.members.now()
		if left <= 0 {
			return ctx.Err() == nil
		}
		if !b.members.hasPendingWork() {
			if !b.waitForWork(ctx, left) {
				return false
			}
			continue
		}
		due := b.members.now() + min(left, ProbeCheckInterval)
		if !clock.Sleep(ctx, min(left, ProbeCheckInterval)) {
			return false
		}
		b.sendOutgoing(b.members.advance(b.members.now()-due > stallThreshold))
	}
}

// awaitMore waits for a time, or until there is something to look at. It reports whether the
// context goes on.
func (b *Gossiper) waitForWork(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-b.wake:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

func (b *Gossiper) sendOutgoing(all []outgoing) {
	for _, x := range all {
		b.send([]Member{{Peer: x.to}}, x.datagram)
	}
}

func (b *Gossiper) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := b.socket.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(HeartbeatInterval / 10) // an earlier datagram was refused
			continue
		}
		if n > 0 && buf[0] == messagePrefix {
			b.handleMessage(from, buf[1:n])
			continue
		}
		d, err := decodeDatagram(buf[:n])
		if err != nil {
			continue // it is not of another instance
		}
		if b.members.receive(&d) && b.RequestMembers != nil {
			go b.RequestMembers(d.Self.Peer)
		}
		b.sendOutgoing(b.members.respond(&d))
		if b.members.hasPendingWork() {
			select {
			case b.wake <- struct{}{}:
			default: // it is known already
			}
		}
		if b.OnObservations != nil && len(d.Observations) > 0 {
			b.OnObservations(d.Observations)
		}
		// One that knows of nothing can tell nothing, and asks by itself.
		if b.Digest != nil && d.Digest != 0 && d.Digest != b.Digest() {
			b.OnDigestMismatch(d.Self.Peer)
		}
	}
}

// hearMessage takes up a message, unless its sender is not known.
func (b *Gossiper) handleMessage(from netip.AddrPort, text []byte) {
	address := netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String()
	if b.OnMessage != nil && b.members.markSeenAddress(address) {
		b.OnMessage(address, text)
	}
}

// sendSome tells some of the own region, and a few others, that this one is alive.
func (b *Gossiper) sendHeartbeat() {
	near, far, withLiveness := b.members.heartbeatTargets()
	var seen []byte
	if b.Observations != nil {
		seen = b.Observations(maxObservationBytes)
	}
	d := b.members.gossip(withLiveness)
	d.Observations = seen
	if b.Digest != nil {
		d.Digest = b.Digest()
	}
	d.Liveness = d.Liveness[:min(len(d.Liveness), maxLiveness*livenessBytes-len(seen)/livenessBytes*livenessBytes)]
	if b.members.UsesProbing() {
		b.sendOutgoing(b.members.probeDatagrams(d))
	} else {
		b.send(near, d)
	}
	d.Liveness = nil
	b.send(far, d)
}

// listeners returns whom to tell at a beat, and whether those of the own region
// need to be told of others.
func (m *Members) heartbeatTargets() (near, far []Member, withLiveness bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.countNear()
	if m.usesProbing() {
		return nil, m.sampleRemote(remoteTargets), false
	}
	next := 0 // of the own region in the order of names
	for _, ps := range m.sorted {
		switch {
		case ps.Region != m.self.Region:
			far = append(far, ps.Member)
			continue
		case ps.Name < m.self.Name:
			next = len(near) + 1
		}
		near = append(near, ps.Member)
	}
	far = sample(m.shuffle, far, remoteTargets)
	withLiveness = len(near) > minRegionTargets
	size := memberBytes + livenessBytes*min(len(near), maxLiveness)
	if n := max(minRegionTargets, maxRegionBytes/size); n < len(near) {
		near = m.successorsAndSample(near, next, n)
	}
	return near, far, withLiveness
}

// anyFar returns up to n instances of other regions, any of them. The caller holds the lock.
func (m *Members) sampleRemote(n int) []Member {
	var far []*peerState
	for _, ps := range m.sorted {
		if ps.Region != m.self.Region {
			far = append(far, ps)
		}
	}
	return toMembers(sample(m.shuffle, far, n))
}

// nextAndSome returns the two members that follow a place, so that nobody is left
// out by chance, and any others, so that news travels far.
func (m *Members) successorsAndSample(near []Member, next, n int) []Member {
	near = slices.Concat(near[next:], near[:next])
	return append(near[:2:2], sample(m.shuffle, near[2:], n-2)...)
}

const (
	// MostIntroduced is the number of instances up to which each tells all of itself as it starts
	// or leaves. When all start together each tells that many, so that it counts how small a
	// message is: without rumours 110 bytes (TestIntroductionIsSmall).
	MaxSmallFleet = 100
	// fewIntroduced is how many of a larger fleet it tells.
	announceFanout = 30
)

// SendAll tells the other instances of this one alone, as when it starts or leaves: all of a small
// fleet, and the nearest of a large one, which tell others.
func (b *Gossiper) Announce() {
	b.send(b.members.announceTargets(), b.members.announcement())
}

// introduced returns the instances that one tells of itself: all, or in a large fleet some, those
// of the own hall first, then those of the region.
func (m *Members) announceTargets() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	distance := func(ps *peerState) int {
		switch {
		case ps.Region != m.self.Region:
			return 2
		case ps.Hall != m.self.Hall:
			return 1
		}
		return 0
	}
	all := slices.Clone(m.sorted)
	if len(all) > MaxSmallFleet {
		m.shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		slices.SortStableFunc(all, func(a, b *peerState) int { return cmp.Compare(distance(a), distance(b)) })
		all = all[:announceFanout]
	}
	return toMembers(all)
}

// SendNear tells those of the own region.
func (b *Gossiper) SendToRegion() {
	var near []Member
	region := b.members.Self().Region
	for _, m := range b.members.Others() {
		if m.Region == region {
			near = append(near, m)
		}
	}
	b.send(near, b.members.gossip(false))
}

// Introduce tells the instance at an address of this one alone.
func (b *Gossiper) AnnounceTo(address string) {
	b.send([]Member{{Peer: address}}, b.members.announcement())
}

func (b *Gossiper) send(to []Member, d datagram) {
	text, err := marshal(d)
	if err != nil {
		return // it holds nothing that can't be encoded
	}
	for _, m := range to {
		b.sendTo(m.Peer, text)
	}
}

func (b *Gossiper) sendTo(address string, text []byte) {
	if addr, err := netip.ParseAddrPort(address); err == nil {
		b.sent.Add(1)
		_, _ = b.socket.WriteToUDPAddrPort(text, addr) // lost datagrams are allowed for
	}
}
