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
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"shalewick/clock"
)

const (
	// remoteTargets is the number of instances of other regions that get each heartbeat.
	remoteTargets = 1
	// maxRegionBytes bounds the heartbeat traffic to the instance's own region per interval, in
	// bytes: with two heartbeats a second and the datagram headers it stays below 4 KB/s.
	maxRegionBytes = 1750
	// memberBytes is the typical encoded size of one Member, and livenessBytes that of one
	// liveness entry.
	memberBytes = 120
	// maxObservationBytes bounds the observations about backend servers in a datagram. They
	// take space from the liveness entries.
	maxObservationBytes = 180
	livenessBytes       = len(livenessEntry{})
	// minRegionTargets is the minimum number of instances of the region that get each
	// heartbeat: with fewer, gossip spreads too slowly. In a region with no more other
	// instances all receive each heartbeat directly, and no gossip is needed.
	minRegionTargets = 4
)

// Gossiper exchanges heartbeats with the other instances over UDP. In a small region each instance
// sends its heartbeat to all others. In a larger one it sends to a random few and adds when it last
// knew the others to be live: gossip as in van Renesse, Minsky, Hayden, "A gossip-style failure
// detection service" (1998). Where a datagram cannot hold the entries of the whole region, it
// probes a few instances instead (probe.go). Thus the traffic of an instance does not grow with the
// region.
type Gossiper struct {
	// The fields below are set before Run.
	//
	// Observations, if set, returns at most size bytes of observations about backend servers to
	// gossip; OnObservations is called with those of another instance.
	Observations   func(size int) []byte
	OnObservations func(observations []byte)
	// RequestMembers, if set, requests the member list of the instance at an address. It may
	// block for long.
	RequestMembers func(address string)
	// OnMessage, if set, is called with each message of a known instance and its address. It
	// must not retain the data.
	OnMessage func(from string, data []byte)
	// Digest, if set, returns a digest of the state that all instances should share, and
	// OnDigestMismatch is called with the address of an instance whose digest differs.
	Digest           func() uint64
	OnDigestMismatch func(address string)

	members *Members
	socket  *net.UDPConn
	raw     syscall.RawConn // of socket
	sent    atomic.Int64
	wake    chan struct{} // signals pending work before the next heartbeat
}

// Sent returns the number of datagrams sent.
func (g *Gossiper) Sent() int64 { return g.sent.Load() }

// NewGossiper returns a Gossiper that uses a socket. It closes the socket when Run ends.
func NewGossiper(members *Members, socket *net.UDPConn) (*Gossiper, error) {
	raw, err := socket.SyscallConn()
	if err != nil {
		_ = socket.Close()
		return nil, errors.Trace(err)
	}
	return &Gossiper{members: members, socket: socket, raw: raw, wake: make(chan struct{}, 1)}, nil
}

// Run sends and receives until the context is done.
func (g *Gossiper) Run(ctx context.Context) {
	go g.receive()
	for {
		g.sendHeartbeat()
		if !g.waitForHeartbeat(ctx, HeartbeatInterval-HeartbeatInterval/10+rand.N(HeartbeatInterval/5)) {
			break
		}
	}
	_ = g.socket.Close() // ends receive
}

// waitForHeartbeat waits until the next heartbeat is due and meanwhile advances pending probes. It
// returns false when the context is done.
func (g *Gossiper) waitForHeartbeat(ctx context.Context, d time.Duration) bool {
	for end := g.members.now() + d; ; {
		left := end - g.members.now()
		if left <= 0 {
			return ctx.Err() == nil
		}
		if !g.members.hasPendingWork() {
			if !g.waitForWork(ctx, left) {
				return false
			}
			continue
		}
		due := g.members.now() + min(left, ProbeCheckInterval)
		if !clock.Sleep(ctx, min(left, ProbeCheckInterval)) {
			return false
		}
		g.sendOutgoing(g.members.advance(g.members.now()-due > stallThreshold))
	}
}

// waitForWork waits for a duration, or until there is pending work. It returns false when the
// context is done.
func (g *Gossiper) waitForWork(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-g.wake:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

func (g *Gossiper) sendOutgoing(all []outgoing) {
	for _, x := range all {
		g.send([]Member{{Peer: x.to}}, x.datagram)
	}
}

func (g *Gossiper) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := g.socket.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(HeartbeatInterval / 10) // the error may stem from an earlier datagram that was rejected
			continue
		}
		if n > 0 && buf[0] == messagePrefix {
			g.handleMessage(from, buf[1:n])
			continue
		}
		d, err := decodeDatagram(buf[:n])
		if err != nil {
			continue // not from an instance
		}
		if g.members.receive(&d) && g.RequestMembers != nil {
			go g.RequestMembers(d.Self.Peer)
		}
		g.sendOutgoing(g.members.respond(&d))
		if g.members.hasPendingWork() {
			select {
			case g.wake <- struct{}{}:
			default: // a signal is already pending
			}
		}
		if g.OnObservations != nil && len(d.Observations) > 0 {
			g.OnObservations(d.Observations)
		}
		// An instance with a zero digest has no state to send, and requests the state itself.
		if g.Digest != nil && d.Digest != 0 && d.Digest != g.Digest() {
			g.OnDigestMismatch(d.Self.Peer)
		}
	}
}

// handleMessage passes on a message, unless its sender is unknown.
func (g *Gossiper) handleMessage(from netip.AddrPort, data []byte) {
	address := netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String()
	if g.OnMessage != nil && g.members.markSeenAddress(address) {
		g.OnMessage(address, data)
	}
}

// sendHeartbeat sends a heartbeat to some instances of the region and of other regions.
func (g *Gossiper) sendHeartbeat() {
	local, remote, withLiveness := g.members.heartbeatTargets()
	var observations []byte
	if g.Observations != nil {
		observations = g.Observations(maxObservationBytes)
	}
	d := g.members.gossip(withLiveness)
	d.Observations = observations
	if g.Digest != nil {
		d.Digest = g.Digest()
	}
	d.Liveness = d.Liveness[:min(len(d.Liveness), maxLiveness*livenessBytes-len(observations)/livenessBytes*livenessBytes)]
	if g.members.UsesProbing() {
		g.sendOutgoing(g.members.probeDatagrams(d))
	} else {
		g.send(local, d)
	}
	d.Liveness = nil
	g.send(remote, d)
}

// heartbeatTargets returns the recipients of the next heartbeat in the own region and in others, and
// whether those of the region need liveness entries about others.
func (m *Members) heartbeatTargets() (local, remote []Member, withLiveness bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.countRegionPeers()
	if m.usesProbing() {
		return nil, m.sampleRemote(remoteTargets), false
	}
	next := 0 // index in local of the first instance that follows this one by name
	for _, ps := range m.sorted {
		switch {
		case ps.Region != m.self.Region:
			remote = append(remote, ps.Member)
			continue
		case ps.Name < m.self.Name:
			next = len(local) + 1
		}
		local = append(local, ps.Member)
	}
	remote = sample(m.shuffle, remote, remoteTargets)
	withLiveness = len(local) > minRegionTargets
	size := memberBytes + livenessBytes*min(len(local), maxLiveness)
	if n := max(minRegionTargets, maxRegionBytes/size); n < len(local) {
		local = m.successorsAndSample(local, next, n)
	}
	return local, remote, withLiveness
}

// sampleRemote returns up to n random instances of other regions. The caller holds the lock.
func (m *Members) sampleRemote(n int) []Member {
	var remote []*peerState
	for _, ps := range m.sorted {
		if ps.Region != m.self.Region {
			remote = append(remote, ps)
		}
	}
	return toMembers(sample(m.shuffle, remote, n))
}

// successorsAndSample returns the two members from index next on, so that none is left out by
// chance, and n-2 random others, so that gossip spreads widely.
func (m *Members) successorsAndSample(local []Member, next, n int) []Member {
	local = slices.Concat(local[next:], local[:next])
	return append(local[:2:2], sample(m.shuffle, local[2:], n-2)...)
}

const (
	// MaxSmallFleet is the number of other instances up to which a fleet counts as small: each
	// instance then announces its start and stop to all. When all start together each sends that
	// many announcements, so their size matters: 110 bytes without NewInstances
	// (TestAnnouncementSize).
	MaxSmallFleet = 100
	// announceFanout is the number of instances that an announcement goes to in a larger fleet.
	announceFanout = 30
)

// Announce sends the state of this instance to others when it starts or leaves: to all in a small
// fleet, and in a large one to the nearest, which spread it.
func (g *Gossiper) Announce() {
	g.send(g.members.announceTargets(), g.members.announcement())
}

// announceTargets returns the recipients of an announcement: all instances, or in a large fleet
// a sample that prefers the own hall, then the region.
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

// SendToRegion sends a heartbeat to all instances of the region at once.
func (g *Gossiper) SendToRegion() {
	var local []Member
	region := g.members.Self().Region
	for _, m := range g.members.Others() {
		if m.Region == region {
			local = append(local, m)
		}
	}
	g.send(local, g.members.gossip(false))
}

// AnnounceTo sends an announcement to one address.
func (g *Gossiper) AnnounceTo(address string) {
	g.send([]Member{{Peer: address}}, g.members.announcement())
}

func (g *Gossiper) send(to []Member, d datagram) {
	data, err := marshal(d)
	if err != nil {
		return // can't happen: every field can be encoded
	}
	for _, m := range to {
		g.sendTo(m.Peer, data)
	}
}

func (g *Gossiper) sendTo(address string, data []byte) {
	if addr, err := netip.ParseAddrPort(address); err == nil && addr.Addr().Is4() {
		g.sent.Add(1)
		_ = sendNow(g.raw, data, &unix.SockaddrInet4{Addr: addr.Addr().As4(), Port: int(addr.Port())}) // the protocol tolerates lost datagrams
	}
}

// sendNow sends a datagram, or returns EAGAIN if the send buffer of the socket is full. It never waits: datagrams to a machine
// that is gone, or over a congested link, fill the buffer for seconds.
func sendNow(socket syscall.RawConn, data []byte, to unix.Sockaddr) (err error) {
	if closed := socket.Write(func(fd uintptr) bool {
		err = unix.Sendto(int(fd), data, 0, to)
		return true
	}); closed != nil {
		return closed
	}
	return err
}
