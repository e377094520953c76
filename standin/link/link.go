// SPDX-License-Identifier: MIT

/*
Package link is a loopback proxy that stands in for the network between two
processes. It passes bytes on, late, not at all, or one way only, cuts or refuses
connections, and lets those that are open fall silent for good. It is for tests.
*/
package link

import (
	"io"
	"net"
	"sync"
	"time"
)

// Mode says what the link does.
type Mode int

// The modes. What is held in Silent and OneWay is passed on once the mode ends.
const (
	Forward     Mode = iota
	Delayed          // each piece is late by SlowBy
	Blocked          // nothing is passed on
	BlockedBack      // nothing is passed back
	Refuse           // new connections are reset
)

// SlowBy is how late a slow link passes bytes on.
const Delay = 80 * time.Millisecond

// Link is one proxy. Use Start.
type Link struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	mode     Mode
	changed  chan struct{}
	conns    map[net.Conn]bool // set once they fell silent for good
	closed   bool
}

// Start starts a link from listen, an IP number and port, to target.
func Start(listen, target string) (*Link, error) {
	l, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, err
	}
	k := &Link{target: target, listener: l, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	go k.accept(l)
	return k, nil
}

// Address is where the link listens.
func (k *Link) Address() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.listener.Addr().String()
}

// Set changes the mode.
func (k *Link) SetMode(m Mode) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.mode = m
	close(k.changed)
	k.changed = make(chan struct{})
}

// Cut resets all connections.
func (k *Link) ResetAll() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		reset(c)
	}
}

// Down makes new connections refused and resets those that are open, as the end of the
// process behind the link does.
func (k *Link) Down() {
	k.mu.Lock()
	_ = k.listener.Close()
	k.mu.Unlock()
	k.ResetAll()
}

// Up ends Down, at the same address.
func (k *Link) Up() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	l, err := net.Listen("tcp4", k.listener.Addr().String())
	if err != nil {
		return err
	}
	k.listener = l
	go k.accept(l)
	return nil
}

// Mute makes the connections that are open now silent for good, both ways and without
// a reset. New ones work.
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

// Close ends the link.
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
		refuse := k.mode == Refuse
		k.mu.Unlock()
		if refuse {
			reset(in)
			continue
		}
		out, err := net.Dial("tcp4", k.target)
		if err != nil {
			reset(in)
			continue
		}
		k.track(in, out)
		go k.forward(out, in, false)
		go k.forward(in, out, true)
	}
}

func (k *Link) track(cs ...net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range cs {
		k.conns[c] = false
	}
}

// await waits until bytes may go on, back or forth.
func (k *Link) waitUnblocked(back bool) {
	for {
		k.mu.Lock()
		mode, changed, closed := k.mode, k.changed, k.closed
		k.mu.Unlock()
		held := mode == Blocked || mode == BlockedBack && back
		if mode == Delayed {
			time.Sleep(Delay)
		}
		if !held || closed {
			return
		}
		<-changed
	}
}

// pass copies from one side to the other until one of them ends.
func (k *Link) forward(to, from net.Conn, back bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !k.blackholed(from) {
			k.waitUnblocked(back)
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err == nil {
			continue
		}
		k.waitUnblocked(back)
		if k.blackholed(from) {
			return // the other side hears nothing of it; Close ends it
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite() // the other direction goes on
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
