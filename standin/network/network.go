// SPDX-License-Identifier: MIT

/*
Package network simulates the network between the processes of a test, which run in one process at
different loopback addresses. It cuts a sender off from some receivers while everybody else still
reaches them. Socket filters drop the packets, so that the kernel behaves as it does between machines:
a connect hangs or is refused, and sent bytes stay unacknowledged.
*/
package network

import (
	"net"
	"net/netip"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Cut says what happens between a sender and a receiver.
type Cut int

// The kinds of cuts.
const (
	None          Cut = iota
	Silent            // packets are dropped in both directions
	ResponsesLost     // packets to the sender are dropped
	Refused           // new connections are refused
	Hanging           // new connections hang; open ones live on
)

// Network holds the cuts. The zero value has none.
type Network struct {
	mu   sync.Mutex
	cuts map[pair]Cut
}

// pair is a sender, by IP address, and a receiver.
type pair struct {
	from netip.Addr
	to   netip.AddrPort
}

// Set sets the cut between a sender and some receivers, also for open connections. The receivers run
// in this process.
func (n *Network) Set(c Cut, from netip.Addr, to ...netip.AddrPort) error {
	n.mu.Lock()
	receivers := make(map[netip.AddrPort]bool, len(to))
	if n.cuts == nil {
		n.cuts = make(map[pair]Cut)
	}
	for _, x := range to {
		receivers[x] = true
		n.cuts[pair{from, x}] = c
	}
	n.mu.Unlock()
	var toSender, toReceiver Filter
	if c == Silent || c == ResponsesLost {
		toSender = DropAll
	}
	if c == Silent {
		toReceiver = DropAll
	}
	err := FilterSockets(toSender, func(local, remote netip.AddrPort) bool { return local.Addr() == from && receivers[remote] })
	if err != nil {
		return err
	}
	return FilterSockets(toReceiver, func(local, remote netip.AddrPort) bool { return remote.Addr() == from && receivers[local] })
}

// cut returns the cut between a sender and a receiver.
func (n *Network) cut(from netip.Addr, to string) Cut {
	n.mu.Lock()
	defer n.mu.Unlock()
	receiver, err := netip.ParseAddrPort(to)
	if err != nil {
		return None
	}
	return n.cuts[pair{from, receiver}]
}

// Dialer returns the dialer of a sender, with the timeout and the options of another one.
func (n *Network) Dialer(from netip.Addr, d *net.Dialer) *net.Dialer {
	out := *d
	out.LocalAddr = &net.TCPAddr{IP: from.AsSlice()}
	out.Control = func(network, address string, c syscall.RawConn) error {
		if d.Control != nil {
			if err := d.Control(network, address, c); err != nil {
				return err
			}
		}
		switch n.cut(from, address) {
		case Refused:
			return unix.ECONNREFUSED
		case Silent, ResponsesLost, Hanging:
			return dropIncoming(c)
		}
		return nil
	}
	return &out
}

// dropIncoming makes a socket drop all packets that arrive, so that its connect hangs.
func dropIncoming(c syscall.RawConn) error {
	var filterErr error
	if err := c.Control(func(fd uintptr) { filterErr = attachFilter(int(fd), DropAll) }); err != nil {
		return err
	}
	return filterErr
}

// SetAll sets the cut between some senders and some receivers.
func (n *Network) SetAll(c Cut, from []netip.Addr, to []netip.AddrPort) error {
	for _, x := range from {
		if err := n.Set(c, x, to...); err != nil {
			return err
		}
	}
	return nil
}
