// SPDX-License-Identifier: MIT

/*
Package region simulates the network between regions in tests: a one-way delay, and a bandwidth that all
connections between two regions share, each way.

	n := region.NewNetwork()
	n.Connect("north", "south", 35*time.Millisecond, 280e6)
	link.SetPaths(func(client netip.Addr) (there, back *region.Path) {
		return n.Path(regionOf(client), "south"), n.Path("south", regionOf(client))
	})
*/
package region

import (
	"io"
	"sync"
	"time"
)

// Network holds the paths between regions. Use NewNetwork, and Connect before the first Path.
type Network struct {
	paths map[[2]string]*Path
}

// NewNetwork returns a network without paths.
func NewNetwork() *Network { return &Network{paths: make(map[[2]string]*Path)} }

// Connect sets the one-way delay between two regions and the bandwidth, in bits per second each way, that their
// connections share. A bandwidth of zero is unlimited.
func (n *Network) Connect(a, b string, delay time.Duration, bandwidth float64) {
	for _, ends := range [][2]string{{a, b}, {b, a}} {
		n.paths[ends] = &Path{delay: delay, bandwidth: bandwidth / bitsPerByte}
	}
}

const bitsPerByte = 8

// Path returns the path from one region to another, or nil if they aren't connected: then nothing is delayed.
func (n *Network) Path(from, to string) *Path { return n.paths[[2]string{from, to}] }

// Path is one direction between two regions. Nil is a path without delay.
type Path struct {
	delay     time.Duration
	bandwidth float64 // in bytes per second; zero: unlimited

	mu       sync.Mutex
	freeFrom time.Time // when all bytes so far have been sent
}

// Delay returns the one-way delay.
func (p *Path) Delay() time.Duration {
	if p == nil {
		return 0
	}
	return p.delay
}

// send puts a number of bytes on the path, and returns when they arrive.
func (p *Path) send(bytes int) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); p.freeFrom.Before(now) {
		p.freeFrom = now
	}
	if p.bandwidth > 0 {
		p.freeFrom = p.freeFrom.Add(time.Duration(float64(bytes) / p.bandwidth * float64(time.Second)))
	}
	return p.freeFrom.Add(p.delay)
}

const (
	pieceBytes = 16 << 10
	// piecesInTransit is how many pieces of one connection may be on their way, like the window of a connection.
	piecesInTransit = 64
)

// Carry returns what the other end of the path reads of r: each piece, and the end, after it has arrived. Nothing
// arrives before a time. The reader must be closed, after r has ended or been closed.
func (p *Path) Carry(r io.Reader, notBefore time.Time) io.ReadCloser {
	if p == nil {
		return io.NopCloser(r)
	}
	c := &carried{pieces: make(chan piece, piecesInTransit), closed: make(chan struct{}), notBefore: notBefore}
	go c.receive(r, p)
	return c
}

// piece is a part of what is carried, or its end.
type piece struct {
	data    []byte
	err     error
	arrives time.Time
}

// carried is the receiving end of a path.
type carried struct {
	pieces    chan piece
	closed    chan struct{}
	notBefore time.Time
	rest      piece // read in part
}

func (c *carried) receive(r io.Reader, p *Path) {
	for {
		data := make([]byte, pieceBytes)
		n, err := r.Read(data)
		select {
		case c.pieces <- piece{data[:n], err, p.send(n)}:
		case <-c.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// Read waits for the next piece.
func (c *carried) Read(b []byte) (int, error) {
	if len(c.rest.data) == 0 && c.rest.err == nil {
		c.rest = <-c.pieces
		time.Sleep(time.Until(c.rest.arrives))
		time.Sleep(time.Until(c.notBefore))
	}
	n := copy(b, c.rest.data)
	c.rest.data = c.rest.data[n:]
	if len(c.rest.data) > 0 {
		return n, nil
	}
	return n, c.rest.err
}

// Close ends the reading.
func (c *carried) Close() error {
	close(c.closed)
	return nil
}
