// SPDX-License-Identifier: MIT

package cluster

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/juju/errors"

	"shalewick/clock"
)

const (
	// farBeats is the number of instances of other regions that a datagram is
	// sent to at each beat.
	farBeats = 2
	// nearBeats bounds those of the own region. If there are more, they take
	// turns.
	nearBeats = 24
	// maxDatagram bounds a datagram in bytes.
	maxDatagram = 2048
)

// Beats sends and receives the datagrams that tell who is alive.
type Beats struct {
	members *Members
	socket  *net.UDPConn
	turn    int // of the next of the own region
}

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
	return &Beats{members: members, socket: s}, nil
}

// Run sends and receives until the context ends.
func (b *Beats) Run(ctx context.Context) {
	go b.receive()
	for {
		b.sendSome()
		pause := Beat - Beat/10 + rand.N(Beat/5)
		if !clock.Sleep(ctx, pause) {
			break
		}
	}
	_ = b.socket.Close() // ends receive
}

func (b *Beats) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := b.socket.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(Beat / 10) // an earlier datagram was refused
			continue
		}
		var m Member
		if json.Unmarshal(buf[:n], &m) == nil {
			b.members.Learn(true, m)
		}
	}
}

// sendSome tells the own region, and a few others, that this one is alive.
func (b *Beats) sendSome() {
	self := b.members.Self()
	var near, far []Member
	for _, m := range b.members.All() {
		if m.Region == self.Region {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	b.send(b.inTurn(near))
	b.send(pick(far, farBeats))
}

// inTurn returns the next nearBeats of the members, in the order of their names.
func (b *Beats) inTurn(ms []Member) []Member {
	if len(ms) <= nearBeats {
		return ms
	}
	slices.SortFunc(ms, func(x, y Member) int { return cmp.Compare(x.Name, y.Name) })
	out := make([]Member, 0, nearBeats)
	for i := range nearBeats {
		out = append(out, ms[(b.turn+i)%len(ms)])
	}
	b.turn = (b.turn + nearBeats) % len(ms)
	return out
}

// SendAll tells all instances of the present state, as when it changes.
func (b *Beats) SendAll() { b.send(b.members.All()) }

func (b *Beats) send(to []Member) {
	text, err := json.Marshal(b.members.Self())
	if err != nil {
		return
	}
	for _, m := range to {
		if addr, err := net.ResolveUDPAddr("udp4", m.Peer); err == nil {
			_, _ = b.socket.WriteToUDP(text, addr) // lost datagrams are allowed for
		}
	}
}

// pick returns at most n of the members, any of them.
func pick(ms []Member, n int) []Member {
	if len(ms) <= n {
		return ms
	}
	rand.Shuffle(len(ms), func(i, j int) { ms[i], ms[j] = ms[j], ms[i] })
	return ms[:n]
}
