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
	farTold = 1
	// beatBytes bounds what is sent to the own region at each beat, in bytes: with
	// two beats a second and the headers of datagrams it stays below 4 KB/s.
	beatBytes = 1750
	// memberBytes is the usual size of what a datagram says of one instance, and
	// newsBytes that of news of one.
	memberBytes = 120
	// observationBytes bounds what a datagram tells of backend servers, in bytes. It
	// takes the place of news.
	observationBytes = 180
	newsBytes        = len(news{})
	// leastTold is the number of instances of the region that are told at each
	// beat at least: with fewer, news spreads too slowly. Where there are no more
	// others, all hear each other at each beat, and no news is needed.
	leastTold = 4
)

// Beats sends and receives the datagrams that tell who is alive. In a small region
// each instance tells all others at each beat. In a larger one it tells a few, any
// of them, and passes on what it has heard of the others: gossip as in van Renesse,
// Minsky, Hayden, "A gossip-style failure detection service" (1998). In one so large that a
// datagram does not hold the news of all it probes a few (probe.go). So what an instance sends
// does not grow with the region.
type Beats struct {
	// What follows is set before Run.
	//
	// Observations, if set, returns what others should know of backend servers, in at
	// most so many bytes, and Hear takes up what another instance told.
	Observations func(size int) []byte
	Hear         func(observations []byte)
	// Ask, if set, asks the instance at an address which others there are, and
	// may take long.
	Ask func(address string)
	// Message, if set, takes up a message of another instance that is known, from
	// its address. It must not keep the text.
	Message func(from string, text []byte)
	// Digest, if set, returns what all instances should have the same of, and Differs is
	// called with the address of one that has not.
	Digest  func() uint64
	Differs func(address string)

	members *Members
	socket  *net.UDPConn
	sent    atomic.Int64
	more    chan struct{} // there is something to look at before the next beat
}

// Sent returns the number of datagrams that were sent.
func (b *Beats) Sent() int64 { return b.sent.Load() }

// Listen opens the socket of the beats.
func Listen(members *Members) (*Beats, error) {
	addr, err := net.ResolveUDPAddr("udp4", members.Self().Peer)
	if err != nil {
		return nil, errors.Trace(err)
	}
	s, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, errors.Annotate(err, "listen for beats")
	}
	return &Beats{members: members, socket: s, more: make(chan struct{}, 1)}, nil
}

// Run sends and receives until the context ends.
func (b *Beats) Run(ctx context.Context) {
	go b.receive()
	for {
		b.sendSome()
		if !b.pause(ctx, Beat-Beat/10+rand.N(Beat/5)) {
			break
		}
	}
	_ = b.socket.Close() // ends receive
}

// pause waits until the next beat, and looks at the answers of those that were probed meanwhile.
// It reports whether the context goes on.
func (b *Beats) pause(ctx context.Context, d time.Duration) bool {
	for end := b.members.now() + d; ; {
		left := end - b.members.now()
		if left <= 0 {
			return ctx.Err() == nil
		}
		if !b.members.pending() {
			if !b.awaitMore(ctx, left) {
				return false
			}
			continue
		}
		due := b.members.now() + min(left, Tick)
		if !clock.Sleep(ctx, min(left, Tick)) {
			return false
		}
		b.sendOut(b.members.tick(b.members.now()-due > stoodStill))
	}
}

// awaitMore waits for a time, or until there is something to look at. It reports whether the
// context goes on.
func (b *Beats) awaitMore(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-b.more:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

func (b *Beats) sendOut(all []outgoing) {
	for _, x := range all {
		b.send([]Member{{Peer: x.to}}, x.d)
	}
}

func (b *Beats) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := b.socket.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(Beat / 10) // an earlier datagram was refused
			continue
		}
		if n > 0 && buf[0] == messageMark {
			b.hearMessage(from, buf[1:n])
			continue
		}
		d, err := decodeDatagram(buf[:n])
		if err != nil {
			continue // it is not of another instance
		}
		if b.members.hear(&d) && b.Ask != nil {
			go b.Ask(d.Self.Peer)
		}
		b.sendOut(b.members.respond(&d))
		if b.members.pending() {
			select {
			case b.more <- struct{}{}:
			default: // it is known already
			}
		}
		if b.Hear != nil && len(d.Observations) > 0 {
			b.Hear(d.Observations)
		}
		// One that knows of nothing can tell nothing, and asks by itself.
		if b.Digest != nil && d.Digest != 0 && d.Digest != b.Digest() {
			b.Differs(d.Self.Peer)
		}
	}
}

// hearMessage takes up a message, unless its sender is not known.
func (b *Beats) hearMessage(from netip.AddrPort, text []byte) {
	address := netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String()
	if b.Message != nil && b.members.heardPeer(address) {
		b.Message(address, text)
	}
}

// sendSome tells some of the own region, and a few others, that this one is alive.
func (b *Beats) sendSome() {
	near, far, withNews := b.members.listeners()
	var seen []byte
	if b.Observations != nil {
		seen = b.Observations(observationBytes)
	}
	d := b.members.tell(withNews)
	d.Observations = seen
	if b.Digest != nil {
		d.Digest = b.Digest()
	}
	d.News = d.News[:min(len(d.News), mostNews*newsBytes-len(seen)/newsBytes*newsBytes)]
	if b.members.Probes() {
		b.sendOut(b.members.probeSome(d))
	} else {
		b.send(near, d)
	}
	d.News = nil
	b.send(far, d)
}

// listeners returns whom to tell at a beat, and whether those of the own region
// need to be told of others.
func (m *Members) listeners() (near, far []Member, withNews bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.countNear()
	if m.probes() {
		return nil, m.anyFar(farTold), false
	}
	next := 0 // of the own region in the order of names
	for _, k := range m.order {
		switch {
		case k.Region != m.self.Region:
			far = append(far, k.Member)
			continue
		case k.Name < m.self.Name:
			next = len(near) + 1
		}
		near = append(near, k.Member)
	}
	far = some(m.shuffle, far, farTold)
	withNews = len(near) > leastTold
	size := memberBytes + newsBytes*min(len(near), mostNews)
	if n := max(leastTold, beatBytes/size); n < len(near) {
		near = m.nextAndSome(near, next, n)
	}
	return near, far, withNews
}

// anyFar returns up to n instances of other regions, any of them. The caller holds the lock.
func (m *Members) anyFar(n int) []Member {
	var far []*known
	for _, k := range m.order {
		if k.Region != m.self.Region {
			far = append(far, k)
		}
	}
	return plain(some(m.shuffle, far, n))
}

// nextAndSome returns the two members that follow a place, so that nobody is left
// out by chance, and any others, so that news travels far.
func (m *Members) nextAndSome(near []Member, next, n int) []Member {
	near = slices.Concat(near[next:], near[:next])
	return append(near[:2:2], some(m.shuffle, near[2:], n-2)...)
}

const (
	// MostIntroduced is the number of instances up to which each tells all of itself as it starts
	// or leaves. When all start together each tells that many, so that it counts how small a
	// message is: without rumours 110 bytes (TestIntroductionIsSmall).
	MostIntroduced = 100
	// fewIntroduced is how many of a larger fleet it tells.
	fewIntroduced = 30
)

// SendAll tells the other instances of this one alone, as when it starts or leaves: all of a small
// fleet, and the nearest of a large one, which tell others.
func (b *Beats) SendAll() {
	b.send(b.members.introduced(), b.members.introduction())
}

// introduced returns the instances that one tells of itself: all, or in a large fleet some, those
// of the own hall first, then those of the region.
func (m *Members) introduced() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	distance := func(k *known) int {
		switch {
		case k.Region != m.self.Region:
			return 2
		case k.Hall != m.self.Hall:
			return 1
		}
		return 0
	}
	all := slices.Clone(m.order)
	if len(all) > MostIntroduced {
		m.shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		slices.SortStableFunc(all, func(a, b *known) int { return cmp.Compare(distance(a), distance(b)) })
		all = all[:fewIntroduced]
	}
	return plain(all)
}

// SendNear tells those of the own region.
func (b *Beats) SendNear() {
	var near []Member
	region := b.members.Self().Region
	for _, m := range b.members.All() {
		if m.Region == region {
			near = append(near, m)
		}
	}
	b.send(near, b.members.tell(false))
}

// Introduce tells the instance at an address of this one alone.
func (b *Beats) Introduce(address string) {
	b.send([]Member{{Peer: address}}, b.members.introduction())
}

func (b *Beats) send(to []Member, d datagram) {
	text, err := marshal(d)
	if err != nil {
		return // it holds nothing that can't be encoded
	}
	for _, m := range to {
		b.sendTo(m.Peer, text)
	}
}

func (b *Beats) sendTo(address string, text []byte) {
	if addr, err := netip.ParseAddrPort(address); err == nil {
		b.sent.Add(1)
		_, _ = b.socket.WriteToUDPAddrPort(text, addr) // lost datagrams are allowed for
	}
}
