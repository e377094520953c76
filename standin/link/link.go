// SPDX-License-Identifier: MIT

/*
Package link is a loopback TCP proxy that simulates the network between two processes in tests. It
forwards bytes, delays or blocks them, in both directions or back only, resets connections or
rejects new ones, blackholes those that are open, and cuts single clients off.
*/
package link

import (
	"context"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"shalewick/standin/network"
	"shalewick/standin/region"
)

// Mode says how the link treats bytes and connections.
type Mode int

// The modes. Bytes that are blocked are forwarded once the mode ends.
const (
	Forward     Mode = iota
	Delayed          // each read is forwarded after Delay
	Blocked          // nothing is forwarded
	BlockedBack      // nothing is forwarded from the target to the client
	Refuse           // new connections are reset
)

// Delay is the delay of each read in the mode Delayed.
const Delay = 80 * time.Millisecond

// Link is one proxy. Use Start.
type Link struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	mode     Mode
	changed  chan struct{}
	conns    map[net.Conn]bool // open connections; true once blackholed
	cut      []netip.Addr      // clients that are cut off
	paths    PathsFunc         // nil: without delay
	closed   bool
}

// PathsFunc returns the paths from a client to the target of a link, and back.
type PathsFunc func(client netip.Addr) (there, back *region.Path)

// SetPaths makes new connections cross the network between regions.
func (k *Link) SetPaths(paths PathsFunc) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.paths = paths
}

// Start starts a link from listen, an IP address and port, to target.
func Start(listen, target string) (*Link, error) {
	l, err := listenTCP(listen)
	if err != nil {
		return nil, err
	}
	k := &Link{target: target, listener: l, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	go k.accept(l)
	return k, nil
}

// listenTCP listens without Multipath TCP, which does not support socket filters.
func listenTCP(address string) (net.Listener, error) {
	var c net.ListenConfig
	c.SetMultipathTCP(false)
	return c.Listen(context.Background(), "tcp4", address)
}

// Cut cuts some clients off, by IP address, and connects all others. The kernel drops what they send, so
// that their new connections hang; what is sent to them is held back until they are connected again.
func (k *Link) Cut(clients ...netip.Addr) error {
	k.mu.Lock()
	k.cut = clients
	close(k.changed)
	k.changed = make(chan struct{})
	k.mu.Unlock()
	own := netip.MustParseAddrPort(k.Address())
	var filter network.Filter
	if len(clients) > 0 {
		filter = network.DropFrom(clients...)
	}
	return network.FilterSockets(filter, func(local, _ netip.AddrPort) bool { return local == own })
}

// Address returns the IP address and port at which the link listens.
func (k *Link) Address() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.listener.Addr().String()
}

// SetMode changes the mode.
func (k *Link) SetMode(m Mode) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.mode = m
	close(k.changed)
	k.changed = make(chan struct{})
}

// ResetAll resets all connections.
func (k *Link) ResetAll() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		reset(c)
	}
}

// Down stops listening, so that new connections are refused, and resets the open ones, as when the
// process behind the link ends.
func (k *Link) Down() {
	k.mu.Lock()
	_ = k.listener.Close()
	k.mu.Unlock()
	k.ResetAll()
}

// Up listens again at the same address.
func (k *Link) Up() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	l, err := listenTCP(k.listener.Addr().String())
	if err != nil {
		return err
	}
	k.listener = l
	go k.accept(l)
	return nil
}

// Blackhole drops everything on the connections that are open now, for good, in both directions and
// without a reset. New connections work.
func (k *Link) Blackhole() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		k.conns[c] = true
	}
}

func (k *Link) blackholed(c net.Conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.conns[c]
}

// Close stops listening and resets all connections.
func (k *Link) Close() {
	k.mu.Lock()
	_ = k.listener.Close()
	k.closed = true
	k.mu.Unlock()
	k.SetMode(Forward)
	k.ResetAll()
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (k *Link) accept(l net.Listener) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		k.mu.Lock()
		refuse, paths := k.mode == Refuse, k.paths
		k.mu.Unlock()
		if refuse {
			reset(in)
			continue
		}
		// The target sees the address of the client.
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: in.RemoteAddr().(*net.TCPAddr).IP}}
		out, err := dialer.Dial("tcp4", k.target)
		if err != nil {
			reset(in)
			continue
		}
		k.track(in, out)
		client := in.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
		var there, back *region.Path
		if paths != nil {
			there, back = paths(client)
		}
		// The first bytes arrive after the handshake.
		opened := time.Now().Add(2*there.Delay() + back.Delay())
		go k.forward(out, in, there.Carry(in, opened), client, false)
		go k.forward(in, out, back.Carry(out, opened), client, true)
	}
}

func (k *Link) track(cs ...net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range cs {
		k.conns[c] = false
	}
}

// waitUnblocked waits until the mode lets bytes through, and for Delay in the mode Delayed. back is
// the direction from the target to the client, which has the given address.
func (k *Link) waitUnblocked(client netip.Addr, back bool) {
	for {
		k.mu.Lock()
		mode, changed, closed := k.mode, k.changed, k.closed
		blocked := mode == Blocked || mode == BlockedBack && back || back && slices.Contains(k.cut, client)
		k.mu.Unlock()
		if mode == Delayed {
			time.Sleep(Delay)
		}
		if !blocked || closed {
			return
		}
		<-changed
	}
}

// forward copies what arrives from one side to the other until one of them ends.
func (k *Link) forward(to, from net.Conn, arriving io.ReadCloser, client netip.Addr, back bool) {
	defer arriving.Close()
	buf := make([]byte, 16<<10)
	for {
		n, err := arriving.Read(buf)
		if n > 0 && !k.blackholed(from) {
			k.waitUnblocked(client, back)
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err == nil {
			continue
		}
		k.waitUnblocked(client, back)
		if k.blackholed(from) {
			return // the other side gets no FIN or reset; Close ends it
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite() // the other direction stays open
		} else {
			reset(to)
			reset(from)
		}
		k.mu.Lock()
		delete(k.conns, from)
		k.mu.Unlock()
		return
	}
}
